package simulation

import (
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

type serverKind uint8

const (
	kindCache serverKind = iota
	kindParent
	kindOrigin
)

var serverKindNames = [...]string{"box", "hub", "ledger"}

// server is a cache, a parent or the ledger.
type server struct {
	world  *World
	id     string
	kind   serverKind
	office int // -1: at a trunk
	trunk  int
	weight float64 // flows that it can send at once when it is warm

	up, silent, collapsed bool
	listed                policy.EndpointState // as the board will tell
	startedAt             int64                // 0: long past
	activePauses          int                  // in force
	incarnation           int64                // counts starts: what began in an earlier one is void

	cpu             *sharedResource // of a cache or the ledger: its cores or workers
	egress          *sharedResource // of a parent or the ledger: its link out
	store           *copyStore
	attempts        []*Hop // that have come and not ended
	queue           []*Hop
	busySlots       int // taken
	fills           map[int64]*fill
	fillCount       int
	recentWork      []workSample
	recentWorkTotal float64
	slowdown        float64 // the ledger: times slower
	stopped         bool
	arrivals        []int64 // the ledger: arrivals of the last three seconds

	visibleLoad              map[string]float64 // the report that is visible
	reportServed, reportHits int                // since the last report
	reportedCPU              float64
	reportedLink             float64
}

type workSample struct {
	at   int64
	work float64
}

func (s *server) endpoint() Server {
	endpoint := Server{policy.Endpoint{ID: s.id, Kind: serverKindNames[s.kind], State: s.listed, Weight: s.weight, StartedAt: s.startedAt}}
	if s.office >= 0 {
		endpoint.Zone = zoneName(s.office)
	} else {
		endpoint.Zone = trunkName(s.trunk)
	}
	return endpoint
}

// capacityShare is the share of its power that a server has now, by warmth.
func (s *server) capacityShare() float64 {
	fleet := &s.world.scenario.Fleet
	initial, duration := fleet.SlowStartFrom, fleet.SlowStartS
	if s.kind == kindParent {
		initial, duration = fleet.ParentSlowStartFrom, fleet.ParentSlowStartS
	}
	if s.startedAt == 0 || s.kind == kindOrigin {
		return 1
	}
	return min(1, initial+(1-initial)*float64(s.world.now-s.startedAt)/(duration*1e6))
}

// updateRate sets the cores' rate by warmth, crowd, pauses and slowness.
func (s *server) updateRate() {
	fleet := &s.world.scenario.Fleet
	rate := s.capacityShare()
	if s.activePauses > 0 || s.stopped {
		rate = 0
	}
	switch s.kind {
	case kindCache:
		crowding := float64(len(s.cpu.jobs))/float64(fleet.Cores) - 4
		if crowding > 0 {
			rate *= max(1-fleet.Thrash*crowding, 0.3)
		}
		s.cpu.setRates(rate*float64(fleet.Cores), rate)
	case kindParent:
		egressRate := s.weight * fleet.FlowKBPerS / 1e6
		s.egress.setRates(rate*egressRate, rate*egressRate)
	case kindOrigin:
		s.cpu.setRates(rate*float64(fleet.OriginWorkers)/s.slowdown, rate/s.slowdown)
	}
}

// warmUp moves a started server's power up in steps.
func (s *server) warmUp(incarnation int64) {
	if s.incarnation != incarnation || !s.up {
		return
	}
	s.updateRate()
	if s.capacityShare() < 1 {
		s.world.schedule(250*millisecond, func() { s.warmUp(incarnation) })
	}
}

// recordWork adds work that was sent to a server, in its own units (microseconds of a
// flow), and tells whether it falls over: sent more than a multiple of what it can
// do now over the window, by all routers together.
func (s *server) recordWork(work float64) bool {
	fleet := &s.world.scenario.Fleet
	window := int64(fleet.OverloadMS * 1000)
	s.recentWork = append(s.recentWork, workSample{s.world.now, work})
	s.recentWorkTotal += work
	expired := 0
	for s.recentWork[expired].at <= s.world.now-window {
		s.recentWorkTotal -= s.recentWork[expired].work
		expired++
	}
	if expired > 0 {
		s.recentWork = slices.Delete(s.recentWork, 0, expired)
	}
	return s.capacityShare() < 1 && s.recentWorkTotal > fleet.OverloadMultiple*s.capacityShare()*s.weight*float64(window)
}

// collapse is what becomes of a server that was pushed over: it stays down.
func (s *server) collapse() {
	s.collapsed = true
	s.world.record(Entry{Kind: eventlog.KindOverloaded, Endpoint: s.id, Work: s.recentWorkTotal / 1e6})
	s.world.Result.Fallen++
	s.crash(false)
	s.world.setListed(s, policy.EndpointGone, s.world.jitter(s.world.scenario.Fleet.DeathDetectionMS*1000))
}

// crash ends a server's process. Reset tells its routers; a silent one tells nobody.
func (s *server) crash(silent bool) {
	s.up, s.silent = false, silent
	s.incarnation++
	s.world.record(Entry{Kind: eventlog.KindDown, Endpoint: s.id})
	attempts := slices.Clone(s.attempts)
	for _, attempt := range attempts {
		if silent {
			s.detach(attempt)
		} else {
			s.finish(attempt, End{Outcome: policy.OutcomeConnectionReset})
		}
	}
	for _, attempt := range s.attempts {
		attempt.state = attemptEnded
	}
	s.attempts, s.queue, s.busySlots = nil, nil, 0
	for _, key := range sortedKeys(s.fills) {
		s.fills[key].cancel()
	}
	s.fills, s.fillCount = map[int64]*fill{}, 0
	if s.store != nil {
		s.store.clear()
	}
	if s.cpu != nil {
		s.cpu.advance()
		s.cpu.jobs = nil
		s.cpu.scheduleNext()
	}
	s.recentWork, s.recentWorkTotal, s.activePauses = nil, 0, 0
}

func sortedKeys(m map[int64]*fill) (keys []int64) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// start brings a server back, cold and empty.
func (s *server) start() {
	if s.collapsed || s.up {
		return
	}
	s.up, s.silent = true, false
	s.incarnation++
	s.startedAt = max(s.world.now, 1)
	s.world.record(Entry{Kind: eventlog.KindStarted, Endpoint: s.id})
	s.warmUp(s.incarnation)
}
