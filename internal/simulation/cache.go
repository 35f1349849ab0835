package simulation

import (
	"slices"

	"quilldoor/internal/policy"
)

func (w *World) newCache(office int, uid string) *server {
	f := &w.set.Fleet
	s := &server{
		w: w, uid: uid, kind: cache, office: office, trunk: f.Trunk(office), weight: float64(f.Cores), up: true,
		listed: policy.EndpointActive, slow: 1, fills: map[int64]*fill{},
	}
	// Work is told in core-microseconds; a core sends one flow.
	s.cpu = &share{w: w, total: float64(f.Cores), most: 1}
	s.store = newStore(f.CacheShare * w.cat.officeKB / float64(f.Caches))
	w.servers[uid] = s
	w.after(w.jitter(f.ReportMS*1000), s.report)
	return s
}

// admit takes a hop in at a cache: to work, to the waiting room, or not.
func (s *server) admit(h *Hop) {
	f := &s.w.set.Fleet
	switch {
	case s.slots < f.SlotsPerCore*f.Cores:
		s.work(h)
	case len(s.queue) < f.QueuePerCore*f.Cores:
		h.state = waiting
		s.queue = append(s.queue, h)
	default:
		s.end(h, End{Outcome: policy.OutcomeBusy})
	}
}

func (s *server) next() {
	f := &s.w.set.Fleet
	for s.up && len(s.queue) > 0 && s.slots < f.SlotsPerCore*f.Cores {
		h := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		s.work(h)
	}
}

// work looks for a copy, or begins a fill.
func (s *server) work(h *Hop) {
	w, f := s.w, &s.w.set.Fleet
	h.state = working
	s.slots++
	key := keyOf(h.obj, h.Part)
	within := h.Within
	if within == 0 {
		within = w.rules[h.Rule].FreshFor
	}
	s.served++
	if c := s.lookup(h, key); c != nil && w.now-c.issued <= within {
		s.hits++
		note := policy.ReasonHit
		if w.now-c.issued > w.rules[h.Rule].FreshFor {
			note = policy.ReasonStale
		}
		s.send(h, note, c.issued, 0)
		return
	}
	switch {
	case h.from == nil || h.from == s:
		s.end(h, End{Outcome: policy.OutcomeMiss, Reason: policy.ReasonNoFill})
	case h.FillMode&policy.FillWaitFor != 0 && s.fills[key] != nil:
		x := s.fills[key]
		x.rank = max(x.rank, h.Rank)
		x.hops = append(x.hops, h)
		h.fill = x
	case s.fillsN >= f.FillsPerCore*f.Cores:
		s.end(h, End{Outcome: policy.OutcomeBusy})
	default:
		x := &fill{at: s, key: key, hops: []*Hop{h}, rank: h.Rank, begun: w.now, life: s.life, note: policy.ReasonMiss}
		h.fill = x
		s.fillsN++
		if s.fills[key] == nil {
			s.fills[key] = x
		}
		x.ask(h)
	}
}

// lookup finds a copy. Where the run begins warm, what was popular then counts as
// kept by the server that is asked for it first: which one that is, is the
// routers' to choose.
func (s *server) lookup(h *Hop, key int64) *kept {
	if c := s.store.get(key); c != nil || h.obj >= s.w.cat.warm[s.kind] || s.life > 0 || s.born > 0 {
		return c
	}
	place := s.office
	if s.kind == parent {
		place = -1 - s.trunk
	}
	mark := warmKey{place, key}
	if s.w.warmed[mark] || s.w.purgedAt(h.obj, h.Group) > 0 {
		return nil
	}
	s.w.warmed[mark] = true
	s.store.put(key, h.SizeKB, 1, h.Group, 1)
	return s.store.get(key)
}

// send sends a copy from the cache: the core is taken for the time of sending.
func (s *server) send(h *Hop, note policy.Reason, issued, waited int64) {
	work := h.SizeKB / s.w.set.Fleet.FlowKBPerS * 1e6
	s.w.ran(h)
	h.job = s.cpu.add(work, func() {
		h.job = nil
		s.end(h, End{Outcome: policy.OutcomeDone, Reason: note, Issued: issued, Waited: waited, SizeKB: h.SizeKB})
	})
	s.power()
}

// warmKey is a part at an office, or at a trunk (below 0).
type warmKey struct {
	place int
	key   int64
}
