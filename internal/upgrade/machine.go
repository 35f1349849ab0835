package upgrade

// Timeouts of the supervisor that depend on its configuration, in microseconds.
type Timeouts struct {
	ReadyMicros int64 // for a generation to get ready
	TrialMicros int64 // how long a new generation is on trial
	DrainMicros int64 // for a generation to answer its open requests
}

// Fixed timeouts of the supervisor, in microseconds.
const (
	// checkTimeout is for a program to validate its settings.
	checkTimeout = 10 * second
	// commandTimeout is for a process to carry out a command. Two of them must be less
	// than quiescedTimeout: the old process resumes on its own after that.
	commandTimeout = 700 * millisecond
	// HangTimeoutMicros is how long the only process may send no heartbeat (one each
	// 100 ms is expected) before it is taken for hung.
	HangTimeoutMicros = 10 * second
	// TrialHangTimeoutMicros is the same for a process on trial: it is shorter, since
	// the old process can replace it at once.
	TrialHangTimeoutMicros = second
)

// Backoff between restarts of a settled generation that crashes, in microseconds.
// The first restart is immediate.
const (
	restartBackoffMin = 50 * millisecond
	restartBackoffMax = 5 * second
	// maxBackoffDoublings keeps the shift within an int64; restartBackoffMax binds long before.
	maxBackoffDoublings = 16
	// stableAfter is the time of service after which the backoff begins anew.
	stableAfter = 10 * second
)

// Machine is the supervisor's state machine. It is used by one goroutine.
type Machine struct {
	State State

	timeouts     Timeouts
	enteredAt    int64 // when State began
	deadline     int64 // of State; 0: none
	oldGone      bool  // the old process ended during a change that goes on without it
	crashes      int   // starts of the settled generation in a row that did not last
	servingSince int64 // when the settled generation began to serve
}

// NewMachine returns a machine in StateDown that starts the settled generation at once.
func NewMachine(timeouts Timeouts, now int64) *Machine {
	return &Machine{State: StateDown, timeouts: timeouts, enteredAt: now, deadline: now, servingSince: now}
}

// NewAdoptedMachine returns a machine whose generation serves already. With trial that
// generation is not settled, and its predecessor is gone.
func NewAdoptedMachine(timeouts Timeouts, now int64, trial bool) *Machine {
	m := &Machine{State: StateSteady, timeouts: timeouts, enteredAt: now, servingSince: now}
	if trial {
		m.State = StateOnTrial
		m.oldGone = true
		m.deadline = now + timeouts.TrialMicros
	}
	return m
}

// DueMicros is when Tick is to be called; 0: not at all.
func (m *Machine) DueMicros() int64 { return m.deadline }

// SinceMicros is when the current state began.
func (m *Machine) SinceMicros() int64 { return m.enteredAt }

// Busy reports whether no change can begin: one is in progress, or nobody serves.
func (m *Machine) Busy() bool { return m.State != StateSteady }

// Tick handles InputTimeout once the deadline of the state has passed.
func (m *Machine) Tick(now int64) []Effect {
	if m.deadline == 0 || now < m.deadline {
		return nil
	}
	return m.Handle(now, InputTimeout)
}

// Paused extends the deadline by the time in microseconds in which the supervisor
// itself did not run and so could not receive what it waits for.
func (m *Machine) Paused(gapMicros int64) {
	if m.deadline > 0 {
		m.deadline += gapMicros
	}
}

// Handle takes an input and returns the effects to carry out, in order.
func (m *Machine) Handle(now int64, in Input) []Effect {
	t := transitions[m.State][in]
	if t == nil {
		return nil
	}
	if in == InputOldGone {
		m.oldGone = true
	}
	if t.stay {
		return t.effects
	}
	if t.next == StateFallingBack && m.oldGone { // there is no process to fall back to
		m.enter(now, StateDown, in)
		return []Effect{EffectKillNew, EffectReportFellBack}
	}
	m.enter(now, t.next, in)
	return t.effects
}

func (m *Machine) enter(now int64, next State, in Input) {
	previous := m.State
	m.State = next
	m.enteredAt = now
	m.deadline = 0
	if timeout, limited := m.timeout(next, in); limited {
		m.deadline = now + timeout
	}
	switch next {
	case StateDown:
		m.scheduleRestart(now, previous)
	case StateSteady:
		m.oldGone = false
		if previous == StateStarting || previous == StateFallingBack || previous == StateWriting {
			m.servingSince = now
		}
	}
}

// timeout is how long a state lasts at the most, in microseconds.
func (m *Machine) timeout(state State, in Input) (micros int64, limited bool) {
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
		if in == InputWorse || in == InputCancel { // the new process releases the lock by itself first
			return commandTimeout + lockTimeout, true
		}
		return commandTimeout, true
	default:
		return 0, false
	}
}

// scheduleRestart sets the deadline of StateDown: an exponential backoff over crashes in a row.
func (m *Machine) scheduleRestart(now int64, previous State) {
	// A change that failed with both processes gone is no crash of the settled generation.
	if previous == StateStarting || previous == StateSteady {
		if now-m.servingSince >= stableAfter {
			m.crashes = 0
		}
		m.crashes++
	}
	m.deadline = now
	if m.crashes > 1 {
		m.deadline = now + min(restartBackoffMin<<min(m.crashes-2, maxBackoffDoublings), restartBackoffMax)
	}
}
