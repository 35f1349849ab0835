package simulation

import "quilldoor/internal/policy"

func (w *World) newParent(trunk int, uid string) *server {
	f := &w.set.Fleet
	offices := (f.Offices + f.Trunks - 1 - trunk) / f.Trunks
	kb := f.ParentLink * f.OfficeLinkKBPerS() * float64(max(offices, 1)) / float64(max(f.Parents, 1))
	s := &server{
		w: w, uid: uid, kind: parent, office: -1, trunk: trunk, weight: kb / f.FlowKBPerS, up: true,
		listed: policy.EndpointActive, slow: 1, fills: map[int64]*fill{}, out: w.link(kb),
	}
	s.store = newStore(f.ParentCacheShare * w.cat.allKB)
	w.servers[uid] = s
	w.after(w.jitter(f.ReportMS*1000), s.report)
	return s
}

// fetch gives a parent's copy, or has it from the ledger first.
func (s *server) fetch(h *Hop, done func(issued int64, note policy.Reason)) {
	w, f := s.w, &s.w.set.Fleet
	key, life := keyOf(h.obj, h.Part), s.life
	within := h.Within
	if within == 0 {
		within = w.rules[h.Rule].FreshFor
	}
	s.served++
	if c := s.lookup(h, key); c != nil && w.now-c.issued <= within {
		s.hits++
		done(c.issued, policy.ReasonMiss)
		return
	}
	if h.FillMode&policy.FillNoFetch != 0 {
		done(0, policy.ReasonUpstreamMiss)
		return
	}
	if x := s.fills[key]; x != nil && f.ParentCoalesces {
		x.waits(func() { done(x.issued, x.note) })
		return
	}
	x := &fill{at: s, key: key, begun: w.now, life: life}
	s.fills[key] = x
	s.fillsN++
	way := w.away(0, w.ledger) + int64(f.FarMS*500*float64(abs(s.trunk-w.ledger.trunk)))
	finish := func(issued int64, note policy.Reason) {
		if s.life != life { // it died meanwhile
			done(0, policy.ReasonUpstreamDown)
			return
		}
		x.over()
		x.issued, x.note = issued, note
		if note < policy.ReasonUpstreamBusy && h.FillMode&policy.FillNoKeep == 0 && issued > w.purgedAt(h.obj, h.Group) {
			s.store.put(key, h.SizeKB, issued, h.Group, 1)
		}
		done(issued, note)
		for _, j := range x.joined() {
			j()
		}
	}
	w.after(way, func() {
		w.ledger.read(func(issued int64, note policy.Reason) {
			if note >= policy.ReasonUpstreamBusy {
				w.after(way, func() { finish(0, note) })
				return
			}
			if w.phase() != "settle" {
				w.Result.LedgerKB += h.SizeKB
			}
			w.ledger.out.add(h.SizeKB, func() { w.after(way, func() { finish(issued, policy.ReasonMissOrigin) }) })
		})
	})
}

// waiters of a parent's fetch stand as jobs without a share.
func (x *fill) waits(do func()) { x.jobs = append(x.jobs, &job{place: -1, done: do}) }

func (x *fill) joined() (out []func()) {
	for _, j := range x.jobs {
		out = append(out, j.done)
	}
	x.jobs = nil
	return out
}

func abs(i int) int { return max(i, -i) }

// fetchFor is a hop straight to a parent.
func (s *server) fetchFor(h *Hop) {
	h.state = working
	life := s.life
	s.fetch(h, func(issued int64, note policy.Reason) {
		if h.state == ended || s.life != life {
			return
		}
		if note >= policy.ReasonUpstreamBusy {
			outcome := policy.OutcomeError
			if note == policy.ReasonUpstreamMiss {
				outcome = policy.OutcomeMiss
			}
			s.end(h, End{Outcome: outcome, Reason: note})
			return
		}
		s.w.ran(h)
		s.crossing(h, func() { s.end(h, End{Outcome: policy.OutcomeDone, Reason: note, Issued: issued, SizeKB: h.SizeKB}) })
	})
}
