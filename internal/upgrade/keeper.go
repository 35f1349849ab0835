package upgrade

// State is where a change stands. In most of them the old generation serves.
type State uint8

// States of the keeper's machine.
const (
	StateDown        State = iota // nobody serves; the settled generation is started when it is due
	StateStarting                 // it is started
	StateSteady                   // it serves, and no change is under way
	StateChecking                 // prepared: the new one's program reads the new one's settings
	StateWarming                  // checked: the new one is started, and gets ready
	StateQuiescing                // ready: the old one hands over
	StateHandingOver              // taking over: the new one takes the place
	StateOnTrial                  // the new one serves, the old one stands by
	StateSettling                 // the new one is told that it is settled
	StateWriting                  // that is put into the file
	StateFallingBack              // falling back: the old one takes its place again
	StateStopping                 // all end
	StateStopped
	states
)

var stateNames = [states]string{
	"down", "starting", "steady", "checking", "warming", "quieting", "handing over", "on trial", "settling",
	"writing", "falling back", "stopping", "stopped",
}

func (s State) String() string { return stateNames[min(s, states-1)] }

// Input is what the keeper hears.
type Input uint8

// Inputs of the keeper's machine. Old is the generation that is settled, new the
// one that may take its place.
const (
	InputApply       Input = iota // the operator asks for a change
	InputChecked                  // the new one's settings are good, and there is room
	InputRejected                 // they are not, or there is none
	InputOldReady                 // started, and ready to serve
	InputNewReady                 //
	InputReleased                 // the old one has handed over
	InputOldServes                //
	InputNewServes                //
	InputDenied                   // the new one did not get the place
	InputSettled                  // the new one knows that it is
	InputWritten                  // it is in the file
	InputWriteFailed              // the file could not be written
	InputOldGone                  // its process has ended
	InputNewGone                  //
	InputOldHung                  // it says nothing any more
	InputNewHung                  // that, or it uses more than its part of the machine
	InputWorse                    // it answers worse than the old one did
	InputCancel                   // the operator, or a peer, wants the old one back
	InputTimeout                  // what the state waits for did not come
	InputShutdown                 // everything ends
	InputAllGone                  // all processes have ended
	inputs
)

// Effect is what the keeper does.
type Effect uint8

// Effects of the keeper's machine, done in order.
const (
	EffectCheck              Effect = 1 + iota // the new one's program reads its settings; is there room?
	EffectStartOld                             // from nothing
	EffectStartNew                             //
	EffectServeOld                             // tell it to serve, from nothing
	EffectServeNew                             // tell it to serve, with what the old one handed over
	EffectQuiesceOld                           //
	EffectStandbyOld                           // tell it that the new one serves
	EffectResumeOld                            //
	EffectSettleNew                            //
	EffectSettleOld                            // it needs no trial
	EffectEndNew                               // it answers what it has, and is killed if it does not end
	EffectKillNew                              //
	EffectKillOld                              //
	EffectWrite                                // that the new one is settled
	EffectPromote                              // the new one is the settled one now; the old one answers what it has and ends
	EffectEndAll                               //
	EffectReportRejected                       // nothing has changed
	EffectReportFellBack                       // the old one serves again
	EffectReportDone                           // the new one is settled
	EffectReportNotPersisted                   // it is, but not in the file: a cold start begins with the old one
)

type row struct {
	next    State
	effects []Effect
}

func to(next State, effects ...Effect) *row { return &row{next, effects} }

// table is read by Machine.Handle. What stands in no row means nothing there.
var table = [states][inputs]*row{
	StateDown: {InputTimeout: to(StateStarting, EffectStartOld), InputShutdown: to(StateStopping, EffectEndAll)},
	StateStarting: {
		InputOldReady: to(StateStarting, EffectServeOld), InputOldServes: to(StateSteady, EffectSettleOld), InputOldGone: to(StateDown), InputOldHung: to(StateDown, EffectKillOld), InputTimeout: to(StateDown, EffectKillOld),
		InputShutdown: to(StateStopping, EffectEndAll),
	},
	StateSteady: {
		InputApply: to(StateChecking, EffectCheck), InputOldGone: to(StateDown), InputOldHung: to(StateDown, EffectKillOld), InputShutdown: to(StateStopping, EffectEndAll),
	},
	StateChecking: {
		InputChecked: to(StateWarming, EffectStartNew), InputRejected: to(StateSteady, EffectReportRejected), InputTimeout: to(StateSteady, EffectReportRejected), InputCancel: to(StateSteady, EffectReportRejected),
		InputOldGone: to(StateDown, EffectReportRejected), InputOldHung: to(StateDown, EffectKillOld, EffectReportRejected), InputShutdown: to(StateStopping, EffectReportRejected, EffectEndAll),
	},
	StateWarming: {
		InputNewReady: to(StateQuiescing, EffectQuiesceOld), InputNewGone: to(StateSteady, EffectReportRejected), InputNewHung: to(StateSteady, EffectKillNew, EffectReportRejected),
		InputTimeout: to(StateSteady, EffectKillNew, EffectReportRejected), InputCancel: to(StateSteady, EffectKillNew, EffectReportRejected), InputOldGone: to(StateDown, EffectKillNew, EffectReportRejected),
		InputOldHung: to(StateDown, EffectKillNew, EffectKillOld, EffectReportRejected), InputShutdown: to(StateStopping, EffectReportRejected, EffectEndAll),
	},
	StateQuiescing: {
		InputReleased: to(StateHandingOver, EffectServeNew), InputOldServes: to(StateSteady, EffectKillNew, EffectReportFellBack), InputNewGone: to(StateFallingBack, EffectResumeOld),
		InputNewHung: to(StateFallingBack, EffectKillNew, EffectResumeOld), InputCancel: to(StateFallingBack, EffectKillNew, EffectResumeOld), InputTimeout: to(StateFallingBack, EffectKillNew, EffectResumeOld),
		InputOldHung: to(StateFallingBack, EffectKillNew, EffectResumeOld), InputOldGone: to(StateDown, EffectKillNew, EffectReportFellBack), InputShutdown: to(StateStopping, EffectReportFellBack, EffectEndAll),
	},
	StateHandingOver: {
		InputNewServes: to(StateOnTrial, EffectStandbyOld), InputOldServes: to(StateSteady, EffectKillNew, EffectReportFellBack), InputDenied: to(StateFallingBack, EffectKillNew, EffectResumeOld),
		InputNewGone: to(StateFallingBack, EffectResumeOld), InputNewHung: to(StateFallingBack, EffectKillNew, EffectResumeOld), InputCancel: to(StateFallingBack, EffectKillNew, EffectResumeOld),
		InputTimeout: to(StateFallingBack, EffectKillNew, EffectResumeOld), InputOldGone: to(StateDown, EffectKillNew, EffectReportFellBack), InputShutdown: to(StateStopping, EffectReportFellBack, EffectEndAll),
	},
	StateOnTrial: {
		InputTimeout: to(StateSettling, EffectSettleNew), InputNewGone: to(StateFallingBack, EffectResumeOld), InputNewHung: to(StateFallingBack, EffectKillNew, EffectResumeOld),
		InputWorse: to(StateFallingBack, EffectEndNew, EffectResumeOld), InputCancel: to(StateFallingBack, EffectEndNew, EffectResumeOld), InputOldServes: to(StateSteady, EffectKillNew, EffectReportFellBack),
		InputOldGone: to(StateOnTrial), InputShutdown: to(StateStopping, EffectReportFellBack, EffectEndAll),
	},
	StateSettling: {
		InputSettled: to(StateWriting, EffectWrite), InputNewGone: to(StateFallingBack, EffectResumeOld), InputNewHung: to(StateFallingBack, EffectKillNew, EffectResumeOld),
		InputTimeout: to(StateFallingBack, EffectKillNew, EffectResumeOld), InputOldServes: to(StateSteady, EffectKillNew, EffectReportFellBack), InputOldGone: to(StateSettling),
		InputShutdown: to(StateStopping, EffectReportFellBack, EffectEndAll),
	},
	StateWriting: {
		InputWritten: to(StateSteady, EffectPromote, EffectReportDone), InputWriteFailed: to(StateSteady, EffectPromote, EffectReportNotPersisted),
	},
	StateFallingBack: {
		InputOldServes: to(StateSteady, EffectEndNew, EffectReportFellBack), InputOldGone: to(StateDown, EffectKillNew, EffectReportFellBack), InputTimeout: to(StateDown, EffectKillNew, EffectKillOld, EffectReportFellBack),
		InputShutdown: to(StateStopping, EffectReportFellBack, EffectEndAll),
	},
	StateStopping: {InputAllGone: to(StateStopped)},
	StateStopped:  {},
}

// Timeouts that the keeper waits.
type Timeouts struct {
	ReadyMicros int64 // for a generation to get ready
	TrialMicros int64 // how long a new one must do well
	DrainMicros int64 // for a generation to answer what it has
}

const (
	// checkWithin is for a program to read its settings.
	checkWithin = 10 * second
	// answerWithin is for a generation to do what it is told: some system calls and a
	// copy of what was learned. Two of them are less than a generation's patience.
	answerWithin = 700 * ms
	// HangTimeoutMicros without a beat (one each 100 ms) a generation is taken for hung; one on
	// trial for a tenth of it, since there is another to take its place at once.
	HangTimeoutMicros      = 10 * second
	TrialHangTimeoutMicros = second
	// A generation that dies is started again after restFirst, doubling up to restMost;
	// one that served for steadyAfter begins anew.
	restFirst, restMost = 50 * ms, 5 * second
	steadyAfter         = 10 * second
)

// Machine is the keeper's side. One goroutine at a time.
type Machine struct {
	State State
	times Timeouts
	since int64
	due   int64 // 0: none
	gone  bool  // the old one's process has ended, in a state that goes on without it
	falls int   // starts of the settled one that did not last
	up    int64 // since when it serves
}

// NewMachine begins with nobody serving, and starts the settled generation at once.
func NewMachine(times Timeouts, now int64) *Machine {
	return &Machine{State: StateDown, times: times, since: now, due: now, up: now}
}

// NewAdoptedMachine begins with a settled generation that serves already; trial: with one that
// is not settled, whose predecessor has gone.
func NewAdoptedMachine(times Timeouts, now int64, trial bool) *Machine {
	m := &Machine{State: StateSteady, times: times, since: now, up: now}
	if trial {
		m.State, m.gone, m.due = StateOnTrial, true, now+times.TrialMicros
	}
	return m
}

// DueMicros is when Tick wants to be called; 0: not at all.
func (m *Machine) DueMicros() int64 { return m.due }

// SinceMicros is when the state began.
func (m *Machine) SinceMicros() int64 { return m.since }

// Busy tells whether a change is under way, so that no other one can begin.
func (m *Machine) Busy() bool { return m.State != StateSteady }

// Tick tells the time.
func (m *Machine) Tick(now int64) []Effect {
	if m.due == 0 || now < m.due {
		return nil
	}
	return m.Handle(now, InputTimeout)
}

// Paused says that the keeper itself stood still for so long: what it waits for had
// no chance to be heard meanwhile.
func (m *Machine) Paused(gap int64) {
	if m.due > 0 {
		m.due += gap
	}
}

// Handle takes an input and returns what is to be done, in order.
func (m *Machine) Handle(now int64, in Input) []Effect {
	r := table[m.State][in]
	if r == nil {
		return nil
	}
	effects := r.effects
	next := r.next
	if in == InputOldGone {
		m.gone = true
	}
	if next == StateFallingBack && m.gone { // there is nobody to come back
		next = StateDown
		effects = append([]Effect{EffectKillNew}, EffectReportFellBack)
	}
	if next == m.State && in != InputOldReady { // only the old one's end is noted
		return effects
	}
	m.enter(now, next, in)
	return effects
}

func (m *Machine) enter(now int64, next State, in Input) {
	from := m.State
	m.State, m.since, m.due = next, now, 0
	switch next {
	case StateDown:
		// A change that failed with both gone is no fault of the settled generation.
		if from == StateStarting || from == StateSteady {
			if now-m.up >= steadyAfter {
				m.falls = 0
			}
			m.falls++
		}
		m.due = now
		if m.falls > 1 {
			m.due = now + min(restFirst<<min(m.falls-2, 16), restMost)
		}
	case StateStarting:
		m.due = now + m.times.ReadyMicros
	case StateSteady:
		if m.gone = false; from == StateStarting || from == StateFallingBack || from == StateWriting {
			m.up = now
		}
	case StateChecking:
		m.due = now + checkWithin
	case StateWarming:
		m.due = now + m.times.ReadyMicros
	case StateQuiescing, StateHandingOver, StateSettling:
		m.due = now + answerWithin
	case StateOnTrial:
		m.due = now + m.times.TrialMicros
	case StateFallingBack:
		m.due = now + answerWithin
		if in == InputWorse || in == InputCancel {
			m.due += takeWithin // the new one lets go of the place by itself
		}
	}
}
