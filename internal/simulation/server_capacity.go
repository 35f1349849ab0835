package simulation

import (
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

const (
	// The capacity of a cache with more jobs per core than this falls with each further job, down to a minimum share.
	maxFullSpeedJobsPerCore = 4
	minContentionShare      = 0.3

	// warmUpStep is the interval at which a starting server's rates are raised.
	warmUpStep = 250 * millisecond
)

// capacityShare is the present share of a server's full capacity. It rises linearly after a start.
func (s *server) capacityShare() float64 {
	fleet := &s.simulation.scenario.Fleet
	initial, duration := fleet.SlowStartFrom, fleet.SlowStartS
	if s.kind == kindParent {
		initial, duration = fleet.ParentSlowStartFrom, fleet.ParentSlowStartS
	}
	if s.startedAt == 0 || s.kind == kindOrigin {
		return 1
	}
	return min(1, initial+(1-initial)*float64(s.simulation.now-s.startedAt)/(duration*second))
}

// updateRate sets the rates of the server's processor or link. It must be called after each change of a value on which
// they depend.
func (s *server) updateRate() {
	fleet := &s.simulation.scenario.Fleet
	rate := s.capacityShare()
	if s.activePauses > 0 || s.stopped {
		rate = 0
	}
	switch s.kind {
	case kindCache:
		excessJobsPerCore := float64(len(s.cpu.jobs))/float64(fleet.Cores) - maxFullSpeedJobsPerCore
		if excessJobsPerCore > 0 {
			rate *= max(1-fleet.Thrash*excessJobsPerCore, minContentionShare)
		}
		s.cpu.setRates(rate*float64(fleet.Cores), rate)
	case kindParent:
		egressRate := s.weight * fleet.FlowKBPerS / second
		s.egress.setRates(rate*egressRate, rate*egressRate)
	case kindOrigin:
		s.cpu.setRates(rate*float64(fleet.OriginWorkers)/s.slowdown, rate/s.slowdown)
	}
}

// warmUp raises a started server's rates in steps until it has its full capacity.
func (s *server) warmUp(incarnation int64) {
	if s.incarnation != incarnation || !s.up {
		return
	}
	s.updateRate()
	if s.capacityShare() < 1 {
		s.simulation.schedule(warmUpStep, func() { s.warmUp(incarnation) })
	}
}

// recordWork adds the work of an attempt that was sent to the server, directly or for a fill, and reports whether the
// server collapses. It collapses if it is warming up and all routers together have sent more than a multiple of its
// capacity within the overload window.
func (s *server) recordWork(attempt *Attempt) (overloaded bool) {
	work := s.simulation.flowTime(attempt.SizeKB)
	fleet := &s.simulation.scenario.Fleet
	window := int64(fleet.OverloadMS * millisecond)
	s.recentWork = append(s.recentWork, workSample{s.simulation.now, work})
	s.recentWorkTotal += work
	expired := 0
	for s.recentWork[expired].at <= s.simulation.now-window {
		s.recentWorkTotal -= s.recentWork[expired].work
		expired++
	}
	if expired > 0 {
		s.recentWork = slices.Delete(s.recentWork, 0, expired)
	}
	capacity := s.capacityShare()
	if capacity < 1 {
		entry := attempt.entry(eventlog.KindWarmingWork)
		entry.Endpoint = s.id
		entry.Work = work / second
		s.simulation.record(entry)
	}
	return capacity < 1 && s.recentWorkTotal > fleet.OverloadMultiple*capacity*s.weight*float64(window)
}

// collapse crashes a server that was overloaded while it warmed up. It stays down.
func (s *server) collapse() {
	sim := s.simulation
	s.collapsed = true
	sim.record(Entry{Kind: eventlog.KindOverloaded, Endpoint: s.id, Work: s.recentWorkTotal / second})
	sim.Result.Collapsed++
	s.crash(false)
	sim.setListed(s, policy.EndpointRemoved, sim.jitter(sim.scenario.Fleet.CrashDetectionMS*millisecond))
}
