package upgrade

// AgentState is a state of a router process's Agent. Its value goes over the wire to
// the supervisor.
type AgentState uint8

// States of a router process. Their names are part of the status report: waiting, taking
// (AgentAcquiring), trial, serving, quiet (AgentQuiesced), standby, retaking
// (AgentReacquiring), yielding and ending.
const (
	AgentWaiting     AgentState = iota // not yet commanded to serve
	AgentAcquiring                     // commanded to serve, tries to get the serving lock
	AgentOnTrial                       // serves, and its predecessor is on standby
	AgentServing                       // serves as the settled generation
	AgentQuiesced                      // accepts nothing new; whether a successor serves is not known
	AgentStandby                       // its successor serves
	AgentReacquiring                   // tries to get the serving lock back
	AgentYielding                      // on trial, lost its supervisor: its predecessor may take the lock
	AgentEnding                        // answers its open requests, then ends
	agentStateCount
)

var agentStateNames = [agentStateCount]string{
	"waiting", "taking", "trial", "serving", "quiet", "standby", "retaking", "yielding", "ending",
}

// String also takes a state that a newer process has sent: it prints as the last one.
func (s AgentState) String() string { return agentStateNames[min(s, agentStateCount-1)] }

// Accepts reports whether the process accepts clients. It holds the serving lock then.
func (s AgentState) Accepts() bool { return s == AgentOnTrial || s == AgentServing }

// WantsLock reports whether the process tries to get the serving lock.
func (s AgentState) WantsLock() bool { return s == AgentAcquiring || s == AgentReacquiring }

// AgentInput is a command of the supervisor, or an event in the process itself.
type AgentInput uint8

// Inputs of an Agent.
const (
	AgentInputServe           AgentInput = iota // command: serve in the predecessor's place
	AgentInputQuiesce                           // command: accept nothing new, hand over
	AgentInputSuccessorServes                   // notification: the successor serves
	AgentInputSettle                            // notification: the trial is over
	AgentInputResume                            // command: serve again
	AgentInputEnd                               // command: answer the open requests, then end
	AgentInputSupervisorLost                    // the connection to the supervisor has ended
	AgentInputLockAcquired                      // the process has got the serving lock
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
	AgentEffectAccept          AgentEffect = 1 + iota // acquire what one process owns, and accept clients
	AgentEffectStop                                   // accept nothing more, release what it owns, then the lock
	AgentEffectReportReleased                         // report: released, with the state to hand over
	AgentEffectReportAccepting                        // report: it serves
	AgentEffectReportDenied                           // report: the serving lock was not free in time
	AgentEffectReportSettled                          // report: it knows that its trial is over
	AgentEffectReleaseLock                            // release the lock, which came when it was not wanted any more
	AgentEffectDrain                                  // answer the open requests, then end
	agentEffectEnd
)

var agentEffectNames = [agentEffectEnd]string{
	"none", "accept", "stop", "report released", "report accepting", "report denied", "report settled",
	"release lock", "drain",
}

// String returns the effect's name in logs.
func (e AgentEffect) String() string { return nameOf(agentEffectNames[:], int(e), "agent effect") }
