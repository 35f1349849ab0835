package simulation

import (
	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

func (w *World) newOrigin() *server {
	fleet := &w.scenario.Fleet
	egressKBPerS := fleet.OriginLinkKBPerS
	if egressKBPerS == 0 { // what all offices' links could ask for, if half of it is at parents
		egressKBPerS = fleet.OfficeLinkKBPerS() * float64(fleet.Offices)
	}
	s := &server{
		world: w, id: "ledger", kind: kindOrigin, office: -1, trunk: 0, weight: float64(fleet.OriginWorkers), up: true,
		listed: policy.EndpointActive, slowdown: 1, egress: w.newLink(egressKBPerS),
	}
	s.cpu = &sharedResource{world: w, totalRate: float64(fleet.OriginWorkers), maxJobRate: 1}
	w.servers[s.id] = s
	return s
}

// originAccepts tells whether the ledger takes one thing more; pushed over, it stops.
func (s *server) originAccepts() bool {
	w, fleet := s.world, &s.world.scenario.Fleet
	const window = 3 * second
	for len(s.arrivals) > 0 && s.arrivals[0] <= w.now-window {
		s.arrivals = s.arrivals[1:]
	}
	s.arrivals = append(s.arrivals, w.now)
	capacity := float64(fleet.OriginWorkers) / (fleet.OriginServiceMS / 1000) / s.slowdown
	if !s.stopped && float64(len(s.arrivals)) > fleet.OriginStopMultiple*capacity*3 {
		s.stopped = true
		w.Result.LedgerStops++
		w.record(Entry{Kind: eventlog.KindStopped, Endpoint: s.id})
		s.updateRate()
		w.schedule(int64(fleet.OriginStopS*1e6), func() {
			s.stopped = false
			s.arrivals = nil
			s.updateRate()
		})
	}
	slots := 4 * fleet.OriginWorkers // at work and waiting
	return !s.stopped && float64(len(s.cpu.jobs)) < fleet.OriginRejectShare*float64(slots)
}

// crowd makes the ledger's work longer the fuller it is.
func (s *server) originServiceTime() float64 {
	fleet := &s.world.scenario.Fleet
	occupancy := float64(len(s.cpu.jobs)) / float64(4*fleet.OriginWorkers)
	return fleet.OriginServiceMS * 1000 * (1 + 0.5*occupancy) * (0.5 + s.world.random.ExpFloat64()*0.5)
}

// originRead makes an object for a fill.
func (s *server) originRead(done func(issuedAt int64, reason policy.Reason)) {
	if !s.up || !s.originAccepts() {
		done(0, policy.ReasonUpstreamBusy)
		return
	}
	s.cpu.add(s.originServiceTime(), func() { done(s.world.now, policy.ReasonMissOrigin) })
}

// serveFromOrigin is a hop straight to the ledger: a write, or a read past the caches.
func (s *server) serveFromOrigin(attempt *Hop) {
	attempt.state = attemptWorking
	if !s.originAccepts() {
		s.finish(attempt, End{Outcome: policy.OutcomeBusy})
		return
	}
	s.world.recordExecuted(attempt) // from here on a write may have its effect
	attempt.job = s.cpu.add(s.originServiceTime(), func() {
		attempt.job = nil
		issuedAt := s.world.now
		if attempt.Write {
			s.world.record(Entry{Kind: eventlog.KindEffect, Router: attempt.Router, Request: attempt.Txn, Attempt: attempt.N, Endpoint: s.id, Class: s.world.classes[attempt.Rule].Name})
			s.finish(attempt, End{Outcome: policy.OutcomeDone, Reason: policy.ReasonMissOrigin, SizeKB: 1})
			return
		}
		s.sendToOffice(attempt, func() {
			s.finish(attempt, End{Outcome: policy.OutcomeDone, Reason: policy.ReasonMissOrigin, Issued: issuedAt, SizeKB: attempt.SizeKB})
		})
	})
}
