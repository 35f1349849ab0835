package upgrade

import "fmt"

// State is a state of the supervisor's Machine. In the names of this package, old is the
// settled generation, and new is the generation that may replace it.
type State uint8

// States of the supervisor. Their names are part of the status report: StateQuiescing is
// "quieting", the others are named like their constants.
const (
	StateDown        State = iota // no process serves; the settled generation is started at the deadline
	StateStarting                 // the settled generation's process starts, until it serves
	StateSteady                   // the settled generation serves and no change is in progress
	StateChecking                 // the new program validates the new settings
	StateWarming                  // the new process starts and gets ready; the old one serves
	StateQuiescing                // the old process stops accepting and hands over its state
	StateHandingOver              // the new process acquires the serving lock
	StateOnTrial                  // the new process serves, the old one is on standby
	StateSettling                 // the new process is notified that its trial is over
	StateWriting                  // the new generation is recorded in the state file
	StateFallingBack              // the old process acquires the serving lock again
	StateStopping                 // all processes drain and end
	StateStopped                  // all processes have ended
	stateCount
)

var stateNames = [stateCount]string{
	"down", "starting", "steady", "checking", "warming", "quieting", "handing over", "on trial", "settling",
	"writing", "falling back", "stopping", "stopped",
}

// String returns the state's name in reports and logs.
func (s State) String() string { return nameOf(stateNames[:], int(s), "state") }

// Input is an event that the supervisor's Machine reacts to.
type Input uint8

// Inputs of the supervisor's Machine.
const (
	InputApply        Input = iota // a change is requested
	InputChecked                   // the new settings can be applied, the machine has capacity for both
	InputRejected                  // they can't be applied, or the machine lacks capacity for both
	InputOldReady                  // the old process is ready to serve
	InputNewReady                  // the new process is ready to serve
	InputReleased                  // the old process has handed over its state and the lock
	InputOldServes                 // the old process accepts clients
	InputNewServes                 // the new process accepts clients
	InputDenied                    // the new process did not get the serving lock
	InputSettled                   // the new process has confirmed that its trial is over
	InputWritten                   // the state file records the new generation as settled
	InputWriteFailed               // the state file could not be written
	InputOldEnded                  // the old process has ended
	InputNewEnded                  // the new process has ended
	InputOldHung                   // the old process sends no heartbeats
	InputNewUnhealthy              // the new process sends no heartbeats, or exceeds its budget
	InputTrialFailed               // the new process fails more requests than the old one, or violates an invariant
	InputCancel                    // an operator or a rollout cancels the change
	InputTimeout                   // the deadline of the state has passed
	InputShutdown                  // the supervisor is to shut down
	InputAllEnded                  // all processes have ended
	inputCount
)

var inputNames = [inputCount]string{
	"apply", "checked", "rejected", "old ready", "new ready", "released", "old serves", "new serves", "denied",
	"settled", "written", "write failed", "old gone", "new gone", "old hung", "new hung", "worse", "cancel",
	"timeout", "shutdown", "all gone",
}

// String returns the input's name in logs.
func (i Input) String() string { return nameOf(inputNames[:], int(i), "input") }

// Effect is an action that the supervisor carries out for its Machine.
type Effect uint8

// Effects of the supervisor's Machine, carried out in the order given.
const (
	EffectCheck              Effect = 1 + iota // let the new program validate the new settings; check the capacity
	EffectStartOld                             // start the settled generation's process without handed-over state
	EffectStartNew                             // start the new generation's process
	EffectServeOld                             // command the old process to serve, without handed-over state
	EffectServeNew                             // command the new process to serve with the old one's state
	EffectQuiesceOld                           // command the old process to stop accepting and hand over its state
	EffectStandbyOld                           // notify the old process that its successor serves
	EffectResumeOld                            // command the old process to serve again
	EffectSettleNew                            // notify the new process that its trial is over
	EffectSettleOld                            // notify the old process that it needs no trial
	EffectEndNew                               // command the new process to drain and end; kill it if it does not end in time
	EffectKillNew                              // kill the new process
	EffectKillOld                              // kill the old process
	EffectRecordSettled                        // record the new generation as settled in the state file
	EffectPromote                              // make the new process the old one; command its predecessor to drain and end
	EffectEndAll                               // command all processes to drain and end
	EffectReportRejected                       // report: rejected, nothing has changed
	EffectReportFellBack                       // report: the change failed, the old generation stays settled
	EffectReportDone                           // report: the new generation is settled
	EffectReportNotPersisted                   // report: settled, but a cold start begins with the old generation
	effectEnd
)

var effectNames = [effectEnd]string{
	"none", "check", "start old", "start new", "serve old", "serve new", "quiesce old", "standby old", "resume old",
	"settle new", "settle old", "end new", "kill new", "kill old", "write", "promote", "end all", "report rejected",
	"report fell back", "report done", "report not persisted",
}

// String returns the effect's name in logs.
func (e Effect) String() string { return nameOf(effectNames[:], int(e), "effect") }

// nameOf returns the name of an enumeration's value; out of range, the kind of the
// enumeration with the number.
func nameOf(names []string, value int, kind string) string {
	if value < 0 || value >= len(names) {
		return fmt.Sprintf("%s(%d)", kind, value)
	}
	return names[value]
}
