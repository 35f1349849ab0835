package upgrade

// Orphan is a generation that has outlived its keeper, as it says of itself.
type Orphan struct {
	Generation uint64
	State      AgentState
	Settled    bool // it was told that its trial is over, or never had one
}

// Disposition is what a new keeper tells it.
type Disposition uint8

// Fates of orphans.
const (
	DispositionKeep   Disposition = iota // it serves: go on
	DispositionRetry                     // it serves, but was never settled: its trial begins anew
	DispositionResume                    // nobody serves: it shall
	DispositionEnd                       // another one serves
)

func (f Disposition) String() string { return [...]string{"keep", "try again", "resume", "end"}[f] }

// Dispositions decides by the generation that the file has as settled (0: none) what
// becomes of orphans. At most one is kept, tried again or resumed.
//
// One that was told that it is settled is, whatever the file says: the word goes
// out before the file is written, and its predecessor goes only after that.
func Dispositions(settled uint64, orphans []Orphan) []Disposition {
	best, rank := -1, 0
	for i, o := range orphans {
		r := 0
		switch {
		case o.State == AgentEnding || o.State == AgentWaiting || o.State == AgentAcquiring:
			continue // it goes by itself
		case o.Settled && o.Generation > settled:
			r = 5 // told so, and the file was not written
		case o.Generation == settled:
			r = 4
		case o.State.Accepts() && o.Settled:
			r = 3
		case o.State.Accepts():
			r = 2
		default:
			r = 1
		}
		if r > rank || r == rank && best >= 0 && o.Generation > orphans[best].Generation {
			best, rank = i, r
		}
	}
	fates := make([]Disposition, len(orphans))
	for i, o := range orphans {
		switch {
		case i != best:
			fates[i] = DispositionEnd
		case !o.State.Accepts():
			fates[i] = DispositionResume
		case rank == 2:
			fates[i] = DispositionRetry
		default:
			fates[i] = DispositionKeep
		}
	}
	return fates
}
