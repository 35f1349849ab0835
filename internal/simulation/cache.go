package simulation

import (
	"slices"

	"quilldoor/internal/policy"
)

func (w *World) newCache(office int, uid string) *server {
	fleet := &w.scenario.Fleet
	s := &server{
		world: w, id: uid, kind: kindCache, office: office, trunk: fleet.Trunk(office), weight: float64(fleet.Cores), up: true,
		listed: policy.EndpointActive, slowdown: 1, fills: map[int64]*fill{},
	}
	// Work is told in core-microseconds; a core sends one flow.
	s.cpu = &sharedResource{world: w, totalRate: float64(fleet.Cores), maxJobRate: 1}
	s.store = newCopyStore(fleet.CacheShare * w.catalogue.officeKB / float64(fleet.Caches))
	w.servers[uid] = s
	w.schedule(w.jitter(fleet.ReportMS*1000), s.reportLoad)
	return s
}

// admit takes a hop in at a cache: to work, to the waiting room, or not.
func (s *server) admit(attempt *Hop) {
	fleet := &s.world.scenario.Fleet
	switch {
	case s.busySlots < fleet.SlotsPerCore*fleet.Cores:
		s.serve(attempt)
	case len(s.queue) < fleet.QueuePerCore*fleet.Cores:
		attempt.state = attemptQueued
		s.queue = append(s.queue, attempt)
	default:
		s.finish(attempt, End{Outcome: policy.OutcomeBusy})
	}
}

func (s *server) startQueued() {
	fleet := &s.world.scenario.Fleet
	for s.up && len(s.queue) > 0 && s.busySlots < fleet.SlotsPerCore*fleet.Cores {
		attempt := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		s.serve(attempt)
	}
}

// serve looks for a copy, or begins a fill.
func (s *server) serve(attempt *Hop) {
	w, fleet := s.world, &s.world.scenario.Fleet
	attempt.state = attemptWorking
	s.busySlots++
	key := partKey(attempt.objectID, attempt.Part)
	maxAge := attempt.Within
	if maxAge == 0 {
		maxAge = w.classes[attempt.Rule].FreshFor
	}
	s.reportServed++
	if copied := s.lookup(attempt, key); copied != nil && w.now-copied.issuedAt <= maxAge {
		s.reportHits++
		reason := policy.ReasonHit
		if w.now-copied.issuedAt > w.classes[attempt.Rule].FreshFor {
			reason = policy.ReasonStale
		}
		s.sendCopy(attempt, reason, copied.issuedAt, 0)
		return
	}
	switch {
	case attempt.fillSource == nil || attempt.fillSource == s:
		s.finish(attempt, End{Outcome: policy.OutcomeMiss, Reason: policy.ReasonNoFill})
	case attempt.FillMode&policy.FillWaitFor != 0 && s.fills[key] != nil:
		inFlight := s.fills[key]
		inFlight.rank = max(inFlight.rank, attempt.Rank)
		inFlight.attempts = append(inFlight.attempts, attempt)
		attempt.fill = inFlight
	case s.fillCount >= fleet.FillsPerCore*fleet.Cores:
		s.finish(attempt, End{Outcome: policy.OutcomeBusy})
	default:
		inFlight := &fill{server: s, key: key, attempts: []*Hop{attempt}, rank: attempt.Rank, startedAt: w.now, incarnation: s.incarnation, reason: policy.ReasonMiss}
		attempt.fill = inFlight
		s.fillCount++
		if s.fills[key] == nil {
			s.fills[key] = inFlight
		}
		inFlight.start(attempt)
	}
}

// lookup finds a copy. Where the run begins warm, what was popular then counts as
// kept by the server that is asked for it first: which one that is, is the
// routers' to choose.
func (s *server) lookup(attempt *Hop, key int64) *cachedCopy {
	if cached := s.store.get(key); cached != nil || attempt.objectID >= s.world.catalogue.prewarmedBelow[s.kind] || s.incarnation > 0 || s.startedAt > 0 {
		return cached
	}
	location := s.office
	if s.kind == kindParent {
		location = -1 - s.trunk
	}
	prewarm := prewarmKey{location, key}
	if s.world.prewarmed[prewarm] || s.world.purgedAt(attempt.objectID, attempt.Group) > 0 {
		return nil
	}
	s.world.prewarmed[prewarm] = true
	s.store.put(key, attempt.SizeKB, 1, attempt.Group, 1)
	return s.store.get(key)
}

// sendCopy sends a copy from the cache: the core is taken for the time of sending.
func (s *server) sendCopy(attempt *Hop, reason policy.Reason, issuedAt, waited int64) {
	work := attempt.SizeKB / s.world.scenario.Fleet.FlowKBPerS * 1e6
	s.world.recordExecuted(attempt)
	attempt.job = s.cpu.add(work, func() {
		attempt.job = nil
		s.finish(attempt, End{Outcome: policy.OutcomeDone, Reason: reason, Issued: issuedAt, Waited: waited, SizeKB: attempt.SizeKB})
	})
	s.updateRate()
}

// prewarmKey is a part at an office, or at a trunk (below 0).
type prewarmKey struct {
	location int
	key      int64
}
