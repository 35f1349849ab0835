package upgrade

import (
	"fmt"
	"slices"
	"strings"
)

// modelProcess is a router process of the model, with the messages in transit.
type modelProcess struct {
	generation   uint64
	agent        Agent
	alive        bool
	stopped      bool // as by SIGSTOP
	connected    bool // to the running supervisor
	toAgent      []AgentInput
	toSupervisor []report
}

// report is a message of a process to the supervisor: the input that it is from the old
// process, and the one that it is from the new process.
type report struct{ fromOld, fromNew Input }

// modelVariant is the protocol that a model follows: the correct one, or one with a fault
// that the search must find.
type modelVariant uint8

const (
	faultless modelVariant = iota
	noLock                 // processes serve without the lock
	fileFirst              // the state file is written before the new process is notified that it is settled
)

func (v modelVariant) String() string { return [...]string{"faultless", "no lock", "file first"}[v] }

// none is the index that stands for no process.
const none = -1

// Generations of the model: the one that serves at first, and the one of the change.
const (
	oldGeneration = 1
	newGeneration = 2
)

// model is a state of a machine with a supervisor and its processes. The search copies it
// at each step.
type model struct {
	variant         modelVariant
	now             int64
	supervisorAlive bool
	machine         Machine
	processes       []modelProcess
	old, new        int    // indices of processes, or none
	draining        []int  // indices of processes that are to end
	lockHolder      int    // index of a process, or none
	settled         uint64 // generation that the state file records
	applied         bool   // the change to newGeneration was requested
	cancelled       bool   // by the operator, or by a failure of the new generation
	notified        bool   // newGeneration was notified that it is settled

	// Faults that may still happen.
	kills  int
	stops  int
	delays int // times that the clock may advance while messages are in transit

	outageSince   int64    // time since which no process accepts clients; -1: one accepts
	longestOutage int64    // in microseconds
	path          []string // names of the moves that led to this state
}

var modelTimeouts = Timeouts{ReadyMicros: 2 * second, TrialMicros: 3 * second, DrainMicros: 2 * second}

// newModel returns a model in which oldGeneration serves and no change was requested.
func newModel(kills, stops, delays int, variant modelVariant) model {
	s := model{
		now: second, supervisorAlive: true, machine: *NewMachine(modelTimeouts, second),
		old: none, new: none, lockHolder: none, settled: oldGeneration,
		kills: kills, stops: stops, delays: delays, variant: variant, outageSince: -1,
	}
	s.runUndisturbed(10 * second)
	s.path = nil
	s.longestOutage = 0
	s.outageSince = -1
	return s
}

// clone returns a copy that shares no slices with the model.
func (s model) clone() model {
	s.processes = slices.Clone(s.processes)
	for i := range s.processes {
		p := &s.processes[i]
		p.toAgent = slices.Clone(p.toAgent)
		p.toSupervisor = slices.Clone(p.toSupervisor)
	}
	s.draining = slices.Clone(s.draining)
	s.path = slices.Clone(s.path)
	return s
}

// key identifies a state of the model, whatever its path and its clock: it holds the time
// until each deadline in place of the deadline.
func (s *model) key() string {
	var b strings.Builder
	remaining := func(deadline int64) int64 {
		if deadline == 0 {
			return -1
		}
		return max(deadline-s.now, 0)
	}
	fmt.Fprint(&b, s.supervisorAlive, s.machine.State, remaining(s.machine.deadline),
		s.machine.oldEnded, s.machine.crashes, s.old, s.new, s.draining, s.lockHolder, s.settled, s.applied, s.cancelled, s.notified,
		s.kills, s.stops, s.delays, ";")
	for i := range s.processes {
		p := &s.processes[i]
		if p.alive {
			fmt.Fprint(&b, p.generation, p.agent.State, remaining(p.agent.deadline), p.agent.settled, p.stopped)
			fmt.Fprintf(&b, "%d %d %v;", p.toAgent, p.toSupervisor, p.connected)
		} else {
			fmt.Fprint(&b, "x;")
		}
	}
	return b.String()
}

// command sends a process a command of the supervisor.
func (s *model) command(i int, input AgentInput) {
	if i >= 0 && s.processes[i].alive && s.processes[i].connected {
		s.processes[i].toAgent = append(s.processes[i].toAgent, input)
	}
}

// start starts a process of a generation and returns its index.
func (s *model) start(generation uint64) int {
	s.processes = append(s.processes, modelProcess{
		generation: generation, agent: *NewAgent(), alive: true, connected: true,
		toSupervisor: []report{{InputOldReady, InputNewReady}},
	})
	return len(s.processes) - 1
}

// feed passes an input to the supervisor's machine and carries out the effects.
func (s *model) feed(input Input) { s.carryOut(s.machine.Handle(s.now, input)) }

// carryOut carries out the effects of the supervisor's machine. Checks of settings and
// writes of the state file succeed at once.
func (s *model) carryOut(effects []Effect) {
	for _, e := range effects {
		switch e {
		case EffectCheck:
			s.feed(InputChecked)
		case EffectStartOld:
			s.old = s.start(s.settled)
		case EffectStartNew:
			s.new = s.start(newGeneration)
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
				s.settled = newGeneration
			}
		case EffectSettleOld:
			s.command(s.old, AgentInputSettle)
		case EffectEndNew:
			if s.new >= 0 {
				s.command(s.new, AgentInputEnd)
				s.draining, s.new = append(s.draining, s.new), none
			}
		case EffectKillNew:
			s.kill(s.new)
			s.new = none
		case EffectKillOld:
			s.kill(s.old)
			s.old = none
		case EffectRecordSettled:
			s.settled = newGeneration
			s.feed(InputWritten)
		case EffectPromote:
			s.command(s.old, AgentInputEnd)
			if s.old >= 0 {
				s.draining = append(s.draining, s.old)
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

// processEnded notifies the supervisor of the end of a process.
func (s *model) processEnded(i int) {
	s.draining = slices.DeleteFunc(s.draining, func(other int) bool { return other == i })
	switch i {
	case s.old:
		s.old = none
		s.feed(InputOldEnded)
	case s.new:
		s.new = none
		s.feed(InputNewEnded)
	}
}

// deliverToAgent passes an input to a process's agent and carries out the effects.
func (s *model) deliverToAgent(i int, input AgentInput) {
	p := &s.processes[i]
	if input == AgentInputSettle && p.generation == newGeneration {
		s.notified = true
	}
	for _, e := range p.agent.Handle(s.now, input) {
		s.carryOutAgentEffect(i, e)
	}
}

// carryOutAgentEffect carries out an effect of a process's agent. A process that is to drain
// ends at once.
func (s *model) carryOutAgentEffect(i int, e AgentEffect) {
	p := &s.processes[i]
	send := func(fromOld, fromNew Input) {
		if p.connected {
			p.toSupervisor = append(p.toSupervisor, report{fromOld, fromNew})
		}
	}
	switch e {
	case AgentEffectStop, AgentEffectReleaseLock:
		if s.lockHolder == i {
			s.lockHolder = none
		}
	case AgentEffectReportReleased:
		send(InputReleased, InputReleased)
	case AgentEffectReportAccepting:
		send(InputOldServes, InputNewServes)
	case AgentEffectReportDenied:
		send(InputDenied, InputDenied)
	case AgentEffectReportSettled:
		send(InputSettled, InputSettled)
	case AgentEffectDrain:
		if s.lockHolder == i {
			s.lockHolder = none
		}
		s.processes[i] = modelProcess{generation: p.generation, stopped: true}
	}
}

// acquireLock makes a process acquire the lock if it wants the lock and the lock is free. It
// reports whether it did.
func (s *model) acquireLock(i int) bool {
	p := &s.processes[i]
	if !p.alive || p.stopped || !p.agent.State.WantsLock() || s.lockHolder >= 0 && s.variant != noLock {
		return false
	}
	s.lockHolder = i
	s.deliverToAgent(i, AgentInputLockAcquired)
	return true
}

// deliver delivers the next message in transit from or to a process.
func (s *model) deliver(i int, toSupervisor bool) {
	p := &s.processes[i]
	if toSupervisor {
		message := p.toSupervisor[0]
		p.toSupervisor = p.toSupervisor[1:]
		switch i {
		case s.old:
			s.feed(message.fromOld)
		case s.new:
			s.feed(message.fromNew)
		}
		return
	}
	input := p.toAgent[0]
	p.toAgent = p.toAgent[1:]
	s.deliverToAgent(i, input)
}

// advanceTime advances the clock to the next deadline. It reports false if there is none.
func (s *model) advanceTime() bool {
	next := int64(-1)
	consider := func(deadline int64) {
		if deadline > 0 && (next < 0 || deadline < next) {
			next = deadline
		}
	}
	if s.supervisorAlive {
		consider(s.machine.deadline)
	}
	for i := range s.processes {
		if p := &s.processes[i]; p.alive && !p.stopped {
			consider(p.agent.deadline)
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
				s.carryOutAgentEffect(i, e)
			}
		}
	}
	return true
}

// killSupervisor ends the supervisor and all connections to it. Messages in transit to it
// are lost. Processes receive the messages in transit to them before they notice the loss.
func (s *model) killSupervisor() {
	s.supervisorAlive, s.old, s.new, s.draining = false, none, none, nil
	for i := range s.processes {
		if p := &s.processes[i]; p.alive {
			p.connected, p.toSupervisor = false, nil
			p.toAgent = append(p.toAgent, AgentInputSupervisorLost)
		}
	}
}

// startSupervisor starts a new supervisor, which adopts the processes that are alive.
func (s *model) startSupervisor() {
	s.supervisorAlive = true
	var indices []int
	var orphans []Orphan
	for i := range s.processes {
		p := &s.processes[i]
		if !p.alive {
			continue
		}
		if p.stopped { // it does not connect
			s.kill(i)
			continue
		}
		for len(p.toAgent) > 0 { // it notices the loss of the previous supervisor before it connects
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
		s.processes[i].connected = true
		switch disposition {
		case DispositionEnd:
			s.draining = append(s.draining, i)
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

// measureOutage updates the time for which no process accepts clients.
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

// accepting returns the number of processes that accept clients, and the index of one.
func (s *model) accepting() (count, acceptor int) {
	acceptor = none
	for i := range s.processes {
		if s.processes[i].alive && s.processes[i].agent.State.Accepts() {
			count, acceptor = count+1, i
		}
	}
	return count, acceptor
}

// noticeEnds notifies the supervisor of all processes that have ended.
func (s *model) noticeEnds() {
	for i := 0; i < len(s.processes); i++ {
		if !s.processes[i].alive && s.supervisorAlive && (i == s.old || i == s.new || slices.Contains(s.draining, i)) {
			s.processEnded(i)
			i = -1
		}
	}
	s.measureOutage()
}

// runUndisturbed runs the model for a time without further faults: all messages arrive, a
// supervisor that has ended is started again after a second, stopped processes continue.
func (s *model) runUndisturbed(duration int64) {
	restartAt := s.now + second
	for end := s.now + duration; ; {
		s.noticeEnds()
		if s.stepWithoutDelay() {
			continue
		}
		if !s.supervisorAlive && s.now >= restartAt {
			s.startSupervisor()
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

// stepWithoutDelay does one step that takes no time: it delivers a message or has a process
// acquire the lock. It reports false if no such step is possible.
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

// move is an event that may happen next. It changes the model and returns the event's name.
type move func(*model) string

// moves returns all events that may happen next.
func (s *model) moves() []move {
	moves, pending := s.deliveries()
	if s.supervisorAlive && !s.applied && s.machine.State == StateSteady {
		moves = append(moves, func(s *model) string { s.applied = true; s.feed(InputApply); return "apply" })
	}
	inChange := s.machine.State > StateSteady && s.machine.State < StateWriting
	if s.supervisorAlive && s.applied && !s.cancelled && inChange {
		for input, name := range map[Input]string{InputCancel: "cancel", InputNewUnhealthy: "hung", InputTrialFailed: "worse"} {
			moves = append(moves, func(s *model) string { s.cancelled = true; s.feed(input); return name })
		}
	}
	if !pending || s.delays > 0 {
		moves = append(moves, func(s *model) string {
			if pending {
				s.delays--
			}
			s.advanceTime()
			return "time advances"
		})
	}
	return append(moves, s.faults()...)
}

// deliveries returns the moves that take no time, and whether there is any.
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

// faults returns the moves that end, start, stop or continue a process or the supervisor.
func (s *model) faults() (list []move) {
	if !s.supervisorAlive {
		list = append(list, func(s *model) string { s.startSupervisor(); return "start supervisor" })
	}
	if s.kills > 0 && s.applied {
		if s.supervisorAlive {
			list = append(list, func(s *model) string { s.kills--; s.killSupervisor(); return "kill supervisor" })
		}
		for i := range s.processes {
			if s.processes[i].alive {
				list = append(list, func(s *model) string { s.kills--; s.kill(i); return fmt.Sprint("kill ", i) })
			}
		}
	}
	if s.applied {
		for i := range s.processes {
			if p := &s.processes[i]; p.alive && p.stopped {
				list = append(list, func(s *model) string {
					s.processes[i].stopped = false
					return fmt.Sprint("continue ", i)
				})
			} else if p.alive && s.stops > 0 {
				list = append(list, func(s *model) string {
					s.stops--
					s.processes[i].stopped = true
					return fmt.Sprint("stop ", i)
				})
			}
		}
	}
	return list
}

// check verifies a state, and the state that follows it when no further fault happens. It
// returns the violation, or else the longest time in microseconds until then in which no
// process accepts clients.
func (s *model) check() (violation string, outage int64) {
	if count, _ := s.accepting(); count > 1 {
		return fmt.Sprint(count, " processes accept clients"), 0
	}
	final := s.clone()
	final.longestOutage = 0
	final.runUndisturbed(30 * second)
	count, acceptor := final.accepting()
	switch {
	case count != 1:
		return fmt.Sprintf("%d processes accept clients in the end, the supervisor's state is %v",
			count, final.machine.State), 0
	case final.machine.State != StateSteady:
		return fmt.Sprintf("the supervisor's state in the end is %v", final.machine.State), 0
	case final.processes[acceptor].generation != final.settled:
		return fmt.Sprintf("generation %d serves and generation %d is settled",
			final.processes[acceptor].generation, final.settled), 0
	case final.settled == newGeneration && !final.notified:
		return "generation 2 is settled and was never notified", 0
	}
	for i := range final.processes {
		if final.processes[i].alive && i != acceptor {
			return fmt.Sprintf("process %d does not end, its state is %v", i, final.processes[i].agent.State), 0
		}
	}
	return "", final.longestOutage
}
