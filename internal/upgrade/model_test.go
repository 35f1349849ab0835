package upgrade

import (
	"fmt"
	"slices"
	"strings"
)

// modelProcess is a router process of the model, with the messages on their way.
type modelProcess struct {
	generation   uint64
	agent        Agent
	alive        bool
	stopped      bool // as by SIGSTOP
	linked       bool // to the supervisor that runs
	toAgent      []AgentInput
	toSupervisor []report
}

// report of a process means one input when it is the old one, another when it is the new one.
type report struct{ fromOld, fromNew Input }

// modelVariant is a fault of the protocol that the search must find.
type modelVariant uint8

const (
	faultless modelVariant = iota
	noLock                 // processes serve without the lock
	fileFirst              // the state file is written before the new process knows that it is settled
)

func (v modelVariant) String() string { return [...]string{"faultless", "no lock", "file first"}[v] }

// none is the index of no process.
const none = -1

// model is a machine with a supervisor and its processes. It is copied at each step.
type model struct {
	variant         modelVariant
	now             int64
	supervisorAlive bool
	machine         Machine
	processes       []modelProcess
	old, new        int // indices of processes, or none
	leaving         []int
	lockHolder      int    // index of a process, or none
	settled         uint64 // in the state file
	applied         bool
	cancelled       bool // by the operator, or since the new generation does badly
	notified        bool // the second generation knew that it was settled

	kills  int // left to happen
	stops  int
	delays int // times that time may pass with messages on their way

	outageSince   int64 // since when nobody accepts; -1: somebody does
	longestOutage int64
	path          []string
}

var modelTimeouts = Timeouts{ReadyMicros: 2 * second, TrialMicros: 3 * second, DrainMicros: 2 * second}

func newModel(kills, stops, delays int, variant modelVariant) model {
	s := model{
		now: second, supervisorAlive: true, machine: *NewMachine(modelTimeouts, second),
		old: none, new: none, lockHolder: none, settled: 1,
		kills: kills, stops: stops, delays: delays, variant: variant, outageSince: -1,
	}
	s.runUndisturbed(10 * second)
	s.path = nil
	s.longestOutage = 0
	s.outageSince = -1
	return s
}

func (s model) clone() model {
	s.processes = slices.Clone(s.processes)
	for i := range s.processes {
		p := &s.processes[i]
		p.toAgent = slices.Clone(p.toAgent)
		p.toSupervisor = slices.Clone(p.toSupervisor)
	}
	s.leaving = slices.Clone(s.leaving)
	s.path = slices.Clone(s.path)
	return s
}

// key tells states of the model apart. A deadline counts as the time that is left.
func (s *model) key() string {
	var b strings.Builder
	left := func(at int64) int64 {
		if at == 0 {
			return -1
		}
		return max(at-s.now, 0)
	}
	fmt.Fprint(&b, s.supervisorAlive, s.machine.State, left(s.machine.deadline), s.machine.oldEnded, s.machine.crashes,
		s.old, s.new, s.leaving, s.lockHolder, s.settled, s.applied, s.cancelled, s.notified,
		s.kills, s.stops, s.delays, ";")
	for i := range s.processes {
		p := &s.processes[i]
		if p.alive {
			fmt.Fprint(&b, p.generation, p.agent.State, left(p.agent.deadline), p.agent.settled, p.stopped)
			fmt.Fprintf(&b, "%d %d %v;", p.toAgent, p.toSupervisor, p.linked)
		} else {
			fmt.Fprint(&b, "x;")
		}
	}
	return b.String()
}

// command sends a process a command of the supervisor.
func (s *model) command(i int, in AgentInput) {
	if i >= 0 && s.processes[i].alive && s.processes[i].linked {
		s.processes[i].toAgent = append(s.processes[i].toAgent, in)
	}
}

func (s *model) start(generation uint64) int {
	s.processes = append(s.processes, modelProcess{
		generation: generation, agent: *NewAgent(), alive: true, linked: true,
		toSupervisor: []report{{InputOldReady, InputNewReady}},
	})
	return len(s.processes) - 1
}

func (s *model) feed(in Input) { s.carryOut(s.machine.Handle(s.now, in)) }

func (s *model) carryOut(effects []Effect) {
	for _, e := range effects {
		switch e {
		case EffectCheck:
			s.feed(InputChecked)
		case EffectStartOld:
			s.old = s.start(s.settled)
		case EffectStartNew:
			s.new = s.start(2)
		case EffectServeOld:
			s.command(s.old, AgentInputServe)
		case EffectServeNew:
			s.command(s.new, AgentInputServe)
		case EffectQuiesceOld:
			s.command(s.old, AgentInputQuiesce)
		case EffectStandbyOld:
			s.command(s.old, AgentInputSuccessorServes)
		case EffectResumeOld:
			s.command(s.old, AgentInputResume)
		case EffectSettleNew:
			s.command(s.new, AgentInputSettle)
			if s.variant == fileFirst {
				s.settled = 2
			}
		case EffectSettleOld:
			s.command(s.old, AgentInputSettle)
		case EffectEndNew:
			if s.new >= 0 {
				s.command(s.new, AgentInputEnd)
				s.leaving, s.new = append(s.leaving, s.new), none
			}
		case EffectKillNew:
			s.kill(s.new)
			s.new = none
		case EffectKillOld:
			s.kill(s.old)
			s.old = none
		case EffectWrite:
			s.settled = 2
			s.feed(InputWritten)
		case EffectPromote:
			s.command(s.old, AgentInputEnd)
			if s.old >= 0 {
				s.leaving = append(s.leaving, s.old)
			}
			s.old, s.new = s.new, none
		}
	}
}

// kill ends a process; the operating system releases its lock.
func (s *model) kill(i int) {
	if i < 0 || !s.processes[i].alive {
		return
	}
	s.processes[i] = modelProcess{generation: s.processes[i].generation, stopped: true}
	if s.lockHolder == i {
		s.lockHolder = none
	}
}

// processEnded lets the supervisor notice the end of a process.
func (s *model) processEnded(i int) {
	s.leaving = slices.DeleteFunc(s.leaving, func(x int) bool { return x == i })
	switch i {
	case s.old:
		s.old = none
		s.feed(InputOldGone)
	case s.new:
		s.new = none
		s.feed(InputNewGone)
	}
}

func (s *model) deliverToAgent(i int, in AgentInput) {
	p := &s.processes[i]
	if in == AgentInputSettle && p.generation == 2 {
		s.notified = true
	}
	for _, e := range p.agent.Handle(s.now, in) {
		s.effect(i, e)
	}
}

func (s *model) effect(i int, e AgentEffect) {
	p := &s.processes[i]
	post := func(fromOld, fromNew Input) {
		if p.linked {
			p.toSupervisor = append(p.toSupervisor, report{fromOld, fromNew})
		}
	}
	switch e {
	case AgentEffectStop, AgentEffectReleaseLock:
		if s.lockHolder == i {
			s.lockHolder = none
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
		if s.lockHolder == i {
			s.lockHolder = none
		}
		s.processes[i] = modelProcess{generation: p.generation, stopped: true}
	}
}

// acquireLock lets a process that wants the lock try for it.
func (s *model) acquireLock(i int) bool {
	p := &s.processes[i]
	if !p.alive || p.stopped || !p.agent.State.WantsLock() || s.lockHolder >= 0 && s.variant != noLock {
		return false
	}
	s.lockHolder = i
	s.deliverToAgent(i, AgentInputLockAcquired)
	return true
}

// deliver passes the next message on.
func (s *model) deliver(i int, toSupervisor bool) {
	p := &s.processes[i]
	if toSupervisor {
		m := p.toSupervisor[0]
		p.toSupervisor = p.toSupervisor[1:]
		switch i {
		case s.old:
			s.feed(m.fromOld)
		case s.new:
			s.feed(m.fromNew)
		}
		return
	}
	in := p.toAgent[0]
	p.toAgent = p.toAgent[1:]
	s.deliverToAgent(i, in)
}

// advanceTime goes on to the next deadline.
func (s *model) advanceTime() bool {
	next := int64(-1)
	see := func(at int64) {
		if at > 0 && (next < 0 || at < next) {
			next = at
		}
	}
	if s.supervisorAlive {
		see(s.machine.deadline)
	}
	for i := range s.processes {
		if p := &s.processes[i]; p.alive && !p.stopped {
			see(p.agent.deadline)
		}
	}
	if next < 0 {
		return false
	}
	s.now = max(next, s.now)
	if s.supervisorAlive && s.machine.deadline > 0 && s.machine.deadline <= s.now {
		s.carryOut(s.machine.Tick(s.now))
	}
	for i := range s.processes {
		if p := &s.processes[i]; p.alive && !p.stopped && p.agent.deadline > 0 && p.agent.deadline <= s.now {
			for _, e := range p.agent.Tick(s.now) {
				s.effect(i, e)
			}
		}
	}
	return true
}

// supervisorDies cuts all connections: messages to it are lost, messages on their way
// to processes arrive, then the loss is noticed.
func (s *model) supervisorDies() {
	s.supervisorAlive, s.old, s.new, s.leaving = false, none, none, nil
	for i := range s.processes {
		if p := &s.processes[i]; p.alive {
			p.linked, p.toSupervisor = false, nil
			p.toAgent = append(p.toAgent, AgentInputSupervisorLost)
		}
	}
}

// supervisorStarts lets a new supervisor adopt the processes that are left.
func (s *model) supervisorStarts() {
	s.supervisorAlive = true
	var indices []int
	var orphans []Orphan
	for i := range s.processes {
		p := &s.processes[i]
		if !p.alive {
			continue
		}
		if p.stopped { // it says nothing
			s.kill(i)
			continue
		}
		for len(p.toAgent) > 0 { // it has noticed the loss before it calls
			s.deliver(i, false)
		}
		if p.alive {
			indices = append(indices, i)
			orphans = append(orphans, Orphan{p.generation, p.agent.State, p.agent.settled})
		}
	}
	s.machine = *NewMachine(modelTimeouts, s.now)
	for n, disposition := range Dispositions(s.settled, orphans) {
		i := indices[n]
		s.processes[i].linked = true
		switch disposition {
		case DispositionEnd:
			s.leaving = append(s.leaving, i)
			s.command(i, AgentInputEnd)
			continue
		case DispositionRetry:
			s.new, s.machine = i, *NewAdoptedMachine(modelTimeouts, s.now, true)
		case DispositionResume:
			s.command(i, AgentInputResume)
			fallthrough
		default:
			s.old, s.machine = i, *NewAdoptedMachine(modelTimeouts, s.now, false)
			s.settled = s.processes[i].generation
			if !orphans[n].Settled {
				s.command(i, AgentInputSettle)
			}
		}
	}
}

// measureOutage follows how long nobody accepts.
func (s *model) measureOutage() {
	for i := range s.processes {
		p := &s.processes[i]
		if p.alive && p.agent.State.Accepts() && !p.stopped {
			s.outageSince = -1
			return
		}
	}
	if s.outageSince < 0 {
		s.outageSince = s.now
	}
	s.longestOutage = max(s.longestOutage, s.now-s.outageSince)
}

// accepting counts processes that accept, and returns one of them.
func (s *model) accepting() (n, who int) {
	who = none
	for i := range s.processes {
		if s.processes[i].alive && s.processes[i].agent.State.Accepts() {
			n, who = n+1, i
		}
	}
	return n, who
}

// noticeEnds lets the supervisor notice all processes that have ended.
func (s *model) noticeEnds() {
	for i := 0; i < len(s.processes); i++ {
		if !s.processes[i].alive && s.supervisorAlive && (i == s.old || i == s.new || slices.Contains(s.leaving, i)) {
			s.processEnded(i)
			i = -1
		}
	}
	s.measureOutage()
}

// runUndisturbed goes on without further faults for a time: all messages arrive, a dead
// supervisor is started after a second, a stopped process runs again.
func (s *model) runUndisturbed(duration int64) {
	restartAt := s.now + second
	for end := s.now + duration; ; {
		s.noticeEnds()
		if s.stepWithoutDelay() {
			continue
		}
		if !s.supervisorAlive && s.now >= restartAt {
			s.supervisorStarts()
			continue
		}
		before := s.now
		if !s.advanceTime() || s.now > end || !s.supervisorAlive && s.now > restartAt {
			if !s.supervisorAlive {
				s.now = max(min(s.now, restartAt), restartAt)
				continue
			}
			s.now = max(before, min(s.now, end))
			s.measureOutage()
			return
		}
	}
}

// stepWithoutDelay does one thing that takes no time: a message arrives, or the lock is
// acquired.
func (s *model) stepWithoutDelay() bool {
	for i := range s.processes {
		p := &s.processes[i]
		p.stopped = p.stopped && !p.alive
		switch {
		case !p.alive:
		case len(p.toAgent) > 0:
			s.deliver(i, false)
			return true
		case len(p.toSupervisor) > 0 && s.supervisorAlive:
			s.deliver(i, true)
			return true
		case s.acquireLock(i):
			return true
		}
	}
	return false
}

// move is something that can happen next. It returns its name.
type move func(*model) string

func (s *model) moves() []move {
	moves, pending := s.deliveries()
	if s.supervisorAlive && !s.applied && s.machine.State == StateSteady {
		moves = append(moves, func(s *model) string { s.applied = true; s.feed(InputApply); return "apply" })
	}
	inChange := s.machine.State > StateSteady && s.machine.State < StateWriting
	if s.supervisorAlive && s.applied && !s.cancelled && inChange {
		for in, name := range map[Input]string{InputCancel: "cancel", InputNewHung: "hung", InputWorse: "worse"} {
			moves = append(moves, func(s *model) string { s.cancelled = true; s.feed(in); return name })
		}
	}
	if !pending || s.delays > 0 {
		moves = append(moves, func(s *model) string {
			if pending {
				s.delays--
			}
			s.advanceTime()
			return "time"
		})
	}
	return append(moves, s.faults()...)
}

// deliveries are the moves that take no time.
func (s *model) deliveries() (list []move, pending bool) {
	for i := range s.processes {
		p := &s.processes[i]
		if !p.alive || p.stopped {
			continue
		}
		if len(p.toAgent) > 0 {
			pending = true
			list = append(list, func(s *model) string { s.deliver(i, false); return fmt.Sprint("to ", i) })
		}
		if len(p.toSupervisor) > 0 && s.supervisorAlive {
			pending = true
			list = append(list, func(s *model) string { s.deliver(i, true); return fmt.Sprint("from ", i) })
		}
		if p.agent.State.WantsLock() && (s.lockHolder < 0 || s.variant == noLock) {
			pending = true
			list = append(list, func(s *model) string { s.acquireLock(i); return fmt.Sprint("lock ", i) })
		}
	}
	return list, pending
}

// faults are deaths, restarts, stops and continuations.
func (s *model) faults() (list []move) {
	if !s.supervisorAlive {
		list = append(list, func(s *model) string { s.supervisorStarts(); return "supervisor starts" })
	}
	if s.kills > 0 && s.applied {
		if s.supervisorAlive {
			list = append(list, func(s *model) string { s.kills--; s.supervisorDies(); return "supervisor dies" })
		}
		for i := range s.processes {
			if s.processes[i].alive {
				list = append(list, func(s *model) string { s.kills--; s.kill(i); return fmt.Sprint("dies ", i) })
			}
		}
	}
	if s.applied {
		for i := range s.processes {
			if p := &s.processes[i]; p.alive && p.stopped {
				list = append(list, func(s *model) string {
					s.processes[i].stopped = false
					return fmt.Sprint("wakes ", i)
				})
			} else if p.alive && s.stops > 0 {
				list = append(list, func(s *model) string {
					s.stops--
					s.processes[i].stopped = true
					return fmt.Sprint("stops ", i)
				})
			}
		}
	}
	return list
}

// check judges a state, and how it ends when no further fault happens to it. It returns
// the violation, or the longest time in microseconds that nobody accepts until then.
func (s *model) check() (string, int64) {
	if n, _ := s.accepting(); n > 1 {
		return fmt.Sprint(n, " accept"), 0
	}
	e := s.clone()
	e.longestOutage = 0
	e.runUndisturbed(30 * second)
	n, who := e.accepting()
	switch {
	case n != 1:
		return fmt.Sprintf("%d accept in the end, supervisor %v", n, e.machine.State), 0
	case e.machine.State != StateSteady:
		return fmt.Sprintf("the supervisor ends %v", e.machine.State), 0
	case e.processes[who].generation != e.settled:
		return fmt.Sprintf("%d serves and %d is settled", e.processes[who].generation, e.settled), 0
	case e.settled == 2 && !e.notified:
		return "the new one is settled and was never told so", 0
	}
	for i := range e.processes {
		if e.processes[i].alive && i != who {
			return fmt.Sprintf("process %d is left over, %v", i, e.processes[i].agent.State), 0
		}
	}
	return "", e.longestOutage
}
