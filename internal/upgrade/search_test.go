package upgrade

import (
	"fmt"
	"slices"
	"strings"
	"testing"
)

// mproc is a process of the model: a generation's side, and what is on its way.
type mproc struct {
	gen     uint64
	part    Agent
	alive   bool
	stopped bool
	toPart  []AgentInput
	toKeep  []msg
	linked  bool // to the keeper that runs
}

type msg struct {
	in  Input // of an old one
	alt Input // of a new one
}

// sys is a machine with a keeper and its processes. It is copied at each step.
type sys struct {
	now      int64
	keeper   bool
	m        Machine
	old, new int // places in procs; -1: none
	leaving  []int
	procs    []mproc
	place    int // who holds it; -1: nobody
	settled  uint64
	applied  bool
	called   bool // off, by the operator or since the new one does badly
	told     bool // the second generation knew that it was settled
	kills    int
	stops    int
	slow     int // times that time may pass with words on their way
	ready    []bool
	wrong    string
	noneFrom int64 // since when nobody accepts; -1: somebody does
	most     int64 // longest time that nobody did
	path     []string
}

var modelTimes = Timeouts{ReadyMicros: 2 * second, TrialMicros: 3 * second, DrainMicros: 2 * second}

func newSys(kills, stops, slow int, wrong string) sys {
	s := sys{now: second, keeper: true, m: *NewMachine(modelTimes, second), old: -1, new: -1, place: -1, settled: 1, kills: kills, stops: stops, slow: slow, wrong: wrong, noneFrom: -1}
	s.calm(10 * second)
	s.path = nil
	s.most, s.noneFrom = 0, -1
	return s
}

func (s sys) clone() sys {
	s.procs = slices.Clone(s.procs)
	for i := range s.procs {
		s.procs[i].toPart, s.procs[i].toKeep = slices.Clone(s.procs[i].toPart), slices.Clone(s.procs[i].toKeep)
	}
	s.leaving, s.path = slices.Clone(s.leaving), slices.Clone(s.path)
	return s
}

// key tells states apart, times as what is left of them.
func (s *sys) key() string {
	var b strings.Builder
	left := func(at int64) int64 {
		if at == 0 {
			return -1
		}
		return max(at-s.now, 0)
	}
	fmt.Fprint(&b, s.keeper, s.m.State, left(s.m.due), s.m.gone, s.m.falls, s.old, s.new, s.leaving, s.place, s.settled, s.applied, s.called, s.told, s.kills, s.stops, s.slow, ";")
	for i := range s.procs {
		p := &s.procs[i]
		if p.alive {
			fmt.Fprint(&b, p.gen, p.part.State, left(p.part.due), p.part.settled, p.stopped, p.toPart, p.toKeep, p.linked, ";")
		} else {
			fmt.Fprint(&b, "x;")
		}
	}
	return b.String()
}

func (s *sys) say(i int, in AgentInput) {
	if i >= 0 && s.procs[i].alive && s.procs[i].linked {
		s.procs[i].toPart = append(s.procs[i].toPart, in)
	}
}

func (s *sys) start(gen uint64) int {
	s.procs = append(s.procs, mproc{gen: gen, part: *NewAgent(), alive: true, linked: true, toKeep: []msg{{InputOldReady, InputNewReady}}})
	return len(s.procs) - 1
}

func (s *sys) feed(in Input) { s.do(s.m.Handle(s.now, in)) }

func (s *sys) do(effects []Effect) {
	for _, e := range effects {
		switch e {
		case EffectCheck:
			s.feed(InputChecked)
		case EffectStartOld:
			s.old = s.start(s.settled)
		case EffectStartNew:
			s.new = s.start(2)
		case EffectServeOld:
			s.say(s.old, AgentInputServe)
		case EffectServeNew:
			s.say(s.new, AgentInputServe)
		case EffectQuiesceOld:
			s.say(s.old, AgentInputQuiesce)
		case EffectStandbyOld:
			s.say(s.old, AgentInputSuccessorServes)
		case EffectResumeOld:
			s.say(s.old, AgentInputResume)
		case EffectSettleNew:
			if s.say(s.new, AgentInputSettle); s.wrong == "file first" {
				s.settled = 2
			}
		case EffectSettleOld:
			s.say(s.old, AgentInputSettle)
		case EffectEndNew:
			if s.new >= 0 {
				s.say(s.new, AgentInputEnd)
				s.leaving, s.new = append(s.leaving, s.new), -1
			}
		case EffectKillNew:
			s.kill(s.new)
			s.new = -1
		case EffectKillOld:
			s.kill(s.old)
			s.old = -1
		case EffectWrite:
			s.settled = 2
			s.feed(InputWritten)
		case EffectPromote:
			s.say(s.old, AgentInputEnd)
			if s.old >= 0 {
				s.leaving = append(s.leaving, s.old)
			}
			s.old, s.new = s.new, -1
		}
	}
}

// kill ends a process; the system takes its place back.
func (s *sys) kill(i int) {
	if i < 0 || !s.procs[i].alive {
		return
	}
	s.procs[i] = mproc{gen: s.procs[i].gen, stopped: true}
	if s.place == i {
		s.place = -1
	}
}

// died tells the keeper of a process that has ended.
func (s *sys) died(i int) {
	s.leaving = slices.DeleteFunc(s.leaving, func(x int) bool { return x == i })
	switch i {
	case s.old:
		s.old = -1
		s.feed(InputOldGone)
	case s.new:
		s.new = -1
		s.feed(InputNewGone)
	}
}

func (s *sys) tell(i int, in AgentInput) {
	p := &s.procs[i]
	if in == AgentInputSettle && p.gen == 2 {
		s.told = true
	}
	for _, e := range p.part.Handle(s.now, in) {
		s.effect(i, e)
	}
}

func (s *sys) effect(i int, e AgentEffect) {
	p := &s.procs[i]
	post := func(old, new Input) {
		if p.linked {
			p.toKeep = append(p.toKeep, msg{old, new})
		}
	}
	switch e {
	case AgentEffectStop, AgentEffectReleaseLock:
		if s.place == i {
			s.place = -1
		}
	case AgentEffectReportReleased:
		post(InputReleased, InputReleased)
	case AgentEffectReportAccepting:
		post(InputOldServes, InputNewServes)
	case AgentEffectReportDenied:
		post(InputDenied, InputDenied)
	case AgentEffectReportSettled:
		post(InputSettled, InputSettled)
	case AgentEffectDrain:
		if s.place == i {
			s.place = -1
		}
		s.procs[i] = mproc{gen: p.gen, stopped: true}
	}
}

// grab lets processes that want the place try for it.
func (s *sys) grab(i int) bool {
	p := &s.procs[i]
	if !p.alive || p.stopped || !p.part.State.WantsLock() || s.place >= 0 && s.wrong != "no place" {
		return false
	}
	s.place = i
	s.tell(i, AgentInputLockAcquired)
	return true
}

// deliver passes a word on.
func (s *sys) deliver(i int, toKeep bool) {
	p := &s.procs[i]
	if toKeep {
		m := p.toKeep[0]
		p.toKeep = p.toKeep[1:]
		switch i {
		case s.old:
			s.feed(m.in)
		case s.new:
			s.feed(m.alt)
		}
		return
	}
	in := p.toPart[0]
	p.toPart = p.toPart[1:]
	s.tell(i, in)
}

// pass lets time go on to the next thing that is due.
func (s *sys) pass() bool {
	next := int64(-1)
	see := func(at int64) {
		if at > 0 && (next < 0 || at < next) {
			next = at
		}
	}
	if s.keeper {
		see(s.m.due)
	}
	for i := range s.procs {
		if p := &s.procs[i]; p.alive && !p.stopped {
			see(p.part.due)
		}
	}
	if next < 0 {
		return false
	}
	s.now = max(next, s.now)
	if s.keeper && s.m.due > 0 && s.m.due <= s.now {
		s.do(s.m.Tick(s.now))
	}
	for i := range s.procs {
		if p := &s.procs[i]; p.alive && !p.stopped && p.part.due > 0 && p.part.due <= s.now {
			for _, e := range p.part.Tick(s.now) {
				s.effect(i, e)
			}
		}
	}
	return true
}

// keeperDies cuts all connections; words to it are lost, words on their way to
// processes arrive, then the loss is noticed.
func (s *sys) keeperDies() {
	s.keeper, s.old, s.new, s.leaving = false, -1, -1, nil
	for i := range s.procs {
		if p := &s.procs[i]; p.alive {
			p.linked, p.toKeep = false, nil
			p.toPart = append(p.toPart, AgentInputSupervisorLost)
		}
	}
}

// keeperStarts lets a new keeper adopt who is left.
func (s *sys) keeperStarts() {
	s.keeper = true
	var who []int
	var said []Orphan
	for i := range s.procs {
		p := &s.procs[i]
		if !p.alive {
			continue
		}
		if p.stopped { // it says nothing
			s.kill(i)
			continue
		}
		for len(p.toPart) > 0 { // it has noticed the loss before it calls
			s.deliver(i, false)
		}
		if p.alive {
			who = append(who, i)
			said = append(said, Orphan{p.gen, p.part.State, p.part.settled})
		}
	}
	s.m = *NewMachine(modelTimes, s.now)
	for n, fate := range Dispositions(s.settled, said) {
		i := who[n]
		s.procs[i].linked = true
		switch fate {
		case DispositionEnd:
			s.leaving = append(s.leaving, i)
			s.say(i, AgentInputEnd)
			continue
		case DispositionRetry:
			s.new, s.m = i, *NewAdoptedMachine(modelTimes, s.now, true)
		case DispositionResume:
			s.say(i, AgentInputResume)
			fallthrough
		default:
			s.old, s.m = i, *NewAdoptedMachine(modelTimes, s.now, false)
			s.settled = s.procs[i].gen
			if !said[n].Settled {
				s.say(i, AgentInputSettle)
			}
		}
	}
}

// watch follows how long nobody accepts.
func (s *sys) watch() {
	for i := range s.procs {
		if s.procs[i].alive && s.procs[i].part.State.Accepts() && !s.procs[i].stopped {
			s.noneFrom = -1
			return
		}
	}
	if s.noneFrom < 0 {
		s.noneFrom = s.now
	}
	s.most = max(s.most, s.now-s.noneFrom)
}

// accepting counts who accepts.
func (s *sys) accepting() (n, who int) {
	who = -1
	for i := range s.procs {
		if s.procs[i].alive && s.procs[i].part.State.Accepts() {
			n, who = n+1, i
		}
	}
	return n, who
}

// settle takes everything that needs no time: ends that are noticed, the place.
func (s *sys) settle() {
	for i := 0; i < len(s.procs); i++ {
		if !s.procs[i].alive && s.keeper && (i == s.old || i == s.new || slices.Contains(s.leaving, i)) {
			s.died(i)
			i = -1
		}
	}
	s.watch()
}

// calm plays on without further harm for a time: all words come, a dead keeper is
// started after a second, a stopped process wakes.
func (s *sys) calm(long int64) {
	keeperAt := s.now + second
	for end := s.now + long; ; {
		s.settle()
		done := false
		for i := range s.procs {
			p := &s.procs[i]
			p.stopped = p.stopped && !p.alive
			switch {
			case !p.alive:
			case len(p.toPart) > 0:
				s.deliver(i, false)
				done = true
			case len(p.toKeep) > 0 && s.keeper:
				s.deliver(i, true)
				done = true
			case s.grab(i):
				done = true
			}
			if done {
				break
			}
		}
		if done {
			continue
		}
		if !s.keeper && s.now >= keeperAt {
			s.keeperStarts()
			continue
		}
		before := s.now
		if !s.pass() || s.now > end || !s.keeper && s.now > keeperAt {
			if !s.keeper {
				s.now = max(min(s.now, keeperAt), keeperAt)
				continue
			}
			s.now = max(before, min(s.now, end))
			s.watch()
			return
		}
	}
}

// moves are all that can happen next.
func (s *sys) moves() (list []func(*sys) string) {
	pending := false
	for i := range s.procs {
		p := &s.procs[i]
		if !p.alive || p.stopped {
			continue
		}
		if len(p.toPart) > 0 {
			pending = true
			list = append(list, func(s *sys) string { s.deliver(i, false); return fmt.Sprint("to ", i) })
		}
		if len(p.toKeep) > 0 && s.keeper {
			pending = true
			list = append(list, func(s *sys) string { s.deliver(i, true); return fmt.Sprint("from ", i) })
		}
		if p.part.State.WantsLock() && (s.place < 0 || s.wrong == "no place") {
			pending = true
			list = append(list, func(s *sys) string { s.grab(i); return fmt.Sprint("place ", i) })
		}
	}
	if s.keeper && !s.applied && s.m.State == StateSteady {
		list = append(list, func(s *sys) string { s.applied = true; s.feed(InputApply); return "apply" })
	}
	if s.keeper && s.applied && !s.called && s.m.State > StateSteady && s.m.State < StateWriting {
		for in, name := range map[Input]string{InputCancel: "cancel", InputNewHung: "hung", InputWorse: "worse"} {
			list = append(list, func(s *sys) string { s.called = true; s.feed(in); return name })
		}
	}
	if !pending || s.slow > 0 {
		list = append(list, func(s *sys) string {
			if pending {
				s.slow--
			}
			s.pass()
			return "time"
		})
	}
	if !s.keeper {
		list = append(list, func(s *sys) string { s.keeperStarts(); return "keeper starts" })
	}
	if s.kills > 0 && s.applied {
		if s.keeper {
			list = append(list, func(s *sys) string { s.kills--; s.keeperDies(); return "keeper dies" })
		}
		for i := range s.procs {
			if s.procs[i].alive {
				list = append(list, func(s *sys) string { s.kills--; s.kill(i); return fmt.Sprint("dies ", i) })
			}
		}
	}
	if s.applied {
		for i := range s.procs {
			if p := &s.procs[i]; p.alive && p.stopped {
				list = append(list, func(s *sys) string { s.procs[i].stopped = false; return fmt.Sprint("wakes ", i) })
			} else if p.alive && s.stops > 0 {
				list = append(list, func(s *sys) string { s.stops--; s.procs[i].stopped = true; return fmt.Sprint("stops ", i) })
			}
		}
	}
	return list
}

// verdict judges a state, and how it ends when nothing more happens to it.
func (s *sys) verdict() (string, int64) {
	if n, _ := s.accepting(); n > 1 {
		return fmt.Sprint(n, " accept"), 0
	}
	e := s.clone()
	e.most = 0
	e.calm(30 * second)
	n, who := e.accepting()
	switch {
	case n != 1:
		return fmt.Sprintf("%d accept in the end, keeper %v", n, e.m.State), 0
	case e.m.State != StateSteady:
		return fmt.Sprintf("the keeper ends %v", e.m.State), 0
	case e.procs[who].gen != e.settled:
		return fmt.Sprintf("%d serves and %d is settled", e.procs[who].gen, e.settled), 0
	case e.settled == 2 && !e.told:
		return "the new one is settled and was never told so", 0
	}
	for i := range e.procs {
		if e.procs[i].alive && i != who {
			return fmt.Sprintf("process %d is left over, %v", i, e.procs[i].part.State), 0
		}
	}
	return "", e.most
}

// search goes through every order of events.
func search(kills, stops, slow int, wrong string, most int) (states int, bad string, longest int64) {
	seen := map[string]bool{}
	todo := []sys{newSys(kills, stops, slow, wrong)}
	for len(todo) > 0 && states < most {
		s := todo[len(todo)-1]
		todo = todo[:len(todo)-1]
		k := s.key()
		if seen[k] {
			continue
		}
		seen[k] = true
		states++
		why, none := s.verdict()
		if why != "" {
			return states, why + " after " + strings.Join(s.path, ", "), 0
		}
		longest = max(longest, none)
		if len(s.procs) > 7 { // a new life of the settled one each time: nothing new
			continue
		}
		for _, move := range s.moves() {
			n := s.clone()
			n.path = append(n.path, move(&n))
			n.settle()
			todo = append(todo, n)
		}
	}
	return states, "", longest
}

// Every order of words, time, deaths of any party and stops: one generation serves
// in the end, the settled one, and never do two.
func TestEveryOrder(t *testing.T) {
	for _, c := range []struct{ kills, stops, slow int }{{1, 0, 4}, {2, 0, 2}, {3, 0, 0}, {0, 2, 2}, {2, 1, 1}} {
		states, bad, longest := search(c.kills, c.stops, c.slow, "", 400_000)
		t.Logf("%d kills, %d stops, %d late words: %d states; nobody served for %.2f s at the most", c.kills, c.stops, c.slow, states, float64(longest)/1e6)
		if bad != "" {
			t.Errorf("%+v: %s", c, bad)
		}
	}
}

// Without the place, or with the file written before the new one knows, it goes wrong.
func TestWrongKeepers(t *testing.T) {
	for _, wrong := range []string{"no place", "file first"} {
		if states, bad, _ := search(1, 0, 2, wrong, 400_000); bad == "" {
			t.Errorf("%s: not found in %d states", wrong, states)
		} else {
			t.Logf("%s: %s", wrong, bad)
		}
	}
}
