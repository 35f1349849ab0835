package upgrade

// AgentState is a state of a router process's Agent. Its number is sent to the supervisor.
type AgentState uint8

// States of a router process. Their names are part of the status report: waiting, taking
// (AgentAcquiring), trial, serving, quiet (AgentQuiesced), standby, retaking
// (AgentReacquiring), yielding and ending.
const (
	AgentWaiting     AgentState = iota // not yet commanded to serve
	AgentAcquiring                     // commanded to serve, tries to acquire the serving lock
	AgentOnTrial                       // serves, and its predecessor is on standby
	AgentServing                       // serves as the settled generation
	AgentQuiesced                      // accepts no new connections; it is unknown whether a successor serves
	AgentStandby                       // its successor serves
	AgentReacquiring                   // tries to acquire the serving lock again
	AgentYielding                      // on trial, lost its supervisor: leaves the lock to its predecessor
	AgentEnding                        // answers its open requests, then ends
	agentStateCount
)

var agentStateNames = [agentStateCount]string{
	"waiting", "taking", "trial", "serving", "quiet", "standby", "retaking", "yielding", "ending",
}

// String returns the state's name in reports and logs. A state unknown to this program,
// which a newer process may send, has the name of the last state.
func (s AgentState) String() string { return agentStateNames[min(s, agentStateCount-1)] }

// Accepts reports whether the process accepts clients, which implies that it holds the
// serving lock.
func (s AgentState) Accepts() bool { return s == AgentOnTrial || s == AgentServing }

// WantsLock reports whether the process tries to acquire the serving lock.
func (s AgentState) WantsLock() bool { return s == AgentAcquiring || s == AgentReacquiring }

// AgentInput is a command of the supervisor, or an event in the process itself.
type AgentInput uint8

// Inputs of an Agent.
const (
	AgentInputServe           AgentInput = iota // command: replace the predecessor and serve
	AgentInputQuiesce                           // command: accept no new connections, hand over
	AgentInputSuccessorServes                   // notification: the successor serves
	AgentInputSettle                            // notification: the trial is over
	AgentInputResume                            // command: serve again
	AgentInputEnd                               // command: answer the open requests, then end
	AgentInputSupervisorLost                    // the connection to the supervisor has ended
	AgentInputLockAcquired                      // the process has acquired the serving lock
	AgentInputTimeout                           // the deadline of the state has passed
	agentInputCount
)

var agentInputNames = [agentInputCount]string{
	"serve", "quiesce", "successor serves", "settle", "resume", "end", "supervisor lost", "lock acquired", "timeout",
}

// String returns the input's name in logs.
func (i AgentInput) String() string { return nameOf(agentInputNames[:], int(i), "agent input") }

// AgentEffect is an action that a router process carries out for its Agent.
type AgentEffect uint8

// Effects of an Agent, carried out in the order given.
const (
	AgentEffectAccept          AgentEffect = 1 + iota // acquire the resources that only one process may own, and accept clients
	AgentEffectStop                                   // accept no new connections, release these resources, then the lock
	AgentEffectReportReleased                         // report: lock released, with the state to hand over
	AgentEffectReportAccepting                        // report: the process serves
	AgentEffectReportDenied                           // report: the serving lock was not free in time
	AgentEffectReportSettled                          // report: it confirms that its trial is over
	AgentEffectReleaseLock                            // release a lock that was acquired when no longer needed
	AgentEffectDrain                                  // answer the open requests, then end
	agentEffectEnd
)

var agentEffectNames = [agentEffectEnd]string{
	"none", "accept", "stop", "report released", "report accepting", "report denied", "report settled",
	"release lock", "drain",
}

// String returns the effect's name in logs.
func (e AgentEffect) String() string { return nameOf(agentEffectNames[:], int(e), "agent effect") }
