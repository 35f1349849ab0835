package simulation

import (
	"slices"

	"quilldoor/internal/policy"
)

const (
	// prewarmedIssuedAt is the issue time of copies that were cached before the run.
	prewarmedIssuedAt = 1
	// defaultPriority is the cache priority of prewarmed copies and of copies that a parent fetches.
	defaultPriority = 1
)

// prewarmKey identifies a part of an object at an office or a trunk.
type prewarmKey struct {
	location int   // index of the office, or -1 - index of the trunk
	key      int64 // of the part, by partKey
}

// newCache adds a cache to an office. It is up, warm and listed as active.
func (s *Simulation) newCache(office int, id string) *server {
	fleet := &s.scenario.Fleet
	cache := &server{
		simulation: s, id: id, kind: kindCache, up: true, listedState: policy.EndpointActive, slowdown: 1,
		office: office, trunk: fleet.Trunk(office), weight: float64(fleet.Cores), fills: map[int64]*fill{},
	}
	// A core sends one flow at a time, so work is counted in core-microseconds.
	cache.cpu = &sharedResource{simulation: s, totalRate: float64(fleet.Cores), maxJobRate: 1}
	cache.store = newCopyStore(fleet.CacheShare * s.catalogue.officeKB / float64(fleet.Caches))
	s.servers[id] = cache
	s.schedule(s.jitter(fleet.ReportMS*millisecond), cache.reportLoad)
	return cache
}

// admit assigns an attempt a slot of the cache, queues it, or rejects it as busy.
func (s *server) admit(attempt *Attempt) {
	fleet := &s.simulation.scenario.Fleet
	switch {
	case s.busySlots < fleet.SlotsPerCore*fleet.Cores:
		s.serve(attempt)
	case len(s.queue) < fleet.QueuePerCore*fleet.Cores:
		attempt.state = attemptQueued
		s.queue = append(s.queue, attempt)
	default:
		s.finish(attempt, AttemptResult{Outcome: policy.OutcomeBusy})
	}
}

// startQueued serves queued attempts in order of arrival while slots are free.
func (s *server) startQueued() {
	fleet := &s.simulation.scenario.Fleet
	for s.up && len(s.queue) > 0 && s.busySlots < fleet.SlotsPerCore*fleet.Cores {
		attempt := s.queue[0]
		s.queue = slices.Delete(s.queue, 0, 1)
		s.serve(attempt)
	}
}

// serve assigns an attempt a slot and answers it from the cache's store or by a fill.
func (s *server) serve(attempt *Attempt) {
	sim := s.simulation
	attempt.state = attemptWorking
	s.busySlots++
	key := partKey(attempt.objectID, attempt.Part)
	attempt.earliestIssued = sim.now - sim.maxAge(attempt)
	s.reportServed++
	cached := s.lookup(attempt, key)
	if cached == nil || cached.issuedAt < attempt.earliestIssued {
		s.serveMiss(attempt, key)
		return
	}
	s.reportHits++
	reason := policy.ReasonHit
	if sim.now-cached.issuedAt > sim.classes[attempt.Class].FreshFor {
		reason = policy.ReasonStale
	}
	s.sendCopy(attempt, reason, cached.issuedAt, 0)
}

// serveMiss joins an attempt to a fill in flight whose copy may be fresh enough for it, or begins a fill for it. If
// neither is possible, the attempt ends at once.
func (s *server) serveMiss(attempt *Attempt, key int64) {
	fleet := &s.simulation.scenario.Fleet
	switch {
	case attempt.fillSource == nil || attempt.fillSource == s:
		s.finish(attempt, AttemptResult{Outcome: policy.OutcomeMiss, Reason: policy.ReasonNoFill})
	case attempt.FillMode&policy.FillWaitFor != 0 && s.fills[key].mayServe(attempt):
		s.fills[key].join(attempt)
	case s.fillCount >= fleet.FillsPerCore*fleet.Cores:
		s.finish(attempt, AttemptResult{Outcome: policy.OutcomeBusy})
	default:
		s.beginFill(attempt, key)
	}
}

// lookup finds a copy. In a prewarmed fleet a popular object counts as cached at the first server of its office or
// trunk that looks it up, because the routers choose the server that stores it.
func (s *server) lookup(attempt *Attempt, key int64) *cachedCopy {
	sim := s.simulation
	cached := s.store.get(key)
	if cached != nil || attempt.objectID >= sim.catalogue.prewarmedBelow[s.kind] || s.incarnation > 0 || s.startedAt > 0 {
		return cached
	}
	location := s.office
	if s.kind == kindParent {
		location = -1 - s.trunk
	}
	prewarm := prewarmKey{location, key}
	if sim.prewarmed[prewarm] || sim.purgedAt(attempt.objectID, attempt.Group) > 0 {
		return nil
	}
	sim.prewarmed[prewarm] = true
	s.store.put(key, attempt.SizeKB, prewarmedIssuedAt, attempt.Group, defaultPriority)
	return s.store.get(key)
}

// sendCopy sends a copy to the router. It occupies a core for the transfer time of one flow.
func (s *server) sendCopy(attempt *Attempt, reason policy.Reason, issuedAt, waited int64) {
	work := s.simulation.flowTime(attempt.SizeKB)
	s.simulation.recordExecuted(attempt)
	attempt.job = s.cpu.add(work, func() {
		attempt.job = nil
		s.finish(attempt, AttemptResult{
			Outcome: policy.OutcomeDone, Reason: reason,
			Issued: issuedAt, Waited: waited, SizeKB: attempt.SizeKB,
		})
	})
	s.updateRate()
}
