package upgrade

// Timeouts of the supervisor that depend on its configuration, in microseconds.
type Timeouts struct {
	ReadyMicros int64 // until a started generation is ready to serve
	TrialMicros int64 // duration of a new generation's trial
	DrainMicros int64 // until a generation has answered its open requests
}

// Fixed timeouts of the supervisor, in microseconds.
const (
	// checkTimeout limits the validation of a new generation's settings.
	checkTimeout = 10 * second
	// commandTimeout limits how long a process takes to carry out a command. Twice this
	// time must be less than quiescedTimeout, after which the old process resumes on its own.
	commandTimeout = 700 * millisecond
	// HangTimeoutMicros is how long the only process may send no heartbeat (one every
	// 100 ms is expected) before it counts as hung.
	HangTimeoutMicros = 10 * second
	// TrialHangTimeoutMicros is the same limit for a process on trial. It is shorter, since
	// the old process can replace that process at once.
	TrialHangTimeoutMicros = second
)

// Backoff between restarts of a settled generation that crashes, in microseconds.
// The first restart is immediate.
const (
	restartBackoffMin = 50 * millisecond
	restartBackoffMax = 5 * second
	// maxBackoffDoublings keeps the shift within an int64. The backoff reaches
	// restartBackoffMax after far fewer doublings.
	maxBackoffDoublings = 16
	// backoffResetAfter is how long a generation must have served before a crash for the
	// backoff to start over.
	backoffResetAfter = 10 * second
)

// Machine is the supervisor's state machine. It is used by one goroutine.
type Machine struct {
	State State

	timeouts     Timeouts
	enteredAt    int64 // when State began
	deadline     int64 // of State; 0: none
	oldEnded     bool  // the old process ended during a change that continues without it
	crashes      int   // of the settled generation since it last served for backoffResetAfter
	servingSince int64 // when the settled generation began to serve
}

// NewMachine returns a machine in StateDown that starts the settled generation at once.
func NewMachine(timeouts Timeouts, now int64) *Machine {
	return &Machine{State: StateDown, timeouts: timeouts, enteredAt: now, deadline: now, servingSince: now}
}

// NewAdoptedMachine returns a machine whose generation already serves. If trial is set,
// that generation is on trial, and its predecessor has ended.
func NewAdoptedMachine(timeouts Timeouts, now int64, trial bool) *Machine {
	m := &Machine{State: StateSteady, timeouts: timeouts, enteredAt: now, servingSince: now}
	if trial {
		m.State = StateOnTrial
		m.oldEnded = true
		m.deadline = now + timeouts.TrialMicros
	}
	return m
}

// DueMicros returns the time at which Tick is due; 0: never.
func (m *Machine) DueMicros() int64 { return m.deadline }

// SinceMicros returns the time at which the current state began.
func (m *Machine) SinceMicros() int64 { return m.enteredAt }

// Busy reports whether no change can begin, because one is in progress or the settled
// generation does not serve.
func (m *Machine) Busy() bool { return m.State != StateSteady }

// Tick handles InputTimeout once the deadline of the state has passed.
func (m *Machine) Tick(now int64) []Effect {
	if m.deadline == 0 || now < m.deadline {
		return nil
	}
	return m.Handle(now, InputTimeout)
}

// Paused extends the deadline by the time in microseconds in which the supervisor
// itself did not run, and so could not receive the message that it waits for.
func (m *Machine) Paused(gapMicros int64) {
	if m.deadline > 0 {
		m.deadline += gapMicros
	}
}

// Handle processes an input and returns the effects to carry out, in order.
func (m *Machine) Handle(now int64, input Input) []Effect {
	row := transitions[m.State][input]
	if row == nil {
		return nil
	}
	if input == InputOldEnded {
		m.oldEnded = true
	}
	if row.stay {
		return row.effects
	}
	if row.next == StateFallingBack && m.oldEnded { // there is no process to fall back to
		m.enter(now, StateDown, input)
		return []Effect{EffectKillNew, EffectReportFellBack}
	}
	m.enter(now, row.next, input)
	return row.effects
}

// enter begins a state because of an input, and sets the state's deadline.
func (m *Machine) enter(now int64, next State, input Input) {
	previous := m.State
	m.State = next
	m.enteredAt = now
	m.deadline = 0
	if timeout, limited := m.timeout(next, input); limited {
		m.deadline = now + timeout
	}
	switch next {
	case StateDown:
		m.scheduleRestart(now, previous)
	case StateSteady:
		m.oldEnded = false
		if previous == StateStarting || previous == StateFallingBack || previous == StateWriting {
			m.servingSince = now
		}
	}
}

// timeout returns how long a state that an input led to may last, in microseconds. It
// reports false for a state without a limit.
func (m *Machine) timeout(state State, input Input) (micros int64, limited bool) {
	switch state {
	case StateStarting, StateWarming:
		return m.timeouts.ReadyMicros, true
	case StateChecking:
		return checkTimeout, true
	case StateQuiescing, StateHandingOver, StateSettling:
		return commandTimeout, true
	case StateOnTrial:
		return m.timeouts.TrialMicros, true
	case StateFallingBack:
		if input == InputTrialFailed || input == InputCancel { // the new process first releases the lock on its own
			return commandTimeout + lockTimeout, true
		}
		return commandTimeout, true
	default:
		return 0, false
	}
}

// scheduleRestart sets the deadline of StateDown by an exponential backoff over consecutive
// crashes.
func (m *Machine) scheduleRestart(now int64, previous State) {
	// Only an end outside a change counts: a change that failed because both processes
	// ended is not a crash of the settled generation.
	if previous == StateStarting || previous == StateSteady {
		if now-m.servingSince >= backoffResetAfter {
			m.crashes = 0
		}
		m.crashes++
	}
	m.deadline = now
	if m.crashes > 1 {
		m.deadline = now + min(restartBackoffMin<<min(m.crashes-2, maxBackoffDoublings), restartBackoffMax)
	}
}
