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

// Endpoint is one line of the list with its address.
type Endpoint struct {
	policy.Endpoint
	Address string
}

// Active tells whether the server may be sent anything new.
func (s *Endpoint) Active() bool { return s.State == policy.EndpointActive }

// Errors of Open.
var (
	ErrFull      = errors.New("too many open txns")
	ErrDuplicate = errors.New("the txn's id is open already")
)

// Engine drives one instance of the module. Its lock is held for decisions only.
type Engine struct {
	mu      sync.Mutex
	module  *policy.Router
	limits  policy.Limits
	rules   map[string]policy.TrafficClass
	slack   int64               // after a txn's time limit, before it is closed here
	purged  int64               // older purges bind no more
	txns    map[string]*Request // until closed and every hop has ended
	open    int                 // of them: not closed
	servers map[string]*Endpoint
	timers  timers
	queue   []policy.Event
	acts    []policy.Action
	errands []Command
	kick    func()
}

// New starts the module. Kick is called, under the lock, when Run is wanted
// sooner than it last said, or has errands.
func New(set *policy.Settings, seed uint64, kick func()) *Engine {
	c := &Engine{
		module: policy.New(*set, seed), limits: set.Limits, rules: map[string]policy.TrafficClass{},
		slack: set.Contract.AnswerSlack, purged: set.Hierarchy.PurgeSettleTime,
		txns: map[string]*Request{}, servers: map[string]*Endpoint{}, kick: kick,
	}
	for _, k := range set.Classes {
		c.rules[k.Name] = k
	}
	return c
}

// Class finds a remap rule by its name.
func (c *Engine) Class(name string) (policy.TrafficClass, bool) {
	k, known := c.rules[name]
	return k, known
}

// Count tells how many txns and servers there are.
func (c *Engine) Count() (txns, servers int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, s := range c.servers {
		if s.Active() {
			servers++
		}
	}
	return c.open, servers
}

// Open takes a txn; e holds what the client told, Remaining included. Wake is
// called, under the lock, when the mailbox has something new.
func (c *Engine) Open(now int64, e policy.Event, wake func()) (*Request, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.limits.MaxOpenRequests > 0 && c.open >= c.limits.MaxOpenRequests {
		return nil, ErrFull
	}
	if c.txns[e.Request] != nil {
		return nil, ErrDuplicate
	}
	t := &Request{ID: e.Request, core: c, deadline: now + e.Remaining, wake: wake, unsafe: c.rules[e.Class].Effect == policy.EffectUnsafe}
	c.txns[t.ID] = t
	c.open++
	t.limit = c.at(now, &timer{due: t.deadline + c.slack, txn: t})
	e.Kind = policy.EventRequest
	c.handle(now, e)
	return t, nil
}

// LocalHit counts a txn that a copy of the router's own answers. It never opens.
func (c *Engine) LocalHit(now int64, e policy.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e.Kind = policy.EventLocalHit
	c.handle(now, e)
}

// ClientGone says that the client has gone.
func (c *Engine) ClientGone(now int64, t *Request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !t.closed {
		c.close(now, t)
		c.handle(now, policy.Event{Kind: policy.EventClientGone, Request: t.ID})
	}
}

// Result is how an attempt ended.
type Result struct {
	Outcome    policy.Outcome
	Reason     policy.Reason
	OriginWait int64
	Load       map[string]float64
	Response   Response // of OutcomeDone
}

// Response is what a completed txn is answered with; the core only hands it on.
type Response interface{ Release() }

// AttemptEnded takes a hop's outcome. The first one counts; the reply of a later one,
// or of one that no client waits for, is released.
func (c *Engine) AttemptEnded(now int64, h *Attempt, o Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended(now, h, o)
	c.run(now)
}

func (c *Engine) ended(now int64, h *Attempt, o Result) {
	t := h.Request
	if h.ended {
		if o.Response != nil {
			o.Response.Release()
		}
		return
	}
	h.ended = true
	c.over(h.limit)
	t.out--
	t.ran = t.ran || !o.Outcome.NeverExecuted()
	if o.Outcome == policy.OutcomeDone && !t.closed {
		t.post(Command{Kind: CommandRespond, Attempt: h, Response: o.Response})
		c.close(now, t)
	} else if o.Response != nil {
		o.Response.Release()
	}
	c.queue = append(c.queue, policy.Event{
		Kind: policy.EventAttemptEnded, Request: t.ID, Endpoint: h.Endpoint.ID, Attempt: h.Number,
		Outcome: o.Outcome, Reason: o.Reason, Final: t.closed, RTT: now - h.DecidedAt, OriginWait: o.OriginWait, Load: o.Load,
	})
	c.forget(t)
}

// UpdateEndpoints takes changes of the list ("diff") or a whole one ("disk" at the
// start, else "snapshot") and returns the servers, as they were listed, that
// take nothing new at their addresses now.
func (c *Engine) UpdateEndpoints(now int64, scope policy.UpdateScope, list []Endpoint) (retired []*Endpoint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := policy.Event{Kind: policy.EventEndpoints, Scope: scope}
	named := map[string]bool{}
	for _, s := range list {
		named[s.ID] = true
		e.Endpoints = append(e.Endpoints, s.Endpoint)
		if old := c.servers[s.ID]; old != nil && (!s.Active() || old.Address != s.Address) {
			retired = append(retired, old)
		}
		c.servers[s.ID] = &s
		if s.State == policy.EndpointGone {
			delete(c.servers, s.ID)
		}
	}
	for id, old := range c.servers {
		if scope != policy.ScopeDiff && !named[id] {
			delete(c.servers, id)
			retired = append(retired, old)
		}
	}
	c.handle(now, e)
	return retired
}

// HoldSlowStart says that the routers know each other, and when cold servers may be sent
// work at the earliest.
func (c *Engine) HoldSlowStart(now, hold int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handle(now, policy.Event{Kind: policy.EventSlowStartHold, HoldUntil: hold})
}

// Snapshot is what the module knows, with its list of servers, for another generation
// of this router.
func (c *Engine) Snapshot() *policy.Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.module.Snapshot()
}

// Restore takes it over, after the list and before the first txn.
func (c *Engine) Restore(l *policy.Snapshot) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.module.Restore(l)
}

// InFlight tells the hops that are out, by server and kind.
func (c *Engine) InFlight() map[string][3]float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.module.InFlight()
}

// SetOtherGeneration takes those of the other generation of this router.
func (c *Engine) SetOtherGeneration(now int64, outs map[string][3]float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handle(now, policy.Event{Kind: policy.EventOtherGeneration, InFlight: outs})
}

// Purge takes the purge of an object, or of a group where that is "", made at
// the given time.
func (c *Engine) Purge(now int64, object string, group, at int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now-at <= c.purged {
		c.handle(now, policy.Event{Kind: policy.EventPurge, Object: object, Group: group, Age: max(now-at, 0)})
	}
}

// HealthChecked takes a probe's result.
func (c *Engine) HealthChecked(now int64, endpoint string, outcome policy.Outcome, rtt int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.handle(now, policy.Event{Kind: policy.EventHealthCheck, Endpoint: endpoint, Outcome: outcome, RTT: rtt})
}

// Run does what has fallen due, and returns when to call again at the latest
// and what is to be done for no txn in particular.
func (c *Engine) Run(now int64) (next int64, errands []Command) {
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

func (c *Engine) due(now int64, d *timer) {
	switch {
	case d.hop != nil:
		// Without a connection, so far, it is proven that nothing ran.
		outcome := policy.OutcomeTimeout
		if d.hop.Withdraw() {
			outcome = policy.OutcomeConnectionRefused
		}
		d.hop.Request.post(Command{Kind: CommandDrop, Attempt: d.hop, Silent: true})
		c.ended(now, d.hop, Result{Outcome: outcome})
	case d.txn != nil:
		// No answer has come from the module by now, and one is owed.
		d.txn.post(Command{Kind: CommandFail, MaybeExecuted: true})
		c.close(now, d.txn)
		c.queue = append(c.queue, policy.Event{Kind: policy.EventClientGone, Request: d.txn.ID})
	default:
		c.queue = append(c.queue, policy.Event{Kind: policy.EventTimer, Token: d.token})
	}
}

func (c *Engine) handle(now int64, e policy.Event) {
	c.queue = append(c.queue, e)
	c.run(now)
}

// run hands the module what is queued, and does what it decides, until nothing
// is left. Outcomes that its actions bring about come behind.
func (c *Engine) run(now int64) {
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

func (c *Engine) act(now int64, a policy.Action) {
	t := c.txns[a.Request]
	switch a.Kind {
	case policy.ActionSend, policy.ActionForward:
		if t != nil {
			c.send(now, t, a)
		}
	case policy.ActionFail, policy.ActionReject:
		if t != nil && !t.closed {
			kind := CommandFail
			if a.Kind == policy.ActionReject {
				kind = CommandReject
			}
			t.post(Command{Kind: kind, RetryAfter: a.RetryAfter, MaybeExecuted: t.ran || t.out > 0})
			c.close(now, t)
		}
	case policy.ActionCancel:
		if t != nil && a.Attempt >= 0 && a.Attempt < len(t.hops) && !t.hops[a.Attempt].ended {
			h := t.hops[a.Attempt]
			outcome := policy.OutcomeCanceled
			if h.Withdraw() {
				outcome = policy.OutcomeSkipped
			}
			t.post(Command{Kind: CommandDrop, Attempt: h})
			c.ended(now, h, Result{Outcome: outcome})
		}
	case policy.ActionSetTimer:
		c.at(now, &timer{due: a.Due, token: a.Token})
	case policy.ActionHealthCheck, policy.ActionDisconnect:
		if s := c.servers[a.Endpoint]; s != nil {
			kind := CommandHealthCheck
			if a.Kind == policy.ActionDisconnect {
				kind = CommandDisconnect
			}
			c.errand(Command{Kind: kind, Endpoint: s})
		}
	case policy.ActionLog:
		c.errand(Command{Kind: CommandLog, Text: a.Text})
	}
	// The notice board is followed unasked, so there is nothing to subscribe to
	// or to fetch; messages between routers have no form on sockets.
}

// errand leaves an order to who calls Run.
func (c *Engine) errand(o Command) {
	c.errands = append(c.errands, o)
	c.kick()
}

// send makes a hop. One that can't go out ends at once, proven not to have run.
func (c *Engine) send(now int64, t *Request, a policy.Action) {
	h := &Attempt{Request: t, Number: len(t.hops), CachePriority: a.CachePriority, MaxAge: a.MaxAge, FillMode: a.FillMode, Deadline: t.deadline, SendBefore: a.SendBefore, DecidedAt: now, Unsafe: t.unsafe && (t.ran || t.out > 0)}
	t.hops = append(t.hops, h)
	t.out++
	if a.Timeout > 0 {
		h.Deadline = min(h.Deadline, now+a.Timeout)
	} else if a.Timeout < 0 {
		h.Deadline = now
	}
	h.Endpoint = c.servers[a.Endpoint]
	if h.Endpoint == nil {
		h.Endpoint = &Endpoint{Endpoint: policy.Endpoint{ID: a.Endpoint}}
	}
	if a.Source != a.Endpoint {
		h.Source = a.Source
	}
	if t.closed || h.Deadline <= now || c.limits.MaxAttempts > 0 && h.Number >= c.limits.MaxAttempts || !h.Endpoint.Active() {
		h.Withdraw()
		c.ended(now, h, Result{Outcome: policy.OutcomeSkipped})
		return
	}
	h.limit = c.at(now, &timer{due: h.Deadline, hop: h})
	t.post(Command{Kind: CommandSend, Attempt: h})
}

// close ends the txn for the client. Its hops still get their outcomes; one of which
// not a byte is written begins no more, also where none may be withdrawn later.
func (c *Engine) close(now int64, t *Request) {
	t.closed = true
	c.over(t.limit)
	c.open--
	for _, h := range t.hops {
		if !h.ended && h.Withdraw() {
			t.post(Command{Kind: CommandDrop, Attempt: h})
			c.ended(now, h, Result{Outcome: policy.OutcomeSkipped})
		}
	}
	c.forget(t)
}

func (c *Engine) forget(t *Request) {
	if t.closed && t.out == 0 {
		delete(c.txns, t.ID)
	}
}
