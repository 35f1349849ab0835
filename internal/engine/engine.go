// Package engine holds what stands between the decision module and the sockets:
// the open txns, their hops and timers, and the list of servers. It does no I/O
// and reads no clock. What a txn has to do comes to its mailbox in order; the
// meaning of events and actions is the simulator's.
package engine

import (
	"errors"
	"sync"

	"quilldoor/internal/policy"
)

// Server is one line of the list with its address.
type Server struct {
	policy.Entry
	Endpoint string
}

// Listed tells whether the server may be sent anything new.
func (s *Server) Listed() bool { return s.State == "active" }

// Errors of Open.
var (
	ErrFull = errors.New("too many open txns")
	ErrTwin = errors.New("the txn's id is open already")
)

// Core drives one instance of the module. Its lock is held for decisions only.
type Core struct {
	mu      sync.Mutex
	module  *policy.Router
	limits  policy.Limits
	rules   map[string]policy.RemapRule
	slack   int64           // after a txn's time limit, before it is closed here
	purged  int64           // older purges bind no more
	txns    map[string]*Txn // until closed and every hop has ended
	open    int             // of them: not closed
	servers map[string]*Server
	timers  timers
	queue   []policy.Event
	acts    []policy.Action
	errands []Order
	kick    func()
}

// New starts the module. Kick is called, under the lock, when Run is wanted
// sooner than it last said, or has errands.
func New(set *policy.Settings, seed uint64, kick func()) *Core {
	c := &Core{
		module: policy.New(*set, seed), limits: set.Limits, rules: map[string]policy.RemapRule{},
		slack: set.Contract.AnswerSlack, purged: set.Family.PurgeDone,
		txns: map[string]*Txn{}, servers: map[string]*Server{}, kick: kick,
	}
	for _, k := range set.Rules {
		c.rules[k.Name] = k
	}
	return c
}

// Rule finds a remap rule by its name.
func (c *Core) Rule(name string) (policy.RemapRule, bool) {
	k, known := c.rules[name]
	return k, known
}

// Count tells how many txns and servers there are.
func (c *Core) Count() (txns, servers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		if s.Listed() {
			servers++
		}
	}
	return c.open, servers
}

// Open takes a txn; e holds what the client told, Remaining included. Wake is
// called, under the lock, when the mailbox has something new.
func (c *Core) Open(now int64, e policy.Event, wake func()) (*Txn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limits.MaxOpen > 0 && c.open >= c.limits.MaxOpen {
		return nil, ErrFull
	}
	if c.txns[e.Txn] != nil {
		return nil, ErrTwin
	}
	t := &Txn{ID: e.Txn, core: c, deadline: now + e.Remaining, wake: wake, unsafe: c.rules[e.Rule].Effect == "unsafe"}
	c.txns[t.ID] = t
	c.open++
	t.limit = c.at(now, &timer{due: t.deadline + c.slack, txn: t})
	e.Kind = policy.EvTxn
	c.handle(now, e)
	return t, nil
}

// Kept counts a txn that a copy of the router's own answers. It never opens.
func (c *Core) Kept(now int64, e policy.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.Kind = policy.EvKept
	c.handle(now, e)
}

// Leave says that the client has gone.
func (c *Core) Leave(now int64, t *Txn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !t.closed {
		c.close(now, t)
		c.handle(now, policy.Event{Kind: policy.EvAbandoned, Txn: t.ID})
	}
}

// Outcome is how a hop ended.
type Outcome struct {
	Code   string // as the module words it
	Note   int
	Waited int64
	Load   map[string]float64
	Reply  Reply // of "done"
}

// Reply is what a completed txn is answered with; the core only hands it on.
type Reply interface{ Release() }

// Ended takes a hop's outcome. The first one counts; the reply of a later one,
// or of one that no client waits for, is released.
func (c *Core) Ended(now int64, h *Hop, o Outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended(now, h, o)
	c.run(now)
}

// unrun are the ends that prove that a hop never ran.
var unrun = map[string]bool{"busy": true, "enoent": true, "econnrefused": true, "skipped": true}

func (c *Core) ended(now int64, h *Hop, o Outcome) {
	t := h.Txn
	if h.ended {
		if o.Reply != nil {
			o.Reply.Release()
		}
		return
	}
	h.ended = true
	c.over(h.limit)
	t.out--
	t.ran = t.ran || !unrun[o.Code]
	if o.Code == "done" && !t.closed {
		t.post(Order{Kind: Completed, Hop: h, Reply: o.Reply})
		c.close(now, t)
	} else if o.Reply != nil {
		o.Reply.Release()
	}
	c.queue = append(c.queue, policy.Event{Kind: policy.EvAnswer, Txn: t.ID, Server: h.Server.Server, Hop: h.N,
		Code: o.Code, Note: o.Note, Final: t.closed, RTT: now - h.Decided, Waited: o.Waited, Load: o.Load})
	c.forget(t)
}

// Members takes changes of the list ("diff") or a whole one ("disk" at the
// start, else "snapshot") and returns the servers, as they were listed, that
// take nothing new at their addresses now.
func (c *Core) Members(now int64, scope string, list []Server) (retired []*Server) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := policy.Event{Kind: policy.EvDiscovery, Scope: scope}
	named := map[string]bool{}
	for _, s := range list {
		named[s.Server] = true
		e.Entries = append(e.Entries, s.Entry)
		if old := c.servers[s.Server]; old != nil && (!s.Listed() || old.Endpoint != s.Endpoint) {
			retired = append(retired, old)
		}
		c.servers[s.Server] = &s
		if s.State == "left" {
			delete(c.servers, s.Server)
		}
	}
	for id, old := range c.servers {
		if scope != "diff" && !named[id] {
			delete(c.servers, id)
			retired = append(retired, old)
		}
	}
	c.handle(now, e)
	return retired
}

// Peers says that the routers know each other, and when cold servers may be sent
// work at the earliest.
func (c *Core) Peers(now, hold int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handle(now, policy.Event{Kind: policy.EvPeers, Hold: hold})
}

// Learned is what the module knows, with its list of servers, for another generation
// of this router.
func (c *Core) Learned() *policy.Learned {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.module.Learned()
}

// Learn takes it over, after the list and before the first txn.
func (c *Core) Learn(l *policy.Learned) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.module.Learn(l)
}

// Outs tells the hops that are out, by server and kind.
func (c *Core) Outs() map[string][3]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.module.Outs()
}

// Beside takes those of the other generation of this router.
func (c *Core) Beside(now int64, outs map[string][3]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handle(now, policy.Event{Kind: policy.EvBeside, Outs: outs})
}

// Purge takes the purge of an object, or of a group where that is "", made at
// the given time.
func (c *Core) Purge(now int64, object string, group, at int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now-at <= c.purged {
		c.handle(now, policy.Event{Kind: policy.EvPurge, Object: object, Group: group, Age: max(now-at, 0)})
	}
}

// Probed takes a probe's result.
func (c *Core) Probed(now int64, server, code string, rtt int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handle(now, policy.Event{Kind: policy.EvHealth, Server: server, Code: code, RTT: rtt})
}

// Run does what has fallen due, and returns when to call again at the latest
// and what is to be done for no txn in particular.
func (c *Core) Run(now int64) (next int64, errands []Order) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for len(c.timers) > 0 && c.timers[0].due <= now {
		c.due(now, c.pop())
		c.run(now)
	}
	next = now + 1e6
	if len(c.timers) > 0 {
		next = c.timers[0].due
	}
	errands, c.errands = c.errands, nil
	return next, errands
}

func (c *Core) due(now int64, d *timer) {
	switch {
	case d.hop != nil:
		// Without a connection, so far, it is proven that nothing ran.
		code := "etimedout"
		if d.hop.Withdraw() {
			code = "econnrefused"
		}
		d.hop.Txn.post(Order{Kind: Drop, Hop: d.hop, Silent: true})
		c.ended(now, d.hop, Outcome{Code: code})
	case d.txn != nil:
		// No answer has come from the module by now, and one is owed.
		d.txn.post(Order{Kind: Aborted, Ran: true})
		c.close(now, d.txn)
		c.queue = append(c.queue, policy.Event{Kind: policy.EvAbandoned, Txn: d.txn.ID})
	default:
		c.queue = append(c.queue, policy.Event{Kind: policy.EvTimer, Token: d.token})
	}
}

func (c *Core) handle(now int64, e policy.Event) {
	c.queue = append(c.queue, e)
	c.run(now)
}

// run hands the module what is queued, and does what it decides, until nothing
// is left. Outcomes that its actions bring about come behind.
func (c *Core) run(now int64) {
	for len(c.queue) > 0 {
		e := c.queue[0]
		c.queue = c.queue[1:]
		c.acts = c.module.Handle(now, e, c.acts[:0])
		for _, a := range c.acts {
			c.act(now, a)
		}
	}
	c.queue = nil
}

func (c *Core) act(now int64, a policy.Action) {
	t := c.txns[a.Txn]
	switch a.Kind {
	case policy.ActGet, policy.ActPass:
		if t != nil {
			c.send(now, t, a)
		}
	case policy.ActAbort, policy.ActReject:
		if t != nil && !t.closed {
			kind := Aborted
			if a.Kind == policy.ActReject {
				kind = Rejected
			}
			t.post(Order{Kind: kind, Stay: a.Stay, Ran: t.ran || t.out > 0})
			c.close(now, t)
		}
	case policy.ActCancel:
		if t != nil && a.Hop >= 0 && a.Hop < len(t.hops) && !t.hops[a.Hop].ended {
			h := t.hops[a.Hop]
			code := "ecanceled"
			if h.Withdraw() {
				code = "skipped"
			}
			t.post(Order{Kind: Drop, Hop: h})
			c.ended(now, h, Outcome{Code: code})
		}
	case policy.ActTimer:
		c.at(now, &timer{due: a.Due, token: a.Token})
	case policy.ActProbe, policy.ActDisconnect:
		if s := c.servers[a.Server]; s != nil {
			kind := Probe
			if a.Kind == policy.ActDisconnect {
				kind = Disconnect
			}
			c.errand(Order{Kind: kind, Server: s})
		}
	case policy.ActLog:
		c.errand(Order{Kind: Log, Text: a.Text})
	}
	// The notice board is followed unasked, so there is nothing to subscribe to
	// or to fetch; messages between routers have no form on sockets.
}

// errand leaves an order to who calls Run.
func (c *Core) errand(o Order) {
	c.errands = append(c.errands, o)
	c.kick()
}

// send makes a hop. One that can't go out ends at once, proven not to have run.
func (c *Core) send(now int64, t *Txn, a policy.Action) {
	h := &Hop{Txn: t, N: len(t.hops), Rank: a.Rank, Age: a.Age, Mode: a.Mode, Due: t.deadline, Until: a.Until, Decided: now, Twice: t.unsafe && (t.ran || t.out > 0)}
	t.hops = append(t.hops, h)
	t.out++
	if a.Cap > 0 {
		h.Due = min(h.Due, now+a.Cap)
	} else if a.Cap < 0 {
		h.Due = now
	}
	h.Server = c.servers[a.Server]
	if h.Server == nil {
		h.Server = &Server{Entry: policy.Entry{Server: a.Server}}
	}
	if a.Source != a.Server {
		h.Source = a.Source
	}
	if t.closed || h.Due <= now || c.limits.MaxHops > 0 && h.N >= c.limits.MaxHops || !h.Server.Listed() {
		h.Withdraw()
		c.ended(now, h, Outcome{Code: "skipped"})
		return
	}
	h.limit = c.at(now, &timer{due: h.Due, hop: h})
	t.post(Order{Kind: Send, Hop: h})
}

// close ends the txn for the client. Its hops still get their outcomes; one of which
// not a byte is written begins no more, also where none may be withdrawn later.
func (c *Core) close(now int64, t *Txn) {
	t.closed = true
	c.over(t.limit)
	c.open--
	for _, h := range t.hops {
		if !h.ended && h.Withdraw() {
			t.post(Order{Kind: Drop, Hop: h})
			c.ended(now, h, Outcome{Code: "skipped"})
		}
	}
	c.forget(t)
}

func (c *Core) forget(t *Txn) {
	if t.closed && t.out == 0 {
		delete(c.txns, t.ID)
	}
}
