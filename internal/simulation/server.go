package simulation

import (
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

type kind uint8

const (
	cache kind = iota
	parent
	ledger
)

var kindNames = [...]string{"box", "hub", "ledger"}

// server is a cache, a parent or the ledger.
type server struct {
	w      *World
	uid    string
	kind   kind
	office int // -1: at a trunk
	trunk  int
	weight float64 // flows that it can send at once when it is warm

	up, silent, fell bool
	listed           policy.EndpointState // as the board will tell
	born             int64                // 0: long past
	pauses           int                  // in force
	life             int64                // counts starts: what began in an earlier one is void

	cpu     *share // of a cache or the ledger: its cores or workers
	out     *share // of a parent or the ledger: its link out
	store   *store
	hops    []*Hop // that have come and not ended
	queue   []*Hop
	slots   int // taken
	fills   map[int64]*fill
	fillsN  int
	spent   []spend
	spentOf float64
	slow    float64 // the ledger: times slower
	stopped bool
	asked   []int64 // the ledger: arrivals of the last three seconds

	load         map[string]float64 // the report that is visible
	served, hits int                // since the last report
	usedCPU      float64
	usedLink     float64
}

type spend struct {
	at   int64
	work float64
}

func (s *server) entry() Server {
	e := Server{policy.Endpoint{ID: s.uid, Kind: kindNames[s.kind], State: s.listed, Weight: s.weight, StartedAt: s.born}}
	if s.office >= 0 {
		e.Zone = zoneName(s.office)
	} else {
		e.Zone = trunkName(s.trunk)
	}
	return e
}

// able is the share of its power that a server has now, by warmth.
func (s *server) able() float64 {
	f := &s.w.set.Fleet
	from, lasts := f.SlowStartFrom, f.SlowStartS
	if s.kind == parent {
		from, lasts = f.ParentSlowStartFrom, f.ParentSlowStartS
	}
	if s.born == 0 || s.kind == ledger {
		return 1
	}
	return min(1, from+(1-from)*float64(s.w.now-s.born)/(lasts*1e6))
}

// power sets the cores' rate by warmth, crowd, pauses and slowness.
func (s *server) power() {
	f := &s.w.set.Fleet
	rate := s.able()
	if s.pauses > 0 || s.stopped {
		rate = 0
	}
	switch s.kind {
	case cache:
		over := float64(len(s.cpu.jobs))/float64(f.Cores) - 4
		if over > 0 {
			rate *= max(1-f.Thrash*over, 0.3)
		}
		s.cpu.change(rate*float64(f.Cores), rate)
	case parent:
		kb := s.weight * f.FlowKBPerS / 1e6
		s.out.change(rate*kb, rate*kb)
	case ledger:
		s.cpu.change(rate*float64(f.OriginWorkers)/s.slow, rate/s.slow)
	}
}

// warming moves a started server's power up in steps.
func (s *server) warming(life int64) {
	if s.life != life || !s.up {
		return
	}
	s.power()
	if s.able() < 1 {
		s.w.after(250*ms, func() { s.warming(life) })
	}
}

// charge adds work that was sent to a server, in its own units (microseconds of a
// flow), and tells whether it falls over: sent more than a multiple of what it can
// do now over the window, by all routers together.
func (s *server) charge(work float64) bool {
	f := &s.w.set.Fleet
	window := int64(f.OverloadMS * 1000)
	s.spent = append(s.spent, spend{s.w.now, work})
	s.spentOf += work
	old := 0
	for s.spent[old].at <= s.w.now-window {
		s.spentOf -= s.spent[old].work
		old++
	}
	if old > 0 {
		s.spent = slices.Delete(s.spent, 0, old)
	}
	return s.able() < 1 && s.spentOf > f.OverloadMultiple*s.able()*s.weight*float64(window)
}

// fall is what becomes of a server that was pushed over: it stays down.
func (s *server) fall() {
	s.fell = true
	s.w.note(Entry{Kind: eventlog.KindOverloaded, Endpoint: s.uid, Work: s.spentOf / 1e6})
	s.w.Result.Fallen++
	s.die(false)
	s.w.list(s, policy.EndpointGone, s.w.jitter(s.w.set.Fleet.DeathDetectionMS*1000))
}

// die ends a server's process. Reset tells its routers; a silent one tells nobody.
func (s *server) die(silent bool) {
	s.up, s.silent = false, silent
	s.life++
	s.w.note(Entry{Kind: eventlog.KindDown, Endpoint: s.uid})
	hops := slices.Clone(s.hops)
	for _, h := range hops {
		if silent {
			s.stop(h)
		} else {
			s.end(h, End{Outcome: policy.OutcomeConnectionReset})
		}
	}
	for _, h := range s.hops {
		h.state = ended
	}
	s.hops, s.queue, s.slots = nil, nil, 0
	for _, key := range sortedKeys(s.fills) {
		s.fills[key].drop()
	}
	s.fills, s.fillsN = map[int64]*fill{}, 0
	if s.store != nil {
		s.store.clear()
	}
	if s.cpu != nil {
		s.cpu.advance()
		s.cpu.jobs = nil
		s.cpu.set()
	}
	s.spent, s.spentOf, s.pauses = nil, 0, 0
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
	if s.fell || s.up {
		return
	}
	s.up, s.silent = true, false
	s.life++
	s.born = max(s.w.now, 1)
	s.w.note(Entry{Kind: eventlog.KindStarted, Endpoint: s.uid})
	s.warming(s.life)
}
