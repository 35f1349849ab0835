package simulation

import (
	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

const (
	originID = "ledger"

	// originSlotsPerWorker is the number of requests per worker, in service and queued, at which the origin is full.
	originSlotsPerWorker = 4

	// The window over which arrivals are counted to decide whether the origin is overloaded and stops.
	originArrivalWindowS = 3
	originArrivalWindow  = originArrivalWindowS * second

	// fullOriginSlowdown is the relative increase of the service time at a full origin over that at an empty one.
	fullOriginSlowdown = 0.5
	// The service time is half fixed and half exponentially distributed.
	originFixedShare  = 0.5
	originRandomShare = 0.5

	writeAnswerKB = 1
)

// newOrigin creates the origin, at the first trunk.
func (s *Simulation) newOrigin() *server {
	fleet := &s.scenario.Fleet
	egressKBPerS := fleet.OriginLinkKBPerS
	if egressKBPerS == 0 { // the sum of the offices' links, for a load of which half is cached at parents
		egressKBPerS = fleet.OfficeLinkKBPerS() * float64(fleet.Offices)
	}
	origin := &server{
		simulation: s, id: originID, kind: kindOrigin, up: true, listedState: policy.EndpointActive, slowdown: 1,
		office: noOffice, trunk: 0, weight: float64(fleet.OriginWorkers), egress: s.newLink(egressKBPerS),
	}
	origin.cpu = &sharedResource{simulation: s, totalRate: float64(fleet.OriginWorkers), maxJobRate: 1}
	s.servers[origin.id] = origin
	return origin
}

// originAccepts counts an arrival at the origin and reports whether it is accepted. Too many arrivals within the window
// stop the origin.
func (s *server) originAccepts() bool {
	fleet := &s.simulation.scenario.Fleet
	s.countOriginArrival()
	capacity := float64(fleet.OriginWorkers) / (fleet.OriginServiceMS / millisPerSecond) / s.slowdown // requests a second
	if !s.stopped && float64(len(s.arrivals)) > fleet.OriginStopMultiple*capacity*originArrivalWindowS {
		s.stopOrigin()
	}
	slots := originSlotsPerWorker * fleet.OriginWorkers
	return !s.stopped && float64(len(s.cpu.jobs)) < fleet.OriginRejectShare*float64(slots)
}

func (s *server) countOriginArrival() {
	now := s.simulation.now
	for len(s.arrivals) > 0 && s.arrivals[0] <= now-originArrivalWindow {
		s.arrivals = s.arrivals[1:]
	}
	s.arrivals = append(s.arrivals, now)
}

// stopOrigin stops the origin for the duration that the scenario sets. Work in progress continues afterwards.
func (s *server) stopOrigin() {
	sim := s.simulation
	s.stopped = true
	sim.Result.OriginStops++
	sim.record(Entry{Kind: eventlog.KindOriginStopped, Endpoint: s.id})
	s.updateRate()
	sim.schedule(int64(sim.scenario.Fleet.OriginStopS*second), func() {
		s.stopped = false
		s.arrivals = nil
		s.updateRate()
	})
}

// originServiceTime draws the work of one request in worker-microseconds. Its mean grows with the origin's occupancy.
func (s *server) originServiceTime() float64 {
	fleet := &s.simulation.scenario.Fleet
	occupancy := float64(len(s.cpu.jobs)) / float64(originSlotsPerWorker*fleet.OriginWorkers)
	mean := fleet.OriginServiceMS * millisecond * (1 + fullOriginSlowdown*occupancy)
	return mean * (originFixedShare + s.simulation.random.ExpFloat64()*originRandomShare)
}

// originRead generates an object for a fill.
func (s *server) originRead(done fillDone) {
	if !s.up || !s.originAccepts() {
		done(0, policy.ReasonUpstreamBusy)
		return
	}
	s.cpu.add(s.originServiceTime(), func() { done(s.simulation.now, policy.ReasonMissOrigin) })
}

// serveFromOrigin answers an attempt that a router sent directly to the origin: a write, or a read that bypasses the
// caches.
func (s *server) serveFromOrigin(attempt *Attempt) {
	attempt.state = attemptWorking
	if !s.originAccepts() {
		s.finish(attempt, AttemptResult{Outcome: policy.OutcomeBusy})
		return
	}
	s.simulation.recordExecuted(attempt)
	attempt.job = s.cpu.add(s.originServiceTime(), func() {
		attempt.job = nil
		if attempt.Write {
			s.finishWrite(attempt)
		} else {
			s.finishRead(attempt)
		}
	})
}

// finishWrite records the effect of a write and answers it.
func (s *server) finishWrite(attempt *Attempt) {
	entry := attempt.entry(eventlog.KindEffect)
	entry.Class = s.simulation.classes[attempt.Class].Name
	s.simulation.record(entry)
	s.finish(attempt, AttemptResult{Outcome: policy.OutcomeDone, Reason: policy.ReasonMissOrigin, SizeKB: writeAnswerKB})
}

// finishRead sends a generated object to the router.
func (s *server) finishRead(attempt *Attempt) {
	issuedAt := s.simulation.now
	s.sendToOffice(attempt, func() {
		s.finish(attempt, AttemptResult{
			Outcome: policy.OutcomeDone, Reason: policy.ReasonMissOrigin,
			Issued: issuedAt, SizeKB: attempt.SizeKB,
		})
	})
}
