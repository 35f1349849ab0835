package upgrade

// Timeouts of a router process, in microseconds.
const (
	// lockTimeout is how long a successor tries to acquire the serving lock. The
	// predecessor releases the lock before it reports the release, so the lock is free
	// at once unless the predecessor has resumed.
	lockTimeout = 300 * millisecond
	// quiescedTimeout is how long a quiesced process waits for a message of its
	// supervisor, which may be stopped. It must exceed twice the supervisor's
	// commandTimeout.
	quiescedTimeout = 1500 * millisecond
	// yieldTimeout is how long a process on trial that lost its supervisor leaves the
	// lock to its predecessor.
	yieldTimeout = 500 * millisecond
)

// agentTransition is an Agent's reaction to an input.
type agentTransition struct {
	next    AgentState
	timeout int64 // of the next state, in microseconds; 0: none
	effects []AgentEffect
}

func agentTo(next AgentState, effects ...AgentEffect) *agentTransition {
	return &agentTransition{next: next, effects: effects}
}

func agentToWithTimeout(timeout int64, next AgentState, effects ...AgentEffect) *agentTransition {
	return &agentTransition{next: next, timeout: timeout, effects: effects}
}

// agentTransitions is the transition table of an Agent. An input without a row is ignored
// in that state.
var agentTransitions = [agentStateCount][agentInputCount]*agentTransition{
	AgentWaiting: {
		AgentInputServe: agentToWithTimeout(lockTimeout, AgentAcquiring),
		AgentInputEnd:   agentTo(AgentEnding, AgentEffectDrain),
		// This process has never served; its predecessor serves.
		AgentInputSupervisorLost: agentTo(AgentEnding, AgentEffectDrain),
	},
	AgentAcquiring: {
		AgentInputLockAcquired: agentTo(AgentOnTrial, AgentEffectAccept, AgentEffectReportAccepting),
		// Another process holds the lock.
		AgentInputTimeout: agentTo(AgentWaiting, AgentEffectReportDenied),
		AgentInputEnd:     agentTo(AgentEnding, AgentEffectDrain),
		// The predecessor acquires the lock again on its own.
		AgentInputSupervisorLost: agentTo(AgentEnding, AgentEffectDrain),
	},
	AgentOnTrial: {
		AgentInputSettle: agentTo(AgentServing, AgentEffectReportSettled),
		AgentInputEnd:    agentTo(AgentEnding, AgentEffectStop, AgentEffectDrain),
		// Without a supervisor the trial cannot end: the predecessor, if alive, is to
		// serve instead.
		AgentInputSupervisorLost: agentToWithTimeout(yieldTimeout, AgentYielding, AgentEffectStop),
	},
	AgentServing: {
		AgentInputQuiesce: agentToWithTimeout(quiescedTimeout, AgentQuiesced, AgentEffectStop, AgentEffectReportReleased),
		AgentInputSettle:  agentTo(AgentServing, AgentEffectReportSettled),
		// A new supervisor commands a process that already serves.
		AgentInputResume: agentTo(AgentServing, AgentEffectReportAccepting),
		AgentInputEnd:    agentTo(AgentEnding, AgentEffectDrain),
	},
	AgentQuiesced: {
		AgentInputSuccessorServes: agentTo(AgentStandby),
		AgentInputResume:          agentTo(AgentReacquiring),
		// No message confirms that a successor serves: serve again, if the lock is free.
		AgentInputTimeout:        agentTo(AgentReacquiring),
		AgentInputSupervisorLost: agentTo(AgentReacquiring),
		AgentInputEnd:            agentTo(AgentEnding, AgentEffectDrain),
	},
	AgentStandby: {
		AgentInputResume: agentTo(AgentReacquiring),
		// A successor on trial yields the lock; a settled one keeps it.
		AgentInputSupervisorLost: agentTo(AgentReacquiring),
		AgentInputEnd:            agentTo(AgentEnding, AgentEffectDrain),
	},
	AgentReacquiring: {
		AgentInputLockAcquired:    agentTo(AgentServing, AgentEffectAccept, AgentEffectReportAccepting),
		AgentInputSuccessorServes: agentTo(AgentStandby),
		AgentInputResume:          agentTo(AgentReacquiring),
		AgentInputEnd:             agentTo(AgentEnding, AgentEffectDrain),
	},
	AgentYielding: {
		// The predecessor had yieldTimeout to acquire the lock: serve again, if it is free.
		AgentInputTimeout: agentTo(AgentReacquiring),
		AgentInputResume:  agentTo(AgentReacquiring),
		AgentInputServe:   agentToWithTimeout(lockTimeout, AgentAcquiring),
		AgentInputEnd:     agentTo(AgentEnding, AgentEffectDrain),
	},
	AgentEnding: {},
}

// Agent is the state machine of a router process. It is used by one goroutine.
type Agent struct {
	State AgentState

	deadline int64 // of State; 0: none
	settled  bool  // see Settled
}

// NewAgent returns an Agent in AgentWaiting.
func NewAgent() *Agent { return &Agent{} }

// Settled reports whether the process has been notified that its trial is over, or
// that it needs none.
func (a *Agent) Settled() bool { return a.settled }

// DueMicros returns the time at which Tick is due; 0: never.
func (a *Agent) DueMicros() int64 { return a.deadline }

// Tick handles AgentInputTimeout once the deadline of the state has passed.
func (a *Agent) Tick(now int64) []AgentEffect {
	if a.deadline == 0 || now < a.deadline {
		return nil
	}
	return a.Handle(now, AgentInputTimeout)
}

// Handle processes an input and returns the effects to carry out, in order. A lock that is
// acquired in a state that does not need it is released again.
func (a *Agent) Handle(now int64, input AgentInput) []AgentEffect {
	row := agentTransitions[a.State][input]
	if row == nil {
		if input == AgentInputLockAcquired {
			return []AgentEffect{AgentEffectReleaseLock}
		}
		return nil
	}
	if input == AgentInputSettle {
		a.settled = true
	}
	a.State = row.next
	a.deadline = 0
	if row.timeout > 0 {
		a.deadline = now + row.timeout
	}
	return row.effects
}
