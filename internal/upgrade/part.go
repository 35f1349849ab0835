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

// PartState is what a generation does.
type PartState uint8

// States of a generation.
const (
	Waiting  PartState = iota // it has not been told to serve yet
	Taking                    // it has, and waits for the place
	Trial                     // it serves, and its predecessor stands by
	Serving                   //
	Quiet                     // takes nothing new; nobody has said that its successor serves
	Standby                   // its successor serves
	Retaking                  // wants its place back
	Yielding                  // on trial without a keeper: the predecessor may take the place
	Ending                    // answers what it has, then ends
	partStates
)

var partNames = [partStates]string{"waiting", "taking", "trial", "serving", "quiet", "standby", "retaking", "yielding", "ending"}

func (s PartState) String() string { return partNames[min(s, partStates-1)] }

// Accepts tells the states in which clients are accepted: those that hold the place.
func (s PartState) Accepts() bool { return s == Trial || s == Serving }

// Wants tells the states that try to get the place.
func (s PartState) Wants() bool { return s == Taking || s == Retaking }

// PartInput is what a generation is told, or finds.
type PartInput uint8

// Inputs of a generation.
const (
	ToOwn    PartInput = iota // the keeper: serve, in the predecessor's place
	ToQuiet                   // take nothing new, hand over
	ToTaken                   // the successor serves
	ToSettle                  // the trial is over
	ToResume                  // serve again
	ToEnd                     // answer what there is, then end
	Lost                      // the keeper has gone
	Free                      // it has got the place
	Due                       // its time is over
	partInputs
)

// PartEffect is what a generation does on the way.
type PartEffect uint8

// Effects of a generation, done in order.
const (
	Accept        PartEffect = 1 + iota // own what one generation owns, and accept clients
	Stop                                // accept nothing more, let go what it owns, then the place
	TellReleased                        // with all that was learned
	TellAccepting                       //
	TellDenied                          // the place was not free in time
	TellSettled                         //
	LetGo                               // give the place up again, if it has just come
	Drain                               // answer what there is, then end
)

type partRow struct {
	next    PartState
	effects []PartEffect
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
	Waiting: {
		ToOwn: {Taking, nil, takeWithin}, ToEnd: {Ending, []PartEffect{Drain}, 0}, Lost: {Ending, []PartEffect{Drain}, 0}},
	Taking: {
		Free: {Trial, []PartEffect{Accept, TellAccepting}, 0}, Due: {Waiting, []PartEffect{TellDenied}, 0},
		ToEnd: {Ending, []PartEffect{Drain}, 0}, Lost: {Ending, []PartEffect{Drain}, 0}},
	Trial: {
		ToSettle: {Serving, []PartEffect{TellSettled}, 0}, ToEnd: {Ending, []PartEffect{Stop, Drain}, 0},
		Lost: {Yielding, []PartEffect{Stop}, yieldFor}},
	Serving: {
		ToQuiet: {Quiet, []PartEffect{Stop, TellReleased}, patience}, ToSettle: {Serving, []PartEffect{TellSettled}, 0},
		ToResume: {Serving, []PartEffect{TellAccepting}, 0}, ToEnd: {Ending, []PartEffect{Drain}, 0}},
	Quiet: {
		ToTaken: {Standby, nil, 0}, ToResume: {Retaking, nil, 0}, Due: {Retaking, nil, 0}, Lost: {Retaking, nil, 0},
		ToEnd: {Ending, []PartEffect{Drain}, 0}},
	Standby: {
		ToResume: {Retaking, nil, 0}, Lost: {Retaking, nil, 0}, ToEnd: {Ending, []PartEffect{Drain}, 0}},
	Retaking: {
		Free: {Serving, []PartEffect{Accept, TellAccepting}, 0}, ToTaken: {Standby, nil, 0}, ToResume: {Retaking, nil, 0},
		ToEnd: {Ending, []PartEffect{Drain}, 0}},
	Yielding: {
		Due: {Retaking, nil, 0}, ToResume: {Retaking, nil, 0}, ToOwn: {Taking, nil, takeWithin}, ToEnd: {Ending, []PartEffect{Drain}, 0}},
	Ending: {},
}

// Part is a generation's side.
type Part struct {
	State   PartState
	due     int64 // 0: none
	settled bool  // it was told so, or needs no trial
}

// NewPart begins as one that waits to be told.
func NewPart() *Part { return &Part{} }

// Settled tells whether it has been told that its trial is over.
func (p *Part) Settled() bool { return p.settled }

// Due is when Tick wants to be called; 0: not at all.
func (p *Part) Due() int64 { return p.due }

// Tick tells the time.
func (p *Part) Tick(now int64) []PartEffect {
	if p.due == 0 || now < p.due {
		return nil
	}
	return p.Handle(now, Due)
}

// Handle takes an input. One that means nothing in its state changes nothing; a
// place that comes when it is not wanted is given up.
func (p *Part) Handle(now int64, in PartInput) []PartEffect {
	row := partTable[p.State][in]
	if row == nil {
		if in == Free {
			return []PartEffect{LetGo}
		}
		return nil
	}
	if in == ToSettle {
		p.settled = true
	}
	p.State, p.due = row.next, 0
	if row.within > 0 {
		p.due = now + row.within
	}
	return row.effects
}

func (e PartEffect) String() string {
	return fmt.Sprint([...]string{"", "accept", "stop", "tell released", "tell accepting", "tell denied", "tell settled", "let go", "drain"}[e])
}
