// Package upgrade decides how one generation of a router's program and settings
// takes the place of another on one machine: what the keeper does (keeper.go), what
// a generation does (part.go), whether a new one does worse (judge.go), whether there
// is room for two (room.go), and which settings change how (diff.go). It does no I/O
// and has no clock of its own; times are whole microseconds of a steady one.
//
// Whoever accepts clients holds the place, a lock that the system gives to one
// process at a time and takes back when that process ends. So two never accept,
// whatever either believes. docs/change.md tells the rest.
package upgrade

import "fmt"

// AgentState is what a generation does.
type AgentState uint8

// States of a generation.
const (
	AgentWaiting     AgentState = iota // it has not been told to serve yet
	AgentAcquiring                     // it has, and waits for the place
	AgentOnTrial                       // it serves, and its predecessor stands by
	AgentServing                       //
	AgentQuiesced                      // takes nothing new; nobody has said that its successor serves
	AgentStandby                       // its successor serves
	AgentReacquiring                   // wants its place back
	AgentYielding                      // on trial without a keeper: the predecessor may take the place
	AgentEnding                        // answers what it has, then ends
	partStates
)

var partNames = [partStates]string{"waiting", "taking", "trial", "serving", "quiet", "standby", "retaking", "yielding", "ending"}

func (s AgentState) String() string { return partNames[min(s, partStates-1)] }

// Accepts tells the states in which clients are accepted: those that hold the place.
func (s AgentState) Accepts() bool { return s == AgentOnTrial || s == AgentServing }

// WantsLock tells the states that try to get the place.
func (s AgentState) WantsLock() bool { return s == AgentAcquiring || s == AgentReacquiring }

// AgentInput is what a generation is told, or finds.
type AgentInput uint8

// Inputs of a generation.
const (
	AgentInputServe           AgentInput = iota // the keeper: serve, in the predecessor's place
	AgentInputQuiesce                           // take nothing new, hand over
	AgentInputSuccessorServes                   // the successor serves
	AgentInputSettle                            // the trial is over
	AgentInputResume                            // serve again
	AgentInputEnd                               // answer what there is, then end
	AgentInputSupervisorLost                    // the keeper has gone
	AgentInputLockAcquired                      // it has got the place
	AgentInputTimeout                           // its time is over
	partInputs
)

// AgentEffect is what a generation does on the way.
type AgentEffect uint8

// Effects of a generation, done in order.
const (
	AgentEffectAccept          AgentEffect = 1 + iota // own what one generation owns, and accept clients
	AgentEffectStop                                   // accept nothing more, let go what it owns, then the place
	AgentEffectReportReleased                         // with all that was learned
	AgentEffectReportAccepting                        //
	AgentEffectReportDenied                           // the place was not free in time
	AgentEffectReportSettled                          //
	AgentEffectReleaseLock                            // give the place up again, if it has just come
	AgentEffectDrain                                  // answer what there is, then end
)

type partRow struct {
	next    AgentState
	effects []AgentEffect
	within  int64 // until Due; 0: no time is set
}

const (
	ms     = int64(1000)
	second = 1000 * ms

	// takeWithin is how long a successor waits for its place: the predecessor lets it
	// go before it says so, so that it is free at once unless that one came back.
	takeWithin = 300 * ms
	// patience of a generation that is quiet: the keeper may be stopped. Longer than
	// the keeper waits for either of the two.
	patience = 1500 * ms
	// yieldFor is how long a predecessor has to come back, where the keeper has gone.
	yieldFor = 500 * ms
)

var partTable = [partStates][partInputs]*partRow{
	AgentWaiting: {
		AgentInputServe: {AgentAcquiring, nil, takeWithin}, AgentInputEnd: {AgentEnding, []AgentEffect{AgentEffectDrain}, 0}, AgentInputSupervisorLost: {AgentEnding, []AgentEffect{AgentEffectDrain}, 0},
	},
	AgentAcquiring: {
		AgentInputLockAcquired: {AgentOnTrial, []AgentEffect{AgentEffectAccept, AgentEffectReportAccepting}, 0}, AgentInputTimeout: {AgentWaiting, []AgentEffect{AgentEffectReportDenied}, 0},
		AgentInputEnd: {AgentEnding, []AgentEffect{AgentEffectDrain}, 0}, AgentInputSupervisorLost: {AgentEnding, []AgentEffect{AgentEffectDrain}, 0},
	},
	AgentOnTrial: {
		AgentInputSettle: {AgentServing, []AgentEffect{AgentEffectReportSettled}, 0}, AgentInputEnd: {AgentEnding, []AgentEffect{AgentEffectStop, AgentEffectDrain}, 0},
		AgentInputSupervisorLost: {AgentYielding, []AgentEffect{AgentEffectStop}, yieldFor},
	},
	AgentServing: {
		AgentInputQuiesce: {AgentQuiesced, []AgentEffect{AgentEffectStop, AgentEffectReportReleased}, patience}, AgentInputSettle: {AgentServing, []AgentEffect{AgentEffectReportSettled}, 0},
		AgentInputResume: {AgentServing, []AgentEffect{AgentEffectReportAccepting}, 0}, AgentInputEnd: {AgentEnding, []AgentEffect{AgentEffectDrain}, 0},
	},
	AgentQuiesced: {
		AgentInputSuccessorServes: {AgentStandby, nil, 0}, AgentInputResume: {AgentReacquiring, nil, 0}, AgentInputTimeout: {AgentReacquiring, nil, 0}, AgentInputSupervisorLost: {AgentReacquiring, nil, 0},
		AgentInputEnd: {AgentEnding, []AgentEffect{AgentEffectDrain}, 0},
	},
	AgentStandby: {
		AgentInputResume: {AgentReacquiring, nil, 0}, AgentInputSupervisorLost: {AgentReacquiring, nil, 0}, AgentInputEnd: {AgentEnding, []AgentEffect{AgentEffectDrain}, 0},
	},
	AgentReacquiring: {
		AgentInputLockAcquired: {AgentServing, []AgentEffect{AgentEffectAccept, AgentEffectReportAccepting}, 0}, AgentInputSuccessorServes: {AgentStandby, nil, 0}, AgentInputResume: {AgentReacquiring, nil, 0},
		AgentInputEnd: {AgentEnding, []AgentEffect{AgentEffectDrain}, 0},
	},
	AgentYielding: {
		AgentInputTimeout: {AgentReacquiring, nil, 0}, AgentInputResume: {AgentReacquiring, nil, 0}, AgentInputServe: {AgentAcquiring, nil, takeWithin}, AgentInputEnd: {AgentEnding, []AgentEffect{AgentEffectDrain}, 0},
	},
	AgentEnding: {},
}

// Agent is a generation's side.
type Agent struct {
	State   AgentState
	due     int64 // 0: none
	settled bool  // it was told so, or needs no trial
}

// NewAgent begins as one that waits to be told.
func NewAgent() *Agent { return &Agent{} }

// Settled tells whether it has been told that its trial is over.
func (p *Agent) Settled() bool { return p.settled }

// DueMicros is when Tick wants to be called; 0: not at all.
func (p *Agent) DueMicros() int64 { return p.due }

// Tick tells the time.
func (p *Agent) Tick(now int64) []AgentEffect {
	if p.due == 0 || now < p.due {
		return nil
	}
	return p.Handle(now, AgentInputTimeout)
}

// Handle takes an input. One that means nothing in its state changes nothing; a
// place that comes when it is not wanted is given up.
func (p *Agent) Handle(now int64, in AgentInput) []AgentEffect {
	row := partTable[p.State][in]
	if row == nil {
		if in == AgentInputLockAcquired {
			return []AgentEffect{AgentEffectReleaseLock}
		}
		return nil
	}
	if in == AgentInputSettle {
		p.settled = true
	}
	p.State, p.due = row.next, 0
	if row.within > 0 {
		p.due = now + row.within
	}
	return row.effects
}

func (e AgentEffect) String() string {
	return fmt.Sprint([...]string{"", "accept", "stop", "tell released", "tell accepting", "tell denied", "tell settled", "let go", "drain"}[e])
}
