package emulator

import (
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
	"quilldoor/internal/simulation"
	"quilldoor/internal/stall"
)

// vtxn is a request that a router of the virtual clock works on.
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

// reply is a response of the virtual clock: it has no bytes, only the time it was issued at.
type reply struct{ issued int64 }

// Release does nothing: there is no buffer to give back.
func (reply) Release() {}

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
