package emulator

import (
	"fmt"
	"slices"
	"strings"

	"quilldoor/internal/engine"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/policy"
	"quilldoor/internal/simulation"
)

// Sites joined on the virtual clock: the gates are the router's, the wire between
// them is written out here: a way of some milliseconds, and bytes at ten flows.

const (
	beatEvery  = 250_000
	sitePace   = 10 // flows that one txn's bytes cross at
	siteRatio  = 0.5
	mostAcross = 256
)

func nameOf(router int) string { return fmt.Sprint("n", router) }

func (v *virtual) siteOf(r *vrouter) int { return v.set.Fleet.Site(v.world.Office(r.id)) }

// join gives a starting router its gate.
func (v *virtual) join(r *vrouter) {
	site := v.siteOf(r)
	if site < 0 {
		return
	}
	peers := map[string]string{}
	for i := range v.world.Routers() {
		if s := v.set.Fleet.Site(v.world.Office(i)); s != site {
			peers[nameOf(i)] = fmt.Sprint(s)
		}
	}
	r.from, r.beats = map[string]*vtxn{}, map[*vrouter]int64{}
	r.gate = peerpolicy.New(peerpolicy.Settings{Name: nameOf(r.id), Site: fmt.Sprint(site), Most: mostAcross, Reserve: siteRatio,
		Beat: beatEvery}, peers)
	self := r.core
	var beat func()
	n := 0
	beat = func() {
		if r.core != self {
			return
		}
		now := v.now()
		r.gate.Tick(now)
		v.crossed(r)
		v.silent(r, now)
		v.world.After(beatEvery/4, beat)
		if n++; n%4 != 0 {
			return
		}
		offer := r.gate.Offer(now)
		for _, p := range v.peers(r) {
			v.over(func() {
				if p.gate == nil || p.core == nil || r.core != self {
					return
				}
				if q := p.gate.Peer(nameOf(r.id)); q.Trust == peerpolicy.Away || q.Incarnation < r.starts {
					p.gate.Up(v.now(), nameOf(r.id), r.starts)
				}
				p.gate.Beat(v.now(), nameOf(r.id), offer, false, int64(2*v.set.Fleet.SiteMS*1000))
				p.beats[r] = v.now()
				v.crossed(p)
			})
		}
	}
	v.world.After(int64(r.id%8)*beatEvery/8, beat)
}

// silent gives up what came from a peer that has said nothing for long, as the end of
// its connection does.
func (v *virtual) silent(r *vrouter, now int64) {
	var gone []*vtxn
	for _, x := range r.open {
		if x.home != nil && now-r.beats[x.home] > peerpolicy.Patience*beatEvery {
			gone = append(gone, x)
		}
	}
	slices.SortFunc(gone, func(a, b *vtxn) int { return strings.Compare(a.ask.Txn, b.ask.Txn) })
	for _, x := range gone {
		v.giveUp(r, x)
	}
}

// giveUp ends a txn that another site's router has given up.
func (v *virtual) giveUp(r *vrouter, x *vtxn) {
	x.over = true
	x.core.Leave(v.now(), x.txn)
	v.detach(x)
	r.gate.Served(v.now(), nameOf(x.home.id), x.ask.Txn, false)
}

// over takes something to the other site, unless the way is cut when it begins or
// ends.
func (v *virtual) over(do func()) {
	if v.world.SitesCut() {
		return
	}
	v.world.After(int64(v.set.Fleet.SiteMS*1000), func() {
		if !v.world.SitesCut() {
			do()
		}
	})
}

func (v *virtual) peers(r *vrouter) (out []*vrouter) {
	for _, p := range v.routers {
		if p.gate != nil && p.core != nil && v.siteOf(p) != v.siteOf(r) {
			out = append(out, p)
		}
	}
	return out
}

// part is a router's death: peers lose its connection.
func (v *virtual) part(r *vrouter) {
	if r.gate == nil {
		return
	}
	r.gate, r.from = nil, nil
	for _, p := range v.peers(r) {
		v.over(func() {
			if p.gate != nil {
				p.gate.Lost(nameOf(r.id))
				v.crossed(p)
			}
		})
	}
}

var effectOf = map[string]peerpolicy.Effect{"safe": peerpolicy.Safe, "keyed": peerpolicy.Keyed, "unsafe": peerpolicy.Unsafe}

// cross hands over a txn that the module has refused; false: it stays.
func (v *virtual) cross(t *vtxn, o engine.Order) bool {
	r, a, now := t.router, t.ask, v.now()
	rule := v.world.RuleOf(a.Rule)
	left := a.Deadline() - v.world.Now()
	p, reason := r.gate.Cross(now, &peerpolicy.Ask{Txn: a.Txn, Effect: effectOf[rule.Effect], Clean: !o.Ran, Deadline: now + left})
	if reason != peerpolicy.Good {
		return false
	}
	r.gate.Written(a.Txn)
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
	if far.gate.Arrive(v.now(), nameOf(home.id), a.Txn, []string{nameOf(home.id)}, 0) != peerpolicy.Good || far.open[a.Txn] != nil {
		v.back(far, home, t, peerpolicy.Far{End: peerpolicy.Rejected, Proof: true}, 0)
		return
	}
	b := *a
	b.Router = far.id
	v.Note(&eventlog.Entry{Kind: "carried", At: v.world.Now(), Router: far.id, Txn: a.Txn, Hop: home.id})
	x := &vtxn{router: far, core: far.core, ask: &b, home: home}
	txn, err := far.core.Open(v.now(), policy.Event{Txn: a.Txn, Rule: v.world.RuleOf(a.Rule).Name, Object: a.Object, Group: a.Group,
		Part: a.Part, Remaining: left, Repeat: a.Again, Write: a.Write}, func() {
		if !x.rung && !x.over {
			x.rung = true
			v.ready = append(v.ready, x)
		}
	})
	if err != nil {
		far.gate.Served(v.now(), nameOf(home.id), a.Txn, false)
		v.back(far, home, t, peerpolicy.Far{End: peerpolicy.Rejected, Proof: true}, 0)
		return
	}
	x.txn = txn
	far.open[a.Txn] = x
}

// carriedBack is the far side's end of a txn.
func (v *virtual) carriedBack(x *vtxn, outcome string, issued int64, o engine.Order) {
	x.over = true
	v.detach(x)
	far := x.router
	far.gate.Served(v.now(), nameOf(x.home.id), x.ask.Txn, outcome == "completed")
	end := peerpolicy.Far{End: peerpolicy.Aborted}
	kb := 0.0
	switch outcome {
	case "completed":
		end = peerpolicy.Far{End: peerpolicy.Completed, Issued: issued}
		kb = x.ask.SizeKB
		if x.ask.Write {
			end.Issued = 0
		}
	case "rejected":
		end = peerpolicy.Far{End: peerpolicy.Rejected, Proof: !o.Ran}
	}
	v.back(far, x.home, &vtxn{ask: x.ask}, end, kb)
}

// back takes an answer home.
func (v *virtual) back(far, home *vrouter, t *vtxn, end peerpolicy.Far, kb float64) {
	pace := int64(kb / (sitePace * v.set.Fleet.FlowKBPerS) * 1e6)
	v.world.After(pace, func() {
		v.over(func() {
			if home.gate == nil {
				return
			}
			home.back(t.ask.Txn, end.Issued)
			// Issues are the world's microseconds here; so are purges.
			end.Least = v.purgedHere(home, t.ask)
			home.gate.Returned(v.now(), nameOf(far.id), t.ask.Txn, end)
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
		case peerpolicy.Answer:
			t := r.from[a.Txn]
			if t == nil {
				continue
			}
			delete(r.from, a.Txn)
			outcome := map[peerpolicy.Outcome]string{peerpolicy.Completed: "completed", peerpolicy.Rejected: "rejected", peerpolicy.Aborted: "aborted"}[a.End]
			if outcome == "completed" {
				v.world.Result.CrossedDone++
			}
			v.world.Final(r.id, a.Txn, outcome, t.issued, 500_000)
		case peerpolicy.Withdraw:
			for _, p := range v.peers(r) {
				if nameOf(p.id) != a.Peer {
					continue
				}
				v.over(func() {
					if x := p.open[a.Txn]; x != nil && x.home == r && p.gate != nil {
						v.giveUp(p, x)
					}
				})
			}
		}
	}
}
