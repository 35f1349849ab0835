package upgrade

// State is where a change stands. In most of them the old generation serves.
type State uint8

// States of the keeper's machine.
const (
	Down      State = iota // nobody serves; the settled generation is started when it is due
	Starting               // it is started
	Steady                 // it serves, and no change is under way
	Checking               // prepared: the new one's program reads the new one's settings
	Warming                // checked: the new one is started, and gets ready
	Quieting               // ready: the old one hands over
	Handing                // taking over: the new one takes the place
	OnTrial                // the new one serves, the old one stands by
	Settling               // the new one is told that it is settled
	Writing                // that is put into the file
	Returning              // falling back: the old one takes its place again
	Stopping               // all end
	Stopped
	states
)

var stateNames = [states]string{"down", "starting", "steady", "checking", "warming", "quieting", "handing over", "on trial", "settling",
	"writing", "falling back", "stopping", "stopped"}

func (s State) String() string { return stateNames[min(s, states-1)] }

// Input is what the keeper hears.
type Input uint8

// Inputs of the keeper's machine. Old is the generation that is settled, new the
// one that may take its place.
const (
	Apply     Input = iota // the operator asks for a change
	Checked                // the new one's settings are good, and there is room
	Refused                // they are not, or there is none
	OldReady               // started, and ready to serve
	NewReady               //
	Released               // the old one has handed over
	OldServes              //
	NewServes              //
	Denied                 // the new one did not get the place
	Settled                // the new one knows that it is
	Written                // it is in the file
	Unwritten              // the file could not be written
	OldGone                // its process has ended
	NewGone                //
	OldHung                // it says nothing any more
	NewHung                // that, or it uses more than its part of the machine
	Worse                  // it answers worse than the old one did
	Cancel                 // the operator, or a peer, wants the old one back
	Timeout                // what the state waits for did not come
	Shutdown               // everything ends
	AllGone                // all processes have ended
	inputs
)

// Effect is what the keeper does.
type Effect uint8

// Effects of the keeper's machine, done in order.
const (
	Check       Effect = 1 + iota // the new one's program reads its settings; is there room?
	StartOld                      // from nothing
	StartNew                      //
	OwnOld                        // tell it to serve, from nothing
	OwnNew                        // tell it to serve, with what the old one handed over
	QuietOld                      //
	TakenOld                      // tell it that the new one serves
	ResumeOld                     //
	SettleNew                     //
	SettleOld                     // it needs no trial
	EndNew                        // it answers what it has, and is killed if it does not end
	KillNew                       //
	KillOld                       //
	Write                         // that the new one is settled
	Promote                       // the new one is the settled one now; the old one answers what it has and ends
	EndAll                        //
	TellRefused                   // nothing has changed
	TellBack                      // the old one serves again
	TellDone                      // the new one is settled
	TellBrief                     // it is, but not in the file: a cold start begins with the old one
)

type row struct {
	next    State
	effects []Effect
}

func to(next State, effects ...Effect) *row { return &row{next, effects} }

// table is read by Machine.Handle. What stands in no row means nothing there.
var table = [states][inputs]*row{
	Down: {Timeout: to(Starting, StartOld), Shutdown: to(Stopping, EndAll)},
	Starting: {
		OldReady: to(Starting, OwnOld), OldServes: to(Steady, SettleOld), OldGone: to(Down), OldHung: to(Down, KillOld), Timeout: to(Down, KillOld),
		Shutdown: to(Stopping, EndAll)},
	Steady: {
		Apply: to(Checking, Check), OldGone: to(Down), OldHung: to(Down, KillOld), Shutdown: to(Stopping, EndAll)},
	Checking: {
		Checked: to(Warming, StartNew), Refused: to(Steady, TellRefused), Timeout: to(Steady, TellRefused), Cancel: to(Steady, TellRefused),
		OldGone: to(Down, TellRefused), OldHung: to(Down, KillOld, TellRefused), Shutdown: to(Stopping, TellRefused, EndAll)},
	Warming: {
		NewReady: to(Quieting, QuietOld), NewGone: to(Steady, TellRefused), NewHung: to(Steady, KillNew, TellRefused),
		Timeout: to(Steady, KillNew, TellRefused), Cancel: to(Steady, KillNew, TellRefused), OldGone: to(Down, KillNew, TellRefused),
		OldHung: to(Down, KillNew, KillOld, TellRefused), Shutdown: to(Stopping, TellRefused, EndAll)},
	Quieting: {
		Released: to(Handing, OwnNew), OldServes: to(Steady, KillNew, TellBack), NewGone: to(Returning, ResumeOld),
		NewHung: to(Returning, KillNew, ResumeOld), Cancel: to(Returning, KillNew, ResumeOld), Timeout: to(Returning, KillNew, ResumeOld),
		OldHung: to(Returning, KillNew, ResumeOld), OldGone: to(Down, KillNew, TellBack), Shutdown: to(Stopping, TellBack, EndAll)},
	Handing: {
		NewServes: to(OnTrial, TakenOld), OldServes: to(Steady, KillNew, TellBack), Denied: to(Returning, KillNew, ResumeOld),
		NewGone: to(Returning, ResumeOld), NewHung: to(Returning, KillNew, ResumeOld), Cancel: to(Returning, KillNew, ResumeOld),
		Timeout: to(Returning, KillNew, ResumeOld), OldGone: to(Down, KillNew, TellBack), Shutdown: to(Stopping, TellBack, EndAll)},
	OnTrial: {
		Timeout: to(Settling, SettleNew), NewGone: to(Returning, ResumeOld), NewHung: to(Returning, KillNew, ResumeOld),
		Worse: to(Returning, EndNew, ResumeOld), Cancel: to(Returning, EndNew, ResumeOld), OldServes: to(Steady, KillNew, TellBack),
		OldGone: to(OnTrial), Shutdown: to(Stopping, TellBack, EndAll)},
	Settling: {
		Settled: to(Writing, Write), NewGone: to(Returning, ResumeOld), NewHung: to(Returning, KillNew, ResumeOld),
		Timeout: to(Returning, KillNew, ResumeOld), OldServes: to(Steady, KillNew, TellBack), OldGone: to(Settling),
		Shutdown: to(Stopping, TellBack, EndAll)},
	Writing: {
		Written: to(Steady, Promote, TellDone), Unwritten: to(Steady, Promote, TellBrief)},
	Returning: {
		OldServes: to(Steady, EndNew, TellBack), OldGone: to(Down, KillNew, TellBack), Timeout: to(Down, KillNew, KillOld, TellBack),
		Shutdown: to(Stopping, TellBack, EndAll)},
	Stopping: {AllGone: to(Stopped)},
	Stopped:  {},
}

// Times that the keeper waits.
type Times struct {
	Ready int64 // for a generation to get ready
	Trial int64 // how long a new one must do well
	Drain int64 // for a generation to answer what it has
}

const (
	// checkWithin is for a program to read its settings.
	checkWithin = 10 * second
	// answerWithin is for a generation to do what it is told: some system calls and a
	// copy of what was learned. Two of them are less than a generation's patience.
	answerWithin = 700 * ms
	// HangAfter without a beat (one each 100 ms) a generation is taken for hung; one on
	// trial for a tenth of it, since there is another to take its place at once.
	HangAfter = 10 * second
	TrialHang = second
	// A generation that dies is started again after restFirst, doubling up to restMost;
	// one that served for steadyAfter begins anew.
	restFirst, restMost = 50 * ms, 5 * second
	steadyAfter         = 10 * second
)

// Machine is the keeper's side. One goroutine at a time.
type Machine struct {
	State State
	times Times
	since int64
	due   int64 // 0: none
	gone  bool  // the old one's process has ended, in a state that goes on without it
	falls int   // starts of the settled one that did not last
	up    int64 // since when it serves
}

// NewMachine begins with nobody serving, and starts the settled generation at once.
func NewMachine(times Times, now int64) *Machine {
	return &Machine{State: Down, times: times, since: now, due: now, up: now}
}

// Adopted begins with a settled generation that serves already; trial: with one that
// is not settled, whose predecessor has gone.
func Adopted(times Times, now int64, trial bool) *Machine {
	m := &Machine{State: Steady, times: times, since: now, up: now}
	if trial {
		m.State, m.gone, m.due = OnTrial, true, now+times.Trial
	}
	return m
}

// Due is when Tick wants to be called; 0: not at all.
func (m *Machine) Due() int64 { return m.due }

// Since is when the state began.
func (m *Machine) Since() int64 { return m.since }

// Busy tells whether a change is under way, so that no other one can begin.
func (m *Machine) Busy() bool { return m.State != Steady }

// Tick tells the time.
func (m *Machine) Tick(now int64) []Effect {
	if m.due == 0 || now < m.due {
		return nil
	}
	return m.Handle(now, Timeout)
}

// Slept says that the keeper itself stood still for so long: what it waits for had
// no chance to be heard meanwhile.
func (m *Machine) Slept(gap int64) {
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
	if in == OldGone {
		m.gone = true
	}
	if next == Returning && m.gone { // there is nobody to come back
		next = Down
		effects = append([]Effect{KillNew}, TellBack)
	}
	if next == m.State && in != OldReady { // only the old one's end is noted
		return effects
	}
	m.enter(now, next, in)
	return effects
}

func (m *Machine) enter(now int64, next State, in Input) {
	from := m.State
	m.State, m.since, m.due = next, now, 0
	switch next {
	case Down:
		// A change that failed with both gone is no fault of the settled generation.
		if from == Starting || from == Steady {
			if now-m.up >= steadyAfter {
				m.falls = 0
			}
			m.falls++
		}
		m.due = now
		if m.falls > 1 {
			m.due = now + min(restFirst<<min(m.falls-2, 16), restMost)
		}
	case Starting:
		m.due = now + m.times.Ready
	case Steady:
		if m.gone = false; from == Starting || from == Returning || from == Writing {
			m.up = now
		}
	case Checking:
		m.due = now + checkWithin
	case Warming:
		m.due = now + m.times.Ready
	case Quieting, Handing, Settling:
		m.due = now + answerWithin
	case OnTrial:
		m.due = now + m.times.Trial
	case Returning:
		m.due = now + answerWithin
		if in == Worse || in == Cancel {
			m.due += takeWithin // the new one lets go of the place by itself
		}
	}
}
