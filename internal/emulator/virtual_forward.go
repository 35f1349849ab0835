package emulator

import (
	"quilldoor/internal/engine"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/policy"
	"quilldoor/internal/simulation"
)

// giveUp ends a txn that another site's router has given up.
func (v *virtual) giveUp(r *vrouter, x *vtxn) {
	x.over = true
	x.core.ClientGone(v.now(), x.txn)
	v.detach(x)
	r.gate.FinishInbound(v.now(), nameOf(x.home.id), x.ask.Txn, false)
}

var effectOf = map[policy.Effect]peerpolicy.Effect{
	policy.EffectIdempotent:     peerpolicy.EffectIdempotent,
	policy.EffectIdempotencyKey: peerpolicy.EffectIdempotencyKey,
	policy.EffectUnsafe:         peerpolicy.EffectUnsafe,
}

// cross hands over a txn that the module has refused; false: it stays.
func (v *virtual) cross(t *vtxn, o engine.Command) bool {
	r, a, now := t.router, t.ask, v.now()
	rule := v.world.RuleOf(a.Rule)
	left := a.Deadline() - v.world.Now()
	p, reason := r.gate.Forward(now, &peerpolicy.Request{RequestID: a.Txn, Effect: effectOf[rule.Effect], NeverRan: !o.MaybeExecuted, Deadline: now + left})
	if reason != peerpolicy.ReasonOK {
		return false
	}
	r.gate.MarkSent(a.Txn)
	v.detach(t)
	r.from[a.Txn] = t
	t.over = true
	v.world.Result.Crossed++
	var far *vrouter
	for _, x := range v.routers {
		if nameOf(x.id) == p.Name {
			far = x
		}
	}
	budget := r.gate.Budget(now, a.Txn) // counted there from when it comes
	v.over(func() { v.arrive(far, t, budget) })
	return true
}

// arrive is a txn at the other site.
func (v *virtual) arrive(far *vrouter, t *vtxn, left int64) {
	home, a := t.router, t.ask
	if far.gate == nil || far.core == nil {
		return // no process: the gate hears of it by silence
	}
	if far.gate.Admit(v.now(), nameOf(home.id), a.Txn, []string{nameOf(home.id)}, 0) != peerpolicy.ReasonOK || far.open[a.Txn] != nil {
		v.back(far, home, t, peerpolicy.PeerAnswer{Outcome: peerpolicy.OutcomeRejected, NeverRan: true}, 0)
		return
	}
	b := *a
	b.Router = far.id
	v.Note(&eventlog.Entry{Kind: eventlog.KindForwarded, At: v.world.Now(), Router: far.id, Request: a.Txn, Attempt: home.id})
	x := &vtxn{router: far, core: far.core, ask: &b, home: home}
	txn, err := far.core.Open(v.now(), policy.Event{
		Request: a.Txn, Class: v.world.RuleOf(a.Rule).Name, Object: a.Object, Group: a.Group,
		Part: a.Part, Remaining: left, ClientRetry: a.Again, Write: a.Write,
	}, func() {
		if !x.rung && !x.over {
			x.rung = true
			v.ready = append(v.ready, x)
		}
	})
	if err != nil {
		far.gate.FinishInbound(v.now(), nameOf(home.id), a.Txn, false)
		v.back(far, home, t, peerpolicy.PeerAnswer{Outcome: peerpolicy.OutcomeRejected, NeverRan: true}, 0)
		return
	}
	x.txn = txn
	far.open[a.Txn] = x
}

// carriedBack is the far side's end of a txn.
func (v *virtual) carriedBack(x *vtxn, outcome string, issued int64, o engine.Command) {
	x.over = true
	v.detach(x)
	far := x.router
	far.gate.FinishInbound(v.now(), nameOf(x.home.id), x.ask.Txn, outcome == "completed")
	end := peerpolicy.PeerAnswer{Outcome: peerpolicy.OutcomeAborted}
	kb := 0.0
	switch outcome {
	case "completed":
		end = peerpolicy.PeerAnswer{Outcome: peerpolicy.OutcomeCompleted, IssuedMillis: issued}
		kb = x.ask.SizeKB
		if x.ask.Write {
			end.IssuedMillis = 0
		}
	case "rejected":
		end = peerpolicy.PeerAnswer{Outcome: peerpolicy.OutcomeRejected, NeverRan: !o.MaybeExecuted}
	}
	v.back(far, x.home, &vtxn{ask: x.ask}, end, kb)
}

// back takes an answer home.
func (v *virtual) back(far, home *vrouter, t *vtxn, end peerpolicy.PeerAnswer, kb float64) {
	pace := int64(kb / (sitePace * v.set.Fleet.FlowKBPerS) * 1e6)
	v.world.After(pace, func() {
		v.over(func() {
			if home.gate == nil {
				return
			}
			home.back(t.ask.Txn, end.IssuedMillis)
			// Issues are the world's microseconds here; so are purges.
			end.LatestPurgeMillis = v.purgedHere(home, t.ask)
			home.gate.HandleAnswer(v.now(), nameOf(far.id), t.ask.Txn, end)
			v.crossed(home)
		})
	})
}

// back keeps the issue for the answer that the gate may give.
func (r *vrouter) back(txn string, issued int64) {
	if t := r.from[txn]; t != nil {
		t.issued = issued
	}
}

// purgedHere is the youngest purge that a router was told of and that binds a txn.
func (v *virtual) purgedHere(r *vrouter, a *simulation.Ask) (at int64) {
	for _, p := range v.purges[r.id] {
		if p.Object != "" && p.Object == a.Object || p.Object == "" && p.Group == a.Group {
			at = max(at, p.At)
		}
	}
	return at
}

// crossed carries out what a gate has decided.
func (v *virtual) crossed(r *vrouter) {
	for _, a := range r.gate.Actions() {
		switch a.Kind {
		case peerpolicy.ActionAnswer:
			t := r.from[a.RequestID]
			if t == nil {
				continue
			}
			delete(r.from, a.RequestID)
			outcome := map[peerpolicy.Outcome]string{peerpolicy.OutcomeCompleted: "completed", peerpolicy.OutcomeRejected: "rejected", peerpolicy.OutcomeAborted: "aborted"}[a.Outcome]
			if outcome == "completed" {
				v.world.Result.CrossedDone++
			}
			v.world.Final(r.id, a.RequestID, outcome, t.issued, 500_000)
		case peerpolicy.ActionWithdraw:
			for _, p := range v.peers(r) {
				if nameOf(p.id) != a.Peer {
					continue
				}
				v.over(func() {
					if x := p.open[a.RequestID]; x != nil && x.home == r && p.gate != nil {
						v.giveUp(p, x)
					}
				})
			}
		}
	}
}
