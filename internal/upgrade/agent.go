package upgrade

// Timeouts of a router process, in microseconds.
const (
	// lockTimeout is how long a successor tries to get the serving lock. The
	// predecessor releases it before it says so: the lock is free at once unless the
	// predecessor resumed.
	lockTimeout = 300 * millisecond
	// quiescedTimeout is how long a quiesced process waits to hear from its supervisor,
	// which may be stopped. It must be longer than two of the supervisor's commandTimeout.
	quiescedTimeout = 1500 * millisecond
	// yieldTimeout is how long a process on trial without a supervisor lets its
	// predecessor take the lock.
	yieldTimeout = 500 * millisecond
)

// agentTransition is what an Agent does on an input.
type agentTransition struct {
	next    AgentState
	timeout int64 // of the next state, in microseconds; 0: none
	effects []AgentEffect
}

func agentTo(next AgentState, effects ...AgentEffect) *agentTransition {
	return &agentTransition{next: next, effects: effects}
}

func agentToFor(timeout int64, next AgentState, effects ...AgentEffect) *agentTransition {
	return &agentTransition{next: next, timeout: timeout, effects: effects}
}

// agentTransitions is the table of a router process. An input without a row is ignored
// in that state.
var agentTransitions = [agentStateCount][agentInputCount]*agentTransition{
	AgentWaiting: {
		AgentInputServe: agentToFor(lockTimeout, AgentAcquiring),
		AgentInputEnd:   agentTo(AgentEnding, AgentEffectDrain),
		// It never served: its predecessor does.
		AgentInputSupervisorLost: agentTo(AgentEnding, AgentEffectDrain),
	},
	AgentAcquiring: {
		AgentInputLockAcquired: agentTo(AgentOnTrial, AgentEffectAccept, AgentEffectReportAccepting),
		// Another process holds the lock.
		AgentInputTimeout: agentTo(AgentWaiting, AgentEffectReportDenied),
		AgentInputEnd:     agentTo(AgentEnding, AgentEffectDrain),
		// The predecessor takes the lock back by itself.
		AgentInputSupervisorLost: agentTo(AgentEnding, AgentEffectDrain),
	},
	AgentOnTrial: {
		AgentInputSettle: agentTo(AgentServing, AgentEffectReportSettled),
		AgentInputEnd:    agentTo(AgentEnding, AgentEffectStop, AgentEffectDrain),
		// Nobody can end the trial: the predecessor is preferred, if it is alive.
		AgentInputSupervisorLost: agentToFor(yieldTimeout, AgentYielding, AgentEffectStop),
	},
	AgentServing: {
		AgentInputQuiesce: agentToFor(quiescedTimeout, AgentQuiesced, AgentEffectStop, AgentEffectReportReleased),
		AgentInputSettle:  agentTo(AgentServing, AgentEffectReportSettled),
		// A new supervisor asks a process that already serves.
		AgentInputResume: agentTo(AgentServing, AgentEffectReportAccepting),
		AgentInputEnd:    agentTo(AgentEnding, AgentEffectDrain),
	},
	AgentQuiesced: {
		AgentInputSuccessorServes: agentTo(AgentStandby),
		AgentInputResume:          agentTo(AgentReacquiring),
		// Nobody says that a successor serves: serve again, if the lock is free.
		AgentInputTimeout:        agentTo(AgentReacquiring),
		AgentInputSupervisorLost: agentTo(AgentReacquiring),
		AgentInputEnd:            agentTo(AgentEnding, AgentEffectDrain),
	},
	AgentStandby: {
		AgentInputResume: agentTo(AgentReacquiring),
		// The successor yields if it is on trial, and holds the lock if it is settled.
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
		// The predecessor has had its time; serve again, if the lock is free.
		AgentInputTimeout: agentTo(AgentReacquiring),
		AgentInputResume:  agentTo(AgentReacquiring),
		AgentInputServe:   agentToFor(lockTimeout, AgentAcquiring),
		AgentInputEnd:     agentTo(AgentEnding, AgentEffectDrain),
	},
	AgentEnding: {},
}

// Agent is the state machine of a router process. It is used by one goroutine.
type Agent struct {
	State AgentState

	deadline int64 // of State; 0: none
	settled  bool
}

// NewAgent returns an Agent in AgentWaiting.
func NewAgent() *Agent { return &Agent{} }

// Settled reports whether the process has been notified that its trial is over, or
// that it needs none.
func (a *Agent) Settled() bool { return a.settled }

// DueMicros is when Tick is to be called; 0: not at all.
func (a *Agent) DueMicros() int64 { return a.deadline }

// Tick handles AgentInputTimeout once the deadline of the state has passed.
func (a *Agent) Tick(now int64) []AgentEffect {
	if a.deadline == 0 || now < a.deadline {
		return nil
	}
	return a.Handle(now, AgentInputTimeout)
}

// Handle takes an input and returns the effects to carry out, in order. A lock that is
// acquired in a state that has no use for it is released again.
func (a *Agent) Handle(now int64, in AgentInput) []AgentEffect {
	t := agentTransitions[a.State][in]
	if t == nil {
		if in == AgentInputLockAcquired {
			return []AgentEffect{AgentEffectReleaseLock}
		}
		return nil
	}
	if in == AgentInputSettle {
		a.settled = true
	}
	a.State = t.next
	a.deadline = 0
	if t.timeout > 0 {
		a.deadline = now + t.timeout
	}
	return t.effects
}
