// Package emulator drives a world: on a virtual clock, against the router's core
// and module in one process (virtual.go), or on the real one, against router
// processes on loopback (sockets.go). Neither holds rules of the world.
package emulator

import (
	"container/heap"
	"context"
	"time"

	"quilldoor/internal/checker"
	"quilldoor/internal/engine"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/gossip"
	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
	"quilldoor/internal/settings"
	"quilldoor/internal/simfleet"
	"quilldoor/internal/simulation"
	"quilldoor/internal/stall"
)

// Options of a run.
type Options struct {
	Seed     uint64
	Record   func(*eventlog.Entry)                           // each line of the record, valid during the call; nil: none
	Progress func(done float64, seconds []simulation.Second) // about once a simulated second

	// Of wrong routers, for tests of the referee and of the model.
	Settings func(*settings.Setup)                      // changes what routers are handed
	Deaf     func(router int, n simulation.Notice) bool // notices that it doesn't hear
	Answer   func(txn string, n int) int                // how often they give an answer; nil: once
	Refuse   func(router int, rule string) bool         // txns that it refuses as they come; nil: none
	Lag      func(router int) float64                   // how much longer its hops take, as a share; nil: no longer

	Each  func(now int64) // ten times a second; on the virtual clock
	ready func(*virtual)
	looks onlooker // nil: nobody looks on
}

// onlooker hears what a keeper would beside a router. Times are the routers'.
type onlooker interface {
	listed(router int, now int64, whole bool, list []engine.Endpoint)
	purged(router int, now int64, object string, group, made int64)
	sent(router int, rule string, h *engine.Attempt)
	answered(router int, a *simulation.Ask, h *engine.Attempt, issued int64)
}

// Result is what came of a run.
type Result struct {
	*simulation.Result
	Breaks []checker.Violation
	Count  [6]int // broken, by rule
	Judged int
	Late   int64 // on sockets: how late the model was at most, in microseconds

	Cost    Cost     // on sockets: of all router processes
	Excused int      // txns that fell due while their router stood still, or whose process was killed
	Broke   int      // on sockets: connections that ended without an answer, not by their client
	Refused int      // on sockets: connections
	Members *Members // nil: routers don't know each other
}

// Cost is what processes used: CPU of all together, memory of the largest.
type Cost struct {
	CPU    time.Duration
	MostKB int64
}

// TooLate is when a run on sockets tells nothing: the model itself broke the
// graces that routers are judged by.
const TooLate = 100_000

// Figures of the rules for a script.
func Figures(s *scenario.Scenario, slack int64) checker.Settings {
	const toldBy = 7_000_000 // the platform's page: what the board has counts as told 7 s later
	f := &s.Fleet
	return checker.Settings{
		Classes: s.Classes(), AnswerSlack: slack, DrainGrace: int64(f.DrainGraceMS * 1000),
		PurgeGrace: int64(f.PurgeGraceMS * 1000), NotificationDeadline: toldBy,
	}
}

// epoch is the routers' time at the world's zero: births before are told as 0.
const epoch = int64(1_000_000_000_000)

// virtual is a run on a virtual clock.
type virtual struct {
	opt     Options
	set     *scenario.Scenario
	world   *simulation.World
	referee *checker.Checker
	routers []*vrouter
	due     dueHeap
	kicked  []*vrouter
	ready   []*vtxn
	purges  map[int][]simulation.Notice // that routers were told of, where sites are joined
	roster  *simfleet.Fleet             // what routers know of each other; nil: nothing
	knows   Members
}

// vrouter is a router: its core, and the time of its next timer.
type vrouter struct {
	id     int
	core   *engine.Engine
	starts uint64
	next   int64
	place  int
	kick   bool
	open   map[string]*vtxn
	gate   *peerpolicy.Controller // nil: its site is alone
	from   map[string]*vtxn       // txns that it has handed over
	beats  map[*vrouter]int64     // when peers were heard

	book *gossip.Replica // nil: routers don't know each other

	stopped   bool
	held      []func() // what waits for it to go on
	stoppedAt int64
	wokeAt    int64 // 0: it never stood still
}

// act does something at a router, or keeps it until the router has woken.
func (r *vrouter) act(do func()) {
	if r.stopped {
		r.held = append(r.held, do)
		return
	}
	do()
}

type vtxn struct {
	router *vrouter
	core   *engine.Engine // the router may have been started again since
	txn    *engine.Request
	ask    *simulation.Ask
	rung   bool
	over   bool
	issued int64
	home   *vrouter // that handed it over; nil: it came from a client
}

type reply struct{ issued int64 }

func (reply) Release() {}

// Virtual plays a script on a virtual clock. The same script and seed give the
// same result, whatever the machine.
func Virtual(ctx context.Context, s *scenario.Scenario, opt Options) (*Result, error) {
	v := &virtual{opt: opt, set: s, referee: checker.New(Figures(s, 8_000)), purges: map[int][]simulation.Notice{}}
	v.world = simulation.New(s, opt.Seed, v)
	for i := range v.world.Routers() {
		r := &vrouter{id: i, next: 1 << 62, place: -1}
		v.routers = append(v.routers, r)
		v.start(r, v.world.Known())
	}
	v.settle()
	v.know()
	if opt.ready != nil {
		opt.ready(v)
	}
	if opt.Each != nil {
		var each func()
		each = func() {
			opt.Each(v.world.Now())
			v.world.After(100_000, each)
		}
		v.world.After(100_000, each)
	}
	end, told := v.world.Length(), int64(0)
	for steps := 0; !v.world.Over(); steps++ {
		now := v.world.Next()
		if v.roster != nil {
			if at := v.roster.NextEvent(); at <= now && (len(v.due) == 0 || at <= v.due[0].next) {
				if at > end {
					break
				}
				v.world.At(at)
				v.roster.RunUntil(at)
				continue
			}
		}
		if len(v.due) > 0 && v.due[0].next < now {
			now = v.due[0].next
			if now > end {
				break
			}
			v.world.At(now)
			v.run(v.due[0])
		} else if now > end {
			break
		} else {
			v.world.Step(now)
		}
		v.settle()
		if steps%1024 == 0 {
			if err := ctx.Err(); err != nil {
				return nil, err
			}
			if at := now / 1_000_000; at > told && opt.Progress != nil {
				told = at
				opt.Progress(float64(now)/float64(end), v.world.Result.Timeline)
			}
		}
	}
	return v.result(), nil
}

func (v *virtual) result() *Result {
	r := &Result{Result: v.world.Result, Breaks: v.referee.Violations, Count: v.referee.CountByRule, Judged: v.referee.Checked, Excused: v.referee.Excused}
	if v.roster != nil {
		r.Members = &v.knows
	}
	return r
}

// start makes a router's core from nothing.
func (v *virtual) start(r *vrouter, known []simulation.Server) {
	setup := v.set.Settings(v.world.Office(r.id), r.id)
	if v.opt.Settings != nil {
		v.opt.Settings(&setup)
	}
	set := setup.PolicySettings()
	r.starts++
	r.open = map[string]*vtxn{}
	// A core of before may still call its kick; it must not wake the new one.
	var self *engine.Engine
	r.kick = false
	self = engine.New(&set, v.opt.Seed*1000+uint64(r.id)+r.starts<<32, func() {
		if r.core == self && !r.kick {
			r.kick = true
			v.kicked = append(v.kicked, r)
		}
	})
	r.core = self
	v.join(r)
	if v.opt.looks != nil {
		v.opt.looks.listed(r.id, v.now(), true, servers(known))
	}
	if v.set.Fleet.Membership {
		r.book = gossip.New(gossip.Settings{PurgeRetention: int64(v.set.Fleet.PurgeCompleteMS*1000) + longest})
		r.core.HoldSlowStart(v.now(), v.now()+set.Contract.OverloadWindow)
	}
	r.core.UpdateEndpoints(v.now(), policy.ScopeDisk, v.known(r, true, servers(known)))
	v.run(r)
}

func servers(list []simulation.Server) (out []engine.Endpoint) {
	for _, s := range list {
		e := s.Endpoint
		if e.StartedAt > 0 {
			e.StartedAt += epoch
		}
		out = append(out, engine.Endpoint{Endpoint: e, Address: e.ID})
	}
	return out
}

func (v *virtual) now() int64 { return v.world.Now() + epoch }

// run does what has fallen due at a router, and sets its next time.
func (v *virtual) run(r *vrouter) {
	if r.stopped {
		r.next = 1 << 62
		heap.Fix(&v.due, r.place)
		return
	}
	next, errands := r.core.Run(v.now())
	for _, o := range errands {
		if o.Kind == engine.CommandDrop {
			v.world.Cancel(r.id, o.Attempt.Request.ID, o.Attempt.Number)
		}
	}
	r.next = next - epoch
	if r.place < 0 {
		heap.Push(&v.due, r)
	} else {
		heap.Fix(&v.due, r.place)
	}
}

// settle carries out what routers have decided, until nothing is left.
func (v *virtual) settle() {
	for len(v.ready) > 0 || len(v.kicked) > 0 {
		for i := 0; i < len(v.ready); i++ {
			t := v.ready[i]
			t.rung = false
			v.orders(t, t.txn.TakeCommands())
		}
		v.ready = v.ready[:0]
		for i := 0; i < len(v.kicked); i++ {
			r := v.kicked[i]
			r.kick = false
			if r.core != nil {
				v.run(r)
			}
		}
		v.kicked = v.kicked[:0]
	}
}

func (v *virtual) orders(t *vtxn, orders []engine.Command) {
	for _, o := range orders {
		switch o.Kind {
		case engine.CommandSend:
			v.send(t, o.Attempt)
		case engine.CommandDrop:
			v.world.Cancel(t.router.id, t.ask.Txn, o.Attempt.Number)
		case engine.CommandRespond:
			if v.opt.looks != nil && o.Attempt != nil && !t.over {
				v.opt.looks.answered(t.router.id, t.ask, o.Attempt, o.Response.(reply).issued)
			}
			v.ended(t, "completed", o.Response.(reply).issued, o)
		case engine.CommandReject:
			v.ended(t, "rejected", 0, o)
		case engine.CommandFail:
			v.ended(t, "aborted", 0, o)
		}
	}
}

func (v *virtual) send(t *vtxn, h *engine.Attempt) {
	if t.over || !h.Begin() {
		return
	}
	a := t.ask
	if v.opt.looks != nil {
		v.opt.looks.sent(t.router.id, v.world.RuleOf(a.Rule).Name, h)
	}
	x := &simulation.Hop{
		Router: t.router.id, Txn: a.Txn, N: h.Number, Server: h.Endpoint.ID, Source: h.Source, Rank: h.CachePriority,
		FillMode: h.FillMode, Within: h.MaxAge, Rule: a.Rule, Object: a.Object, Part: a.Part, Group: a.Group, SizeKB: a.SizeKB,
		Write: a.Write, Tag: h,
	}
	if x.Source == "" && h.Endpoint.Kind == "ledger" {
		x.Source = h.Endpoint.ID
	}
	v.world.Hop(x)
}

// ended takes the module's final order: it is the answer, unless another site has
// handed the txn over, or takes it.
func (v *virtual) ended(t *vtxn, outcome string, issued int64, o engine.Command) {
	switch {
	case t.over:
	case t.home != nil:
		v.carriedBack(t, outcome, issued, o)
	case t.router.gate != nil:
		t.router.gate.ObserveLocal(v.now(), outcome == "rejected")
		if outcome != "rejected" || !v.cross(t, o) {
			v.final(t, outcome, issued, o.RetryAfter)
		}
	default:
		v.final(t, outcome, issued, o.RetryAfter)
	}
}

func (v *virtual) final(t *vtxn, outcome string, issued, stay int64) {
	if t.over {
		return
	}
	t.over = true
	times := 1
	if v.opt.Answer != nil {
		times = v.opt.Answer(t.ask.Txn, 1)
	}
	for range times {
		v.world.Final(t.router.id, t.ask.Txn, outcome, issued, stay)
	}
	v.detach(t)
}

// detach ends the reading of a mailbox, as front does.
func (v *virtual) detach(t *vtxn) {
	delete(t.router.open, t.ask.Txn)
	for _, o := range t.txn.Detach() {
		if o.Kind == engine.CommandDrop {
			v.world.Cancel(t.router.id, t.ask.Txn, o.Attempt.Number)
		}
	}
}

// ---- What the world says ----

// Ask opens a txn.
func (v *virtual) Ask(a *simulation.Ask) {
	v.routers[a.Router].act(func() { v.ask(a) })
}

func (v *virtual) ask(a *simulation.Ask) {
	r := v.routers[a.Router]
	t := &vtxn{router: r, core: r.core, ask: a}
	// What is read as it wakes may have waited all the time, as front has it.
	left := a.Limit
	if r.wokeAt > 0 && v.now()-r.wokeAt < stall.BufferDrainMicros {
		left -= v.now() - r.stoppedAt
	}
	if left <= 0 || v.opt.Refuse != nil && v.opt.Refuse(r.id, v.world.RuleOf(a.Rule).Name) {
		v.world.Final(r.id, a.Txn, "rejected", 0, 0)
		return
	}
	txn, err := r.core.Open(v.now(), policy.Event{
		Request: a.Txn, Class: v.world.RuleOf(a.Rule).Name, Object: a.Object, Group: a.Group,
		Part: a.Part, Remaining: left, ClientRetry: a.Again, Write: a.Write,
	}, func() {
		if !t.rung && !t.over {
			t.rung = true
			v.ready = append(v.ready, t)
		}
	})
	if err != nil {
		v.world.Final(r.id, a.Txn, "rejected", 0, 0)
		t.over, t.rung = true, true
		return
	}
	t.txn = txn
	r.open[a.Txn] = t
}

// Leave says that a client has gone.
func (v *virtual) Leave(router int, txn string) {
	v.routers[router].act(func() { v.leave(router, txn) })
}

func (v *virtual) leave(router int, txn string) {
	if r := v.routers[router]; r.from[txn] != nil {
		delete(r.from, txn)
		r.gate.ClientGone(txn)
		v.crossed(r)
		return
	}
	if t := v.routers[router].open[txn]; t != nil {
		t.over = true
		t.core.ClientGone(v.now(), t.txn)
		v.detach(t)
	}
}

// End ends a hop.
func (v *virtual) End(router int, h *simulation.Hop, e simulation.End) {
	v.routers[router].act(func() { v.end(router, h, e) })
}

func (v *virtual) end(router int, h *simulation.Hop, e simulation.End) {
	r := v.routers[router]
	o := engine.Result{Outcome: e.Outcome, Reason: e.Reason, OriginWait: e.Waited, Load: e.Load}
	if e.Outcome == policy.OutcomeDone {
		o.Response = reply{e.Issued}
	}
	if r.core == nil {
		return
	}
	c, hop := r.core, h.Tag.(*engine.Attempt)
	if v.opt.Lag != nil {
		if by := int64(v.opt.Lag(router) * float64(v.now()-hop.DecidedAt)); by > 0 {
			v.world.After(by, func() {
				if r.core == c {
					c.AttemptEnded(v.now(), hop, o)
				}
			})
			return
		}
	}
	c.AttemptEnded(v.now(), hop, o)
}

// Told tells a router of servers, or of a purge.
func (v *virtual) Told(router int, n simulation.Notice) {
	v.routers[router].act(func() { v.told(router, n) })
}

func (v *virtual) told(router int, n simulation.Notice) {
	r := v.routers[router]
	if v.opt.looks != nil {
		if n.Purge {
			v.opt.looks.purged(router, v.now(), n.Object, n.Group, n.At+epoch)
		} else {
			v.opt.looks.listed(router, v.now(), false, servers(n.Servers))
		}
	}
	if v.opt.Deaf != nil && v.opt.Deaf(router, n) {
		return
	}
	if n.Purge {
		if r.gate != nil {
			v.purges[router] = append(v.purges[router], n)
		}
		if r.book != nil {
			r.book.ApplyLocalPurge(v.now(), gossip.Purge{Object: n.Object, Group: n.Group, At: n.At + epoch})
		}
		r.core.Purge(v.now(), n.Object, n.Group, n.At+epoch)
		return
	}
	r.core.UpdateEndpoints(v.now(), policy.ScopeDiff, v.known(r, false, servers(n.Servers)))
}

// Down kills a router.
func (v *virtual) Down(router int) {
	r := v.routers[router]
	for _, t := range r.open {
		t.over = true
	}
	r.core, r.open = nil, map[string]*vtxn{}
	r.stopped, r.held, r.wokeAt = false, nil, 0
	if v.roster != nil {
		v.roster.Kill(router)
	}
	v.part(r)
	if r.place >= 0 {
		heap.Remove(&v.due, r.place)
	}
}

// Up starts it from nothing.
func (v *virtual) Up(router int, known []simulation.Server) {
	v.start(v.routers[router], known)
	if v.roster != nil {
		v.roster.Start(router)
	}
}

// Stop lets a router stand still: what comes waits for it.
func (v *virtual) Stop(router int) {
	r := v.routers[router]
	r.stopped, r.stoppedAt = true, v.now()
	if v.roster != nil {
		v.roster.Pause(router)
	}
}

// Wake lets it go on as it was.
func (v *virtual) Wake(router int) {
	r := v.routers[router]
	r.stopped, r.wokeAt = false, v.now()
	held := r.held
	r.held = nil
	for _, do := range held {
		do()
	}
	if r.core != nil {
		v.run(r)
	}
	if v.roster != nil {
		v.roster.Resume(router)
	}
}

// Starve takes CPU from what the router knows of the others; txns cost none here.
func (v *virtual) Starve(router int, share float64) {
	if v.roster != nil {
		v.roster.Throttle(router, share)
	}
}

// Note passes a line of the record on.
func (v *virtual) Note(e *eventlog.Entry) {
	v.referee.Observe(e)
	if v.opt.Record != nil {
		v.opt.Record(e)
	}
}

type dueHeap []*vrouter

func (h dueHeap) Len() int { return len(h) }
func (h dueHeap) Less(i, j int) bool {
	return h[i].next < h[j].next || h[i].next == h[j].next && h[i].id < h[j].id
}

func (h dueHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].place, h[j].place = i, j
}

func (h *dueHeap) Push(x any) {
	x.(*vrouter).place = len(*h)
	*h = append(*h, x.(*vrouter))
}

func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	x.place = -1
	return x
}
