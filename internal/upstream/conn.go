package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/cacheproto"
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
	"quilldoor/internal/settings"
)

// item is one thing to write.
type item struct {
	flight     *Call
	drop, ping string
}

// conn is one connection. Its books are under the pool's lock.
type conn struct {
	pool    *Pool
	peer    *peer
	open    map[string]*Call
	spent   map[string]time.Time // hops over before their txns, whose answers may still come
	probes  map[string]func(ok bool)
	queue   []item
	up      bool // the connection stands
	writing bool // somebody empties the queue
	suspect bool // said nothing for as long as a hop had
	closing bool // ends with its hops
	dead    bool

	idleSince, heard time.Time
	cancel           context.CancelFunc // of the dial
	sock             net.Conn
}

func (p *Pool) dial(r *peer) *conn {
	ctx, cancel := context.WithTimeout(context.Background(), p.limits.ConnectTimeout)
	c := &conn{
		pool: p, peer: r, open: map[string]*Call{}, spent: map[string]time.Time{},
		probes: map[string]func(bool){}, cancel: cancel,
	}
	r.conns = append(r.conns, c)
	p.peers[r.place] = r // the last connection to it may just have been evicted
	p.total++
	go c.run(ctx)
	return c
}

func (c *conn) idle() bool { return c.up && len(c.open) == 0 && len(c.probes) == 0 }

// rest notes that the connection may have become idle, and closes one that is
// to take nothing new.
func (c *conn) rest() {
	if len(c.open) > 0 || len(c.probes) > 0 {
		return
	}
	c.idleSince = time.Now()
	if c.suspect || c.closing {
		c.shut()
	}
}

// shut takes the connection off the books and ends its goroutine.
func (c *conn) shut() {
	if c.dead {
		return
	}
	c.dead = true
	c.pool.total--
	// A new list, since the old one may be walked by who shuts its connections.
	c.peer.conns = slices.DeleteFunc(slices.Clone(c.peer.conns), func(other *conn) bool { return other == c })
	if p := c.pool; len(c.peer.conns) == 0 && p.peers[c.peer.place] == c.peer {
		delete(p.peers, c.peer.place) // servers come and go all day
	}
	c.cancel()
	if c.sock != nil {
		c.sock.Close()
	}
}

// run is the life of a connection.
func (c *conn) run(ctx context.Context) {
	sock, err := new(net.Dialer).DialContext(ctx, "tcp", c.peer.endpoint)
	if err != nil {
		c.fail(err)
		return
	}
	c.pool.mu.Lock()
	if c.dead {
		c.pool.mu.Unlock()
		sock.Close()
		c.fail(nil)
		return
	}
	c.sock, c.up, c.writing, c.heard = sock, true, true, time.Now()
	c.pool.mu.Unlock()
	c.flush()
	c.fail(c.read())
}

// put queues something, and writes unless somebody does already or the
// connection doesn't stand yet. It is called with the pool's lock, which it
// gives back.
func (c *conn) put(i item) {
	c.queue = append(c.queue, i)
	write := c.up && !c.writing && !c.dead
	c.writing = c.writing || write
	c.pool.mu.Unlock()
	if write {
		c.flush()
	}
}

// flush writes until the queue is empty. A peer that takes nothing in for the
// time of a write loses the connection.
func (c *conn) flush() {
	for {
		c.pool.mu.Lock()
		batch := c.queue
		c.queue = nil
		if len(batch) == 0 || c.dead {
			c.writing = false
			c.pool.mu.Unlock()
			return
		}
		now := time.Now()
		for _, i := range batch {
			if i.flight != nil {
				i.flight.written = now
			}
		}
		c.pool.mu.Unlock()
		if !c.write(batch, now) {
			c.pool.mu.Lock()
			c.shut()
			c.pool.mu.Unlock()
		}
	}
}

// write puts a batch on the wire, but for hops whose decision stands no more. Those
// whose last byte was not taken can't have come whole, so that they are proven not
// to have run.
func (c *conn) write(batch []item, now time.Time) bool {
	var bufs net.Buffers
	ends := make([]int64, len(batch))
	var unsent []*Call
	var size int64
	add := func(b []byte) {
		bufs = append(bufs, b)
		size += int64(len(b))
	}
	for i, it := range batch {
		if it.flight != nil && !it.flight.Attempt.MayBeSent(now.UnixMicro(), c.pool.limits.MaxDecisionAge.Microseconds()) && it.flight.Attempt.Withdraw() {
			unsent = append(unsent, it.flight)
		}
		switch {
		case it.flight == nil && it.drop != "":
			add(cacheproto.AppendDrop(nil, it.drop))
		case it.flight == nil:
			add(cacheproto.AppendPing(nil, it.ping))
		case it.flight.Attempt.Begin():
			add(cacheproto.AppendGet(make([]byte, 0, 256), it.flight.command(now.UnixMicro())))
			for _, b := range it.flight.Body.AppendBuffers(nil) {
				add(b)
			}
			add([]byte("\r\n"))
		}
		ends[i] = size
	}
	var n int64
	var err error
	if size > 0 {
		c.sock.SetWriteDeadline(now.Add(c.pool.limits.WriteTimeout))
		n, err = bufs.WriteTo(c.sock)
	}
	for i, it := range batch {
		if it.flight == nil {
			continue
		}
		it.flight.Body.Release()
		if err != nil && ends[i] > n {
			c.pool.ended(it.flight.Attempt, engine.Result{Outcome: policy.OutcomeConnectionRefused})
		}
	}
	for _, f := range unsent {
		c.pool.mu.Lock()
		if id := f.Attempt.Request.ID; c.open[id] == f {
			delete(c.open, id)
			c.rest()
		}
		c.pool.mu.Unlock()
		c.pool.ended(f.Attempt, engine.Result{Outcome: policy.OutcomeSkipped})
	}
	return err == nil
}

// pieces reads an answer's pieces. Between answers a peer may be silent; one that
// stops within an answer is of no further use to any hop on the connection.
type pieces struct {
	net.Conn
	stall time.Duration
	end   time.Time // for the whole answer; zero: between answers
}

func (p *pieces) Read(b []byte) (int, error) {
	var until time.Time
	if !p.end.IsZero() {
		if until = time.Now().Add(p.stall); p.end.Before(until) {
			until = p.end
		}
	}
	p.SetReadDeadline(until)
	return p.Conn.Read(b)
}

// read takes answers until the connection ends or the peer breaks the protocol.
func (c *conn) read() error {
	from := &pieces{Conn: c.sock, stall: c.pool.limits.ReadStallTimeout}
	r := bufio.NewReaderSize(from, bufferpool.Size)
	for {
		from.end = time.Time{}
		if _, err := r.Peek(1); err != nil {
			return err
		}
		from.end = time.Now().Add(c.pool.limits.ResponseReadTimeout)
		a, err := cacheproto.ReadResponse(r, c.pool.limits.MaxResponseBody)
		if err != nil {
			return err
		}
		if err := c.answer(r, &a); err != nil {
			return err
		}
	}
}

var codes = map[cacheproto.Status]policy.Outcome{
	cacheproto.StatusOK: policy.OutcomeDone, cacheproto.StatusNotModified: policy.OutcomeDone, cacheproto.StatusMiss: policy.OutcomeMiss,
	cacheproto.StatusBusy: policy.OutcomeBusy, cacheproto.StatusError: policy.OutcomeError, cacheproto.StatusSkipped: policy.OutcomeSkipped,
}

// answer reads an answer's body and ends its hop. One that nobody waits for, a
// second copy or one under an unknown id, is whole and costs the others nothing.
func (c *conn) answer(r *bufio.Reader, a *cacheproto.Response) error {
	p := c.pool
	p.mu.Lock()
	c.heard = time.Now()
	f, probe := c.open[a.ID], c.probes[a.ID]
	p.mu.Unlock()
	if probe != nil && a.Status != cacheproto.StatusReady || f != nil && !f.fits(a) {
		return fmt.Errorf("%w: it doesn't answer what was asked", cacheproto.ErrProtocol)
	}
	var body *bufferpool.Body
	var full error
	if a.Length >= 0 {
		if body, full = p.bodies.ReadBody(r, a.Length); full != nil && full != bufferpool.ErrFull {
			return full
		}
		if err := cacheproto.ReadBodyEnd(r); err != nil {
			body.Release()
			return err
		}
	}
	outcome := codes[a.Status]
	if full != nil || f != nil && a.Status == cacheproto.StatusNotModified && a.Tag != f.Tag { // it names a copy that nobody has
		outcome = policy.OutcomeError
	}
	p.mu.Lock()
	c.heard = time.Now()
	mine := f != nil && c.open[a.ID] == f
	if mine {
		delete(c.open, a.ID)
		if outcome != policy.OutcomeDone { // its txn may go on
			c.spent[a.ID] = c.heard
		}
	}
	delete(c.probes, a.ID)
	c.rest()
	p.mu.Unlock()
	if probe != nil {
		probe(true)
	}
	if !mine {
		body.Release()
		return nil
	}
	o := engine.Result{Outcome: outcome, Reason: a.Reason, OriginWait: settings.Micros(a.DelayMillis), Load: a.Load}
	if outcome == policy.OutcomeDone {
		o.Response = &Response{body, a.Tag, a.Status == cacheproto.StatusNotModified, a.IssuedMillis}
	} else {
		body.Release()
	}
	p.ended(f.Attempt, o)
	return nil
}

// fits tells whether an answer can be one to the hop. Copies name their tag and age.
func (f *Call) fits(a *cacheproto.Response) bool {
	copied := a.Status == cacheproto.StatusOK && !f.Write || a.Status == cacheproto.StatusNotModified
	return a.Status != cacheproto.StatusReady && (a.Status != cacheproto.StatusNotModified || f.Tag != "") && (!copied || a.Tag != "" && a.IssuedMillis > 0)
}

// fail ends what is left on the connection.
func (c *conn) fail(err error) {
	p := c.pool
	p.mu.Lock()
	c.shut()
	open, queue, probes := c.open, c.queue, c.probes
	c.open, c.queue, c.probes = map[string]*Call{}, nil, nil
	p.mu.Unlock()
	entry := p.log.WithFields(logrus.Fields{"server": c.peer.id, "hops": len(open)})
	switch {
	case errors.Is(err, cacheproto.ErrProtocol):
		entry.WithError(err).Warn("server broke the protocol, connection closed")
	case len(open) > 0 && !c.up:
		entry.WithError(err).Debug("no connection to server")
	case len(open) > 0:
		entry.WithError(err).Debug("connection to server broke")
	}
	for _, i := range queue {
		if i.flight != nil {
			i.flight.Body.Release()
		}
	}
	for _, f := range open {
		o := engine.Result{Outcome: policy.OutcomeConnectionReset}
		if f.Attempt.Withdraw() {
			o.Outcome = policy.OutcomeConnectionRefused
		}
		p.ended(f.Attempt, o)
	}
	for _, done := range probes {
		done(false)
	}
}
