package gateway

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/gateway/peerproto"
	"quilldoor/internal/policy"
)

// link is a connection to a peer, dialled or accepted.
type link struct {
	g    *Gateway
	sock net.Conn
	peer string
	in   *peerproto.Reader

	// Under the gateway's lock.
	next   uint32
	calls  map[uint32]string // txns that we handed over on it
	served map[uint32]*served

	mu      sync.Mutex
	queue   []byte
	more    chan struct{}
	closed  bool
	heardAt int64 // our clock at the last beat of the peer
	theirs  int64 // and its own
	offset  int64 // least of our clock at arrival less theirs at sending
	known   bool
}

// served is a txn that the peer handed over.
type served struct {
	ask    peerproto.Request
	at     int64
	body   *bufferpool.Body
	left   chan struct{}
	gone   bool
	begun  bool // it has come whole, and carry ends it
	window int
	grown  chan struct{} // the window has
}

// mostQueued bounds what waits to be written: a peer that takes nothing in loses
// the connection.
const mostQueued = 4 << 20

func newLink(g *Gateway, sock net.Conn, peer string) *link {
	return &link{
		g: g, sock: sock, peer: peer, in: peerproto.NewReader(sock), calls: map[uint32]string{}, served: map[uint32]*served{},
		more: make(chan struct{}, 1),
	}
}

func (k *link) close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.closed {
		k.closed = true
		close(k.more)
		k.sock.Close()
	}
}

// put queues bytes; false: the link is closed or has no room.
func (k *link) put(b []byte) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed || len(k.queue)+len(b) > mostQueued {
		return false
	}
	k.queue = append(k.queue, b...)
	select {
	case k.more <- struct{}{}:
	default:
	}
	return true
}

func (k *link) write() {
	const stall = 5 * time.Second // more than silentBeats: the gate gives it up before
	for range k.more {
		k.mu.Lock()
		b := k.queue
		k.queue = nil
		k.mu.Unlock()
		k.sock.SetWriteDeadline(time.Now().Add(stall))
		if _, err := k.sock.Write(b); err != nil {
			k.close()
			return
		}
	}
}

func (k *link) cancel(number uint32) {
	b, _ := peerproto.AppendRaw(nil, peerproto.KindCancel, number, nil)
	k.put(b)
}

func (k *link) greet(own uint64) error {
	s := &k.g.config.Settings
	b, err := peerproto.Append(nil, peerproto.KindHello, 0, &peerproto.Hello{Version: peerproto.Version, Name: s.Name, Site: s.Site, Incarnation: own})
	if err != nil {
		return err
	}
	_, err = k.sock.Write(b)
	return err
}

func (k *link) hello() (h peerproto.Hello, err error) {
	f, err := k.in.Next()
	if err != nil {
		return h, err
	}
	if f.Kind != peerproto.KindHello {
		return h, fmt.Errorf("%w: kind %d for a greeting", peerproto.ErrMalformed, f.Kind)
	}
	if err := f.Decode(&h); err != nil {
		return h, err
	}
	if h.Version != peerproto.Version {
		return h, fmt.Errorf("%w: version %d, this is %d", peerproto.ErrMalformed, h.Version, peerproto.Version)
	}
	return h, nil
}

// beat sends one.
func (k *link) beat() {
	g := k.g
	g.mu.Lock()
	now := g.now()
	b := peerproto.Heartbeat{SentAt: now, Capacity: int32(g.gate.OfferedCapacity(now)), Draining: g.drains}
	g.mu.Unlock()
	k.mu.Lock()
	if k.theirs > 0 {
		b.EchoedAt, b.HeldTime = k.theirs, now-k.heardAt
	}
	k.mu.Unlock()
	if text, err := peerproto.Append(nil, peerproto.KindHeartbeat, 0, &b); err == nil {
		k.put(text)
	}
}

// heard takes a beat; it returns the round trip of ours that it echoes.
func (k *link) heard(now int64, b *peerproto.Heartbeat) (trip int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.heardAt, k.theirs = now, b.SentAt
	k.sync(now, b.SentAt)
	if b.EchoedAt > 0 {
		trip = max(now-b.EchoedAt-b.HeldTime, 1)
	}
	return trip
}

// sync keeps the least difference of the clocks, which is the quickest way.
func (k *link) sync(now, at int64) {
	if d := now - at; !k.known || d < k.offset {
		k.offset, k.known = d, true
	}
}

// delay tells how much longer than the quickest a frame was under way.
func (k *link) delay(now, at int64) int64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.sync(now, at)
	return now - at - k.offset
}

// ---- The side that hands over ----

// readAnswers is the life of a dialled connection once it is greeted.
func (k *link) readAnswers() error {
	g := k.g
	for {
		f, err := k.in.Next()
		if err != nil {
			return err
		}
		switch f.Kind {
		case peerproto.KindHeartbeat:
			var b peerproto.Heartbeat
			if err := f.Decode(&b); err != nil {
				return err
			}
			now := g.now()
			trip := k.heard(now, &b)
			g.mu.Lock()
			g.gate.Heartbeat(now, k.peer, int(b.Capacity), b.Draining, trip)
			g.act()
		case peerproto.KindAnswer:
			var a peerproto.Answer
			if err := f.Decode(&a); err != nil {
				return err
			}
			if a.BodyBytes < 0 || int(a.BodyBytes) > g.config.MaxAnswerBytes || a.Outcome < uint8(peerpolicy.OutcomeCompleted) || a.Outcome > uint8(peerpolicy.OutcomeAborted) {
				return fmt.Errorf("%w: an answer of %d bytes, outcome %d", peerproto.ErrMalformed, a.BodyBytes, a.Outcome)
			}
			if err := k.answer(f.Number, &a); err != nil {
				return err
			}
		case peerproto.KindData:
			if err := k.data(f.Number, f.Payload); err != nil {
				return err
			}
		case peerproto.KindGoodbye:
			return nil
		default:
			return fmt.Errorf("%w: kind %d where answers come", peerproto.ErrMalformed, f.Kind)
		}
	}
}

// answer takes the head of one. A second one ends the connection: an id that is
// answered twice can't be trusted in anything.
func (k *link) answer(number uint32, a *peerproto.Answer) error {
	g := k.g
	g.mu.Lock()
	id, known := k.calls[number]
	if !known { // it was given up
		g.mu.Unlock()
		return nil
	}
	c := g.calls[id]
	if c.answer != nil {
		g.mu.Unlock()
		return fmt.Errorf("%w: txn %d answered twice", peerproto.ErrMalformed, number)
	}
	c.answer, c.left = a, int(a.BodyBytes)
	if c.left > 0 {
		c.body = g.bodies.NewBody()
		g.mu.Unlock()
		return nil
	}
	g.whole(c, id)
	return nil
}

// whole ends a call whose answer has come whole. It is called with the lock, which
// it gives back.
func (g *Gateway) whole(c *call, id string) {
	a := c.answer
	g.gate.HandleAnswer(g.now(), c.link.peer, id, peerpolicy.PeerAnswer{Outcome: peerpolicy.Outcome(a.Outcome), NeverRan: a.NeverRan, IssuedMillis: a.IssuedMillis, LatestPurgeMillis: c.least})
	g.act()
}

func (k *link) data(number uint32, b []byte) error {
	g := k.g
	g.mu.Lock()
	id, known := k.calls[number]
	if !known {
		g.mu.Unlock()
		return nil
	}
	c := g.calls[id]
	if c.answer == nil || len(b) > c.left {
		g.mu.Unlock()
		return fmt.Errorf("%w: %d bytes more than were told", peerproto.ErrMalformed, len(b))
	}
	if !c.body.AppendBytes(b) { // no room for it: it has run, and is of no use
		g.gate.HandleAnswer(g.now(), k.peer, id, peerpolicy.PeerAnswer{Outcome: peerpolicy.OutcomeAborted})
		g.act()
		k.cancel(number)
		return nil
	}
	if c.left -= len(b); c.left == 0 {
		g.whole(c, id)
		return nil
	}
	g.mu.Unlock()
	k.put(peerproto.AppendWindow(nil, number, len(b)))
	return nil
}

// ---- The side that is asked ----

// accept is the life of a connection that a peer dialled.
func (g *Gateway) accept(sock net.Conn, own uint64) error {
	sock.SetDeadline(time.Now().Add(greetWithin))
	name := ""
	if g.config.Keys != nil {
		c := tls.Server(sock, g.config.Keys.server())
		ctx, stop := context.WithTimeout(g.ctx, greetWithin)
		defer stop()
		if err := c.HandshakeContext(ctx); err != nil {
			g.log.WithFields(logrus.Fields{"from": sock.RemoteAddr().String(), "reason": reasonOf(err)}).WithError(err).Warn("gateway: peer refused")
			return err
		}
		name, sock = peerName(c.ConnectionState()), c
	}
	k := newLink(g, sock, "")
	h, err := k.hello()
	if err != nil {
		return err
	}
	g.mu.Lock()
	p := g.gate.Peer(h.Name)
	g.mu.Unlock()
	if p == nil || p.Site != h.Site || name != "" && name != h.Name {
		return fmt.Errorf("%w: %.40q of %.40q is no peer", peerproto.ErrMalformed, h.Name, h.Site)
	}
	k.peer = h.Name
	if err := k.greet(own); err != nil {
		return err
	}
	sock.SetDeadline(time.Time{})
	g.mu.Lock()
	g.links["from "+k.peer+sock.RemoteAddr().String()] = k
	g.mu.Unlock()
	g.all.Go(k.write)
	k.beat()
	defer func() {
		k.close()
		g.mu.Lock()
		defer g.mu.Unlock()
		delete(g.links, "from "+k.peer+sock.RemoteAddr().String())
		for number, s := range k.served {
			if s.leave(); !s.begun { // half a body
				k.drop(number, s, false)
			}
		}
	}()
	return k.readAsks()
}

func (s *served) leave() {
	if !s.gone {
		s.gone = true
		close(s.left)
	}
}

func (k *link) readAsks() error {
	g := k.g
	// A peer that says nothing for long is gone, and its txns with it.
	patience := time.Duration(g.config.Settings.HeartbeatInterval) * time.Microsecond * peerpolicy.MaxSilentHeartbeats
	for {
		k.sock.SetReadDeadline(time.Now().Add(patience))
		f, err := k.in.Next()
		if err != nil {
			return err
		}
		switch f.Kind {
		case peerproto.KindHeartbeat:
			var b peerproto.Heartbeat
			if err := f.Decode(&b); err != nil {
				return err
			}
			k.heard(g.now(), &b)
		case peerproto.KindRequest:
			if err := k.ask(f); err != nil {
				return err
			}
		case peerproto.KindData:
			if err := k.upload(f.Number, f.Payload); err != nil {
				return err
			}
		case peerproto.KindWindow:
			if err := k.grow(f.Number, f.Window()); err != nil {
				return err
			}
		case peerproto.KindCancel:
			g.mu.Lock()
			if s := k.served[f.Number]; s != nil {
				s.leave()
			}
			g.mu.Unlock()
		case peerproto.KindGoodbye:
			return nil
		default:
			return fmt.Errorf("%w: kind %d where txns come", peerproto.ErrMalformed, f.Kind)
		}
	}
}

// ask takes a txn. One under a number that is in use ends the connection.
func (k *link) ask(f peerproto.Frame) error {
	g := k.g
	s := &served{left: make(chan struct{}), window: peerproto.InitialWindow, grown: make(chan struct{}, 1)}
	if err := f.Decode(&s.ask); err != nil {
		return err
	}
	a := &s.ask
	if a.BodyBytes < 0 || int(a.BodyBytes) > g.config.MaxUploadBytes || a.Budget <= 0 || len(a.Purges) > mostPurges {
		return fmt.Errorf("%w: a body of %d bytes, %d us left, %d purges", peerproto.ErrMalformed, a.BodyBytes, a.Budget, len(a.Purges))
	}
	a.Budget = min(a.Budget, g.config.MaxRequestTime.Microseconds())
	s.at = g.now()
	delay := k.delay(s.at, a.SentAt)
	g.mu.Lock()
	if k.served[f.Number] != nil {
		g.mu.Unlock()
		return fmt.Errorf("%w: number %d twice", peerproto.ErrMalformed, f.Number)
	}
	reason := g.gate.Admit(s.at, k.peer, a.RequestID, a.Route, delay)
	if reason != peerpolicy.ReasonOK {
		g.mu.Unlock()
		return k.finish(f.Number, &peerproto.Answer{Outcome: uint8(peerpolicy.OutcomeRejected), NeverRan: true})
	}
	k.served[f.Number] = s
	if s.begun = a.BodyBytes == 0; !s.begun {
		s.body = g.bodies.NewBody()
	}
	g.mu.Unlock()
	if a.BodyBytes == 0 {
		g.all.Go(func() { k.carry(f.Number, s) })
	}
	return nil
}

// mostPurges of one txn: its object's and its group's, some time back.
const mostPurges = 16

func (k *link) finish(number uint32, a *peerproto.Answer) error {
	b, err := peerproto.Append(nil, peerproto.KindAnswer, number, a)
	if err == nil {
		k.put(b)
	}
	return err
}

func (k *link) upload(number uint32, b []byte) error {
	g := k.g
	g.mu.Lock()
	s := k.served[number]
	if s == nil || s.begun { // turned away, or no more is wanted
		if s != nil {
			g.mu.Unlock()
			return fmt.Errorf("%w: %d bytes behind a whole body", peerproto.ErrMalformed, len(b))
		}
		g.mu.Unlock()
		return nil
	}
	if s.body.Len()+len(b) > int(s.ask.BodyBytes) {
		g.mu.Unlock()
		return fmt.Errorf("%w: %d bytes more than were told", peerproto.ErrMalformed, len(b))
	}
	full := !s.body.AppendBytes(b)
	whole := !full && s.body.Len() == int(s.ask.BodyBytes)
	s.begun = s.begun || whole
	g.mu.Unlock()
	switch {
	case full:
		k.end(number, s, false)
		return k.finish(number, &peerproto.Answer{Outcome: uint8(peerpolicy.OutcomeRejected), NeverRan: true})
	case whole:
		g.all.Go(func() { k.carry(number, s) })
	}
	return nil
}

func (k *link) grow(number uint32, n int) error {
	g := k.g
	g.mu.Lock()
	defer g.mu.Unlock()
	s := k.served[number]
	if s == nil {
		return nil
	}
	if n <= 0 || n > g.config.MaxAnswerBytes {
		return fmt.Errorf("%w: a window of %d", peerproto.ErrMalformed, n)
	}
	s.window += n
	select {
	case s.grown <- struct{}{}:
	default:
	}
	return nil
}

// end forgets a txn of the peer.
func (k *link) end(number uint32, s *served, completed bool) {
	k.g.mu.Lock()
	defer k.g.mu.Unlock()
	k.drop(number, s, completed)
}

// drop is end with the lock held.
func (k *link) drop(number uint32, s *served, completed bool) {
	delete(k.served, number)
	k.g.gate.FinishInbound(k.g.now(), k.peer, s.ask.RequestID, completed)
	s.body.Release()
	s.body = nil
}

// carry is the life of a txn that a peer handed over, from its request to the last
// byte of its answer.
func (k *link) carry(number uint32, s *served) {
	g, a := k.g, &s.ask
	for _, u := range a.Purges { // the peer may know what this side has not heard
		if u.Group {
			g.host.Purge("", a.Group, u.At)
		} else {
			g.host.Purge(a.Object, 0, u.At)
		}
	}
	q := &Request{Event: policy.Event{
		Request: a.RequestID, Class: a.Class, Object: a.Object, Group: a.Group, Part: a.Part,
		Remaining: a.Budget - (g.now() - s.at), ClientRetry: a.Repeat, Write: a.Write,
	}, Tag: a.Tag, Body: s.body}
	r := Reply{Outcome: peerpolicy.OutcomeRejected, NeverRan: true}
	select {
	case <-s.left:
	default:
		r = g.host.Execute(s.left, q)
	}
	defer r.Body.Release()
	// It holds its place until the last byte: a peer that makes no room for answers
	// is given no more of them.
	defer k.end(number, s, r.Outcome == peerpolicy.OutcomeCompleted)
	// Where it can't be written, the connection ends, and the peer with it.
	_ = k.finish(number, &peerproto.Answer{
		Outcome: uint8(r.Outcome), NeverRan: r.NeverRan, NotModified: r.NotModified, RetryAfter: r.RetryAfter, Tag: r.Tag, IssuedMillis: r.IssuedMillis,
		BodyBytes: int32(r.Body.Len()),
	})
	k.send(number, s, r.Body)
}

// send puts a body on the link, no faster than the peer makes room for it.
func (k *link) send(number uint32, s *served, body *bufferpool.Body) {
	over := time.NewTimer(time.Duration(s.ask.Budget) * time.Microsecond)
	defer over.Stop()
	for _, chunk := range body.AppendBuffers(nil) {
		for len(chunk) > 0 {
			k.g.mu.Lock()
			n := min(len(chunk), peerproto.MaxPayload, s.window)
			s.window -= n
			k.g.mu.Unlock()
			if n > 0 {
				b, _ := peerproto.AppendRaw(nil, peerproto.KindData, number, chunk[:n])
				if !k.put(b) {
					k.close()
					return
				}
				chunk = chunk[n:]
				continue
			}
			select {
			case <-s.grown:
			case <-s.left:
				return
			case <-over.C: // nobody waits for it any more
				return
			case <-k.g.ctx.Done():
				return
			}
		}
	}
}
