package simulation

import "quilldoor/internal/policy"

func (w *World) newParent(trunk int, uid string) *server {
	fleet := &w.scenario.Fleet
	offices := (fleet.Offices + fleet.Trunks - 1 - trunk) / fleet.Trunks
	egressKBPerS := fleet.ParentLink * fleet.OfficeLinkKBPerS() * float64(max(offices, 1)) / float64(max(fleet.Parents, 1))
	s := &server{
		world: w, id: uid, kind: kindParent, office: -1, trunk: trunk, weight: egressKBPerS / fleet.FlowKBPerS, up: true,
		listed: policy.EndpointActive, slowdown: 1, fills: map[int64]*fill{}, egress: w.newLink(egressKBPerS),
	}
	s.store = newCopyStore(fleet.ParentCacheShare * w.catalogue.totalKB)
	w.servers[uid] = s
	w.schedule(w.jitter(fleet.ReportMS*1000), s.reportLoad)
	return s
}

// fetch gives a parent's copy, or has it from the ledger first.
func (s *server) fetch(attempt *Hop, done func(issuedAt int64, reason policy.Reason)) {
	w, fleet := s.world, &s.world.scenario.Fleet
	key, incarnation := partKey(attempt.objectID, attempt.Part), s.incarnation
	maxAge := attempt.Within
	if maxAge == 0 {
		maxAge = w.classes[attempt.Rule].FreshFor
	}
	s.reportServed++
	if cached := s.lookup(attempt, key); cached != nil && w.now-cached.issuedAt <= maxAge {
		s.reportHits++
		done(cached.issuedAt, policy.ReasonMiss)
		return
	}
	if attempt.FillMode&policy.FillNoFetch != 0 {
		done(0, policy.ReasonUpstreamMiss)
		return
	}
	if inFlight := s.fills[key]; inFlight != nil && fleet.ParentCoalesces {
		inFlight.addWaiter(func() { done(inFlight.issuedAt, inFlight.reason) })
		return
	}
	inFlight := &fill{server: s, key: key, startedAt: w.now, incarnation: incarnation}
	s.fills[key] = inFlight
	s.fillCount++
	delay := w.oneWayDelay(0, w.origin) + int64(fleet.FarMS*500*float64(abs(s.trunk-w.origin.trunk)))
	finish := func(issuedAt int64, reason policy.Reason) {
		if s.incarnation != incarnation { // it died meanwhile
			done(0, policy.ReasonUpstreamDown)
			return
		}
		inFlight.unregister()
		inFlight.issuedAt, inFlight.reason = issuedAt, reason
		if reason < policy.ReasonUpstreamBusy && attempt.FillMode&policy.FillNoKeep == 0 && issuedAt > w.purgedAt(attempt.objectID, attempt.Group) {
			s.store.put(key, attempt.SizeKB, issuedAt, attempt.Group, 1)
		}
		done(issuedAt, reason)
		for _, waiter := range inFlight.takeWaiters() {
			waiter()
		}
	}
	w.schedule(delay, func() {
		w.origin.originRead(func(issuedAt int64, reason policy.Reason) {
			if reason >= policy.ReasonUpstreamBusy {
				w.schedule(delay, func() { finish(0, reason) })
				return
			}
			if w.currentPhase() != "settle" {
				w.Result.LedgerKB += attempt.SizeKB
			}
			w.origin.egress.add(attempt.SizeKB, func() { w.schedule(delay, func() { finish(issuedAt, policy.ReasonMissOrigin) }) })
		})
	})
}

// waiters of a parent's fetch stand as jobs without a share.
func (x *fill) addWaiter(waiter func()) { x.jobs = append(x.jobs, &job{index: -1, done: waiter}) }

func (x *fill) takeWaiters() (waiters []func()) {
	for _, j := range x.jobs {
		waiters = append(waiters, j.done)
	}
	x.jobs = nil
	return waiters
}

func abs(i int) int { return max(i, -i) }

// serveFromParent is a hop straight to a parent.
func (s *server) serveFromParent(attempt *Hop) {
	attempt.state = attemptWorking
	incarnation := s.incarnation
	s.fetch(attempt, func(issuedAt int64, reason policy.Reason) {
		if attempt.state == attemptEnded || s.incarnation != incarnation {
			return
		}
		if reason >= policy.ReasonUpstreamBusy {
			outcome := policy.OutcomeError
			if reason == policy.ReasonUpstreamMiss {
				outcome = policy.OutcomeMiss
			}
			s.finish(attempt, End{Outcome: outcome, Reason: reason})
			return
		}
		s.world.recordExecuted(attempt)
		s.sendToOffice(attempt, func() {
			s.finish(attempt, End{Outcome: policy.OutcomeDone, Reason: reason, Issued: issuedAt, SizeKB: attempt.SizeKB})
		})
	})
}
