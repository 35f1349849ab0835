// Package upstream keeps the connections to cache servers, parents and the
// origin. Many hops share a connection; one goroutine reads each. Whoever has
// something to write does so, and takes along what others have queued.
package upstream

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/cacheproto"
	"quilldoor/internal/config"
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
)

// Call is one hop on its way, with what the client sent.
type Call struct {
	Attempt        *engine.Attempt
	Class, Object  string
	Part           int64
	Tag            string
	IdempotencyKey string           // the client's mark against repeats
	Body           *bufferpool.Body // nil: none
	Write          bool             // its answer is no copy of an object
	conn           *conn
	written        time.Time // under the pool's lock, as conn
}

// Response is an answer's body and tag; it is what a txn is completed with.
type Response struct {
	*bufferpool.Body
	Tag          string
	NotModified  bool  // the copy whose tag was sent is the one
	IssuedMillis int64 // Unix milliseconds at which the origin gave the copy out; 0: no copy
}

// ResultFunc is told how hops end.
type ResultFunc func(h *engine.Attempt, o engine.Result)

// Pool holds the connections of all servers.
type Pool struct {
	limits *config.Limits
	bodies *bufferpool.Pool
	ended  ResultFunc
	log    *logrus.Entry

	mu    sync.Mutex // for the books below and those of every conn; never held over I/O
	peers map[place]*peer
	total int
	most  int // connections
	stop  bool
}

// place is a server's id and its address: connections to the one lead nowhere
// else, whichever of the two changes.
type place struct{ id, endpoint string }

func placeOf(s *engine.Endpoint) place { return place{s.ID, s.Address} }

// peer is one server at one address.
type peer struct {
	place
	conns []*conn
}

// New makes an empty pool.
func New(limits *config.Limits, bodies *bufferpool.Pool, ended ResultFunc, log *logrus.Entry) *Pool {
	return &Pool{limits: limits, bodies: bodies, ended: ended, log: log, peers: map[place]*peer{}, most: limits.MaxUpstreamConns}
}

// SetMaxConns sets how many connections there may be; those that there are stay.
func (p *Pool) SetMaxConns(most int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most = most
}

func (p *Pool) peer(s *engine.Endpoint) *peer {
	at := placeOf(s)
	if p.peers[at] == nil {
		p.peers[at] = &peer{place: at}
	}
	return p.peers[at]
}

// Send puts a hop on a connection. Its outcome, whatever becomes of it, goes to
// Ended, unless it is dropped first.
func (p *Pool) Send(f *Call) {
	if f.Attempt.Withdrawn() { // its client left as it was decided
		return
	}
	id := f.Attempt.Request.ID
	p.mu.Lock()
	c := p.choose(p.peer(f.Attempt.Endpoint), id)
	if c == nil {
		p.mu.Unlock()
		f.Attempt.Withdraw()
		p.ended(f.Attempt, engine.Result{Outcome: policy.OutcomeConnectionRefused})
		return
	}
	f.conn = c
	f.Body.Retain()
	c.open[id] = f
	c.put(item{flight: f}) // unlocks
}

// choose finds a connection for a txn's hop. A connection never carries one id
// twice, since answers name hops by it. An idle connection comes first, then a
// new one: answers stand in a row on a connection, and a long one would hold
// the others up.
func (p *Pool) choose(r *peer, id string) *conn {
	var best *conn
	for _, c := range r.conns {
		if c.suspect || c.closing || len(c.open) >= p.limits.MaxStreamsPerConn || best != nil &&
			(len(c.open) > len(best.open) || len(c.open) == len(best.open) && !c.idleSince.After(best.idleSince)) {
			continue
		}
		if _, spent := c.spent[id]; !spent && c.open[id] == nil {
			best = c
		}
	}
	if best != nil && len(best.open) == 0 {
		return best
	}
	if p.total >= p.most {
		p.evict()
	}
	if p.stop || p.total >= p.most || len(r.conns) >= p.limits.MaxConnsPerEndpoint && best != nil {
		return best
	}
	return p.dial(r)
}

// evict closes the connection that has been idle longest.
func (p *Pool) evict() {
	var oldest *conn
	for _, r := range p.peers {
		for _, c := range r.conns {
			if c.idle() && (oldest == nil || c.idleSince.Before(oldest.idleSince)) {
				oldest = c
			}
		}
	}
	if oldest != nil {
		oldest.shut()
	}
}

// Drop gives the hop up. Silent says that its time ran out: if its connection
// has brought nothing since the hop went out, the machine may be gone, so that
// nothing new goes there.
func (f *Call) Drop(silent bool) {
	c, id := f.conn, f.Attempt.Request.ID
	if c == nil {
		return
	}
	p := c.pool
	p.mu.Lock()
	if c.open[id] != f {
		p.mu.Unlock()
		return
	}
	delete(c.open, id)
	c.suspect = c.suspect || silent && c.heard.Before(f.written)
	sent := !f.Attempt.Withdraw()
	if sent {
		c.spent[id] = time.Now()
	}
	c.rest()
	if !sent || c.dead {
		p.mu.Unlock()
		return
	}
	c.put(item{drop: id}) // unlocks
}

// CheckHealth asks a server whether it is there; the answer goes to done.
func (p *Pool) CheckHealth(s *engine.Endpoint, tag string, done func(ok bool)) {
	p.mu.Lock()
	c := p.choose(p.peer(s), tag)
	if c == nil {
		p.mu.Unlock()
		done(false)
		return
	}
	c.probes[tag] = done
	c.put(item{ping: tag}) // unlocks
}

// CancelHealthCheck forgets a probe that has not been answered; true: it was still out.
func (p *Pool) CancelHealthCheck(s *engine.Endpoint, tag string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.peers[placeOf(s)]
	if r == nil {
		return false
	}
	for _, c := range r.conns {
		if c.probes[tag] != nil {
			delete(c.probes, tag)
			c.suspect = true
			c.rest()
			return true
		}
	}
	return false
}

// Drain lets connections to servers that take nothing new end with their hops.
// A hop that is not on a connection yet is proven not to have run.
func (p *Pool) Drain(servers []*engine.Endpoint) {
	var unsent []*Call
	p.mu.Lock()
	for _, s := range servers {
		r := p.peers[placeOf(s)]
		if r == nil {
			continue
		}
		delete(p.peers, r.place)
		for _, c := range r.conns {
			for id, f := range c.open {
				if f.Attempt.Withdraw() {
					delete(c.open, id)
					unsent = append(unsent, f)
				}
			}
			c.closing = true
			c.rest()
		}
	}
	p.mu.Unlock()
	for _, f := range unsent {
		p.ended(f.Attempt, engine.Result{Outcome: policy.OutcomeSkipped})
	}
}

// CloseIdle closes idle connections to a server.
func (p *Pool) CloseIdle(s *engine.Endpoint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.peers[placeOf(s)]; r != nil {
		for _, c := range r.conns {
			if c.idle() {
				c.shut()
			}
		}
	}
}

// Sweep closes connections that have been idle for long, before the server
// does, and forgets hops whose answers can't come any more.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, r := range p.peers {
		for _, c := range r.conns {
			for id, at := range c.spent {
				if now.Sub(at) > p.limits.LateResponseWindow {
					delete(c.spent, id)
				}
			}
			if c.idle() && now.Sub(c.idleSince) > p.limits.UpstreamIdleTimeout {
				c.shut()
			}
		}
	}
}

// Close ends every connection.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stop = true
	for _, r := range p.peers {
		for _, c := range r.conns {
			c.shut()
		}
	}
}

// ConnCount tells how many connections there are.
func (p *Pool) ConnCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.total
}

// Command for a hop at the time of writing. Times are whole milliseconds: an
// age is cut down, since older copies are barred, but stays above 0, which
// would mean the default.
func (f *Call) command(now int64) *cacheproto.GetCommand {
	h := f.Attempt
	g := &cacheproto.GetCommand{
		ID: h.Request.ID, Class: f.Class, Object: f.Object, Part: f.Part, Source: h.Source, Priority: h.CachePriority,
		FillMode: h.FillMode, Tag: f.Tag, IdempotencyKey: f.IdempotencyKey, Length: f.Body.Len(), BudgetMillis: max((h.Deadline-now)/1000, 1),
	}
	if h.MaxAge > 0 {
		g.MaxAgeMillis = max(h.MaxAge/1000, 1)
	}
	return g
}
