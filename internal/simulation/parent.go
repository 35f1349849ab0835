package simulation

import "quilldoor/internal/policy"

// newParent adds a parent to a trunk. The capacity of its outbound link is proportional to that of the inbound links of
// the trunk's offices.
func (s *Simulation) newParent(trunk int, id string) *server {
	fleet := &s.scenario.Fleet
	offices := (fleet.Offices + fleet.Trunks - 1 - trunk) / fleet.Trunks
	egressKBPerS := fleet.ParentLink * fleet.OfficeLinkKBPerS() * float64(max(offices, 1)) / float64(max(fleet.Parents, 1))
	parent := &server{
		simulation: s, id: id, kind: kindParent, up: true, listedState: policy.EndpointActive, slowdown: 1,
		office: noOffice, trunk: trunk, weight: egressKBPerS / fleet.FlowKBPerS, fills: map[int64]*fill{},
		egress: s.newLink(egressKBPerS),
	}
	parent.store = newCopyStore(fleet.ParentCacheShare * s.catalogue.totalKB)
	s.servers[id] = parent
	s.schedule(s.jitter(fleet.ReportMS*millisecond), parent.reportLoad)
	return parent
}

// fetch supplies the parent's copy of a part. If the parent has no copy that is fresh enough, it first gets one from
// the origin or joins a fill in flight, as far as the attempt and the scenario allow. If the copy of the fill that it
// joined turns out to be too old for it, it gets another one.
func (s *server) fetch(attempt *Attempt, done fillDone) {
	sim := s.simulation
	key := partKey(attempt.objectID, attempt.Part)
	earliestIssued := sim.now - sim.maxAge(attempt)
	s.reportServed++
	if cached := s.lookup(attempt, key); cached != nil && cached.issuedAt >= earliestIssued {
		s.reportHits++
		done(cached.issuedAt, policy.ReasonMiss)
		return
	}
	if attempt.FillMode&policy.FillNoFetch != 0 {
		done(0, policy.ReasonUpstreamMiss)
		return
	}
	if inFlight := s.fills[key]; inFlight != nil && sim.scenario.Fleet.ParentCoalesces {
		inFlight.waiters = append(inFlight.waiters, fetchWaiter{attempt, earliestIssued, done})
		return
	}
	s.fetchFromOrigin(attempt, key, done)
}

// fetchFromOrigin fills a parent from the origin.
func (s *server) fetchFromOrigin(attempt *Attempt, key int64, done fillDone) {
	sim := s.simulation
	newFill := &fill{server: s, incarnation: s.incarnation, key: key, startedAt: sim.now}
	s.fills[key] = newFill
	s.fillCount++
	delay := s.originDelay()
	finish := func(issuedAt int64, reason policy.Reason) {
		sim.schedule(delay, func() { newFill.finishFetch(attempt, issuedAt, reason, done) })
	}
	sim.schedule(delay, func() {
		sim.origin.originRead(func(issuedAt int64, reason policy.Reason) {
			if fillFailed(reason) {
				finish(0, reason)
				return
			}
			sim.Result.countParentFill(sim, attempt.SizeKB)
			sim.origin.egress.add(attempt.SizeKB, func() { finish(issuedAt, policy.ReasonMissOrigin) })
		})
	})
}

// originDelay is the network latency from a parent to the origin, one way, in microseconds.
func (s *server) originDelay() int64 {
	sim := s.simulation
	distance := s.trunk - sim.origin.trunk
	return sim.oneWayDelay(0, sim.origin) + int64(sim.scenario.Fleet.FarMS*oneWay*float64(max(distance, -distance)))
}

// finishFetch ends a parent's fill from the origin. It stores the copy if the attempt allows that and the copy was not
// purged meanwhile, and passes the origin's reply to the fetch that began the fill and to those that joined it.
func (f *fill) finishFetch(attempt *Attempt, issuedAt int64, reason policy.Reason, done fillDone) {
	s := f.server
	if s.incarnation != f.incarnation { // the parent crashed meanwhile
		done(0, policy.ReasonUpstreamDown)
		return
	}
	f.unregister()
	mayStore := !fillFailed(reason) && attempt.FillMode&policy.FillNoKeep == 0
	if mayStore && issuedAt > s.simulation.purgedAt(attempt.objectID, attempt.Group) {
		s.store.put(f.key, attempt.SizeKB, issuedAt, attempt.Group, defaultPriority)
	}
	done(issuedAt, reason)
	waiters := f.waiters
	f.waiters = nil
	for _, waiter := range waiters {
		if !fillFailed(reason) && issuedAt < waiter.earliestIssued {
			s.fetch(waiter.attempt, waiter.done)
			continue
		}
		waiter.done(issuedAt, reason)
	}
}

// serveFromParent answers an attempt that a router sent directly to a parent.
func (s *server) serveFromParent(attempt *Attempt) {
	attempt.state = attemptWorking
	incarnation := s.incarnation
	s.fetch(attempt, func(issuedAt int64, reason policy.Reason) {
		if attempt.state == attemptEnded || s.incarnation != incarnation {
			return
		}
		if fillFailed(reason) {
			outcome := policy.OutcomeError
			if reason == policy.ReasonUpstreamMiss {
				outcome = policy.OutcomeMiss
			}
			s.finish(attempt, AttemptResult{Outcome: outcome, Reason: reason})
			return
		}
		s.simulation.recordExecuted(attempt)
		s.sendToOffice(attempt, func() {
			s.finish(attempt, AttemptResult{
				Outcome: policy.OutcomeDone, Reason: reason,
				Issued: issuedAt, SizeKB: attempt.SizeKB,
			})
		})
	})
}
