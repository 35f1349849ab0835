package simulation

import (
	"fmt"
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
)

// serverKind is what a server stands for in the hierarchy of caches.
type serverKind uint8

const (
	kindCache serverKind = iota
	kindParent
	kindOrigin
)

// serverKindNames are the kinds as the endpoint list words them.
var serverKindNames = [...]string{
	kindCache:  scenario.EndpointCache,
	kindParent: scenario.EndpointParent,
	kindOrigin: scenario.EndpointOrigin,
}

func (k serverKind) String() string { return serverKindNames[k] }

// noOffice is the office of a server that stands at a trunk.
const noOffice = -1

const (
	// A cache with more jobs per core than this loses power to crowding, down to a minimum share.
	crowdingFromJobsPerCore = 4
	crowdingMinShare        = 0.3

	// warmUpStep is the interval at which a starting server's rates are raised.
	warmUpStep = 250 * millisecond
)

// server is a cache, a parent or the origin.
type server struct {
	simulation *Simulation
	id         string
	kind       serverKind
	office     int     // noOffice: at a trunk
	trunk      int     // its own, or that of its office
	weight     float64 // flows that it can send at once when it is warm

	up           bool
	silent       bool                 // while down: it does not even reset connections
	collapsed    bool                 // was overloaded while it warmed up and stays down
	listed       policy.EndpointState // as discovery will tell it
	startedAt    int64                // 0: before the run
	activePauses int                  // pauses in force
	incarnation  int64                // counts starts and crashes: what began in an earlier one is void

	cpu             *sharedResource // of a cache or the origin: its cores or workers
	egress          *sharedResource // of a parent or the origin: its link out
	store           *copyStore      // of a cache or a parent
	attempts        []*Attempt      // that have arrived and not ended
	queue           []*Attempt      // of a cache: those that wait for a slot
	busySlots       int             // of a cache
	fills           map[int64]*fill // by part: those that others may join
	fillCount       int             // all fills in flight
	recentWork      []workSample    // of the overload window
	recentWorkTotal float64

	// Of the origin.
	slowdown float64 // factor by which it works slower
	stopped  bool    // by too many arrivals
	arrivals []int64 // times within the arrival window

	visibleLoad  map[string]float64 // the load report that answers carry
	reportServed int                // lookups since the last report
	reportHits   int                // of these
	reportedCPU  float64            // cpu.served at the last report
	reportedLink float64            // served by the office's link at the last report
}

// workSample is work that arrived at one time, in microseconds of a flow.
type workSample struct {
	at   int64
	work float64
}

// endpoint is the server as discovery lists it.
func (s *server) endpoint() Server {
	endpoint := policy.Endpoint{
		ID: s.id, Kind: s.kind.String(), State: s.listed, Weight: s.weight, StartedAt: s.startedAt,
	}
	if s.office >= 0 {
		endpoint.Zone = scenario.Zone(s.office)
	} else {
		endpoint.Zone = fmt.Sprintf("trunk-%d", s.trunk+1)
	}
	return Server{endpoint}
}

// capacityShare is the share of its full capacity that a server has now. It rises linearly after a start.
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

// updateRate sets the rates of the server's processor or link after anything that they depend on has changed.
func (s *server) updateRate() {
	fleet := &s.simulation.scenario.Fleet
	rate := s.capacityShare()
	if s.activePauses > 0 || s.stopped {
		rate = 0
	}
	switch s.kind {
	case kindCache:
		crowding := float64(len(s.cpu.jobs))/float64(fleet.Cores) - crowdingFromJobsPerCore
		if crowding > 0 {
			rate *= max(1-fleet.Thrash*crowding, crowdingMinShare)
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

// recordWork adds work that was sent to the server, in microseconds of a flow, and tells whether the server
// collapses: while it warms up, all routers together sent more than a multiple of what it can do in the window.
func (s *server) recordWork(work float64) (overloaded bool) {
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
	return capacity < 1 && s.recentWorkTotal > fleet.OverloadMultiple*capacity*s.weight*float64(window)
}

// collapse crashes a server that was overloaded while it warmed up. It stays down.
func (s *server) collapse() {
	sim := s.simulation
	s.collapsed = true
	sim.record(Entry{Kind: eventlog.KindOverloaded, Endpoint: s.id, Work: s.recentWorkTotal / second})
	sim.Result.Collapsed++
	s.crash(false)
	sim.setListed(s, policy.EndpointGone, sim.jitter(sim.scenario.Fleet.DeathDetectionMS*millisecond))
}

// crash ends the server's process; what it held in memory is lost. Routers see their connections reset, unless the
// server goes silent.
func (s *server) crash(silent bool) {
	s.up = false
	s.silent = silent
	s.incarnation++
	s.simulation.record(Entry{Kind: eventlog.KindDown, Endpoint: s.id})
	s.dropAttempts(silent)
	for _, key := range sortedKeys(s.fills) {
		s.fills[key].cancel()
	}
	s.fills = map[int64]*fill{}
	s.fillCount = 0
	if s.store != nil {
		s.store.clear()
	}
	if s.cpu != nil {
		s.cpu.advance()
		s.cpu.jobs = nil
		s.cpu.scheduleNext()
	}
	s.recentWork = nil
	s.recentWorkTotal = 0
	s.activePauses = 0
}

// dropAttempts ends all attempts at a server that has crashed.
func (s *server) dropAttempts(silent bool) {
	for _, attempt := range slices.Clone(s.attempts) {
		if silent {
			s.detach(attempt)
		} else {
			s.finish(attempt, AttemptResult{Outcome: policy.OutcomeConnectionReset})
		}
	}
	for _, attempt := range s.attempts {
		attempt.state = attemptEnded
	}
	s.attempts = nil
	s.queue = nil
	s.busySlots = 0
}

// sortedKeys gives the fills a fixed order: that of a map would differ between runs.
func sortedKeys(fills map[int64]*fill) (keys []int64) {
	for key := range fills {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// start brings a server back, cold and with an empty cache. One that collapsed stays down.
func (s *server) start() {
	if s.collapsed || s.up {
		return
	}
	s.up = true
	s.silent = false
	s.incarnation++
	s.startedAt = max(s.simulation.now, 1) // 0 would mean before the run
	s.simulation.record(Entry{Kind: eventlog.KindStarted, Endpoint: s.id})
	s.warmUp(s.incarnation)
}
