package upgrade

// Orphan is a router process that outlived its supervisor, as the process reports it.
type Orphan struct {
	Generation uint64
	State      AgentState
	Settled    bool // the process was notified that its trial is over, or that it needs none
}

// Disposition is what a new supervisor does with an orphan.
type Disposition uint8

// Dispositions of orphans.
const (
	DispositionKeep   Disposition = iota // it serves: keep it as the settled generation
	DispositionRetry                     // it serves but was never settled: restart its trial
	DispositionResume                    // no process serves: command it to serve again
	DispositionEnd                       // another orphan was selected: let it drain and end
	dispositionCount
)

var dispositionNames = [dispositionCount]string{"keep", "retry trial", "resume", "end"}

// String returns the disposition's name in logs.
func (d Disposition) String() string { return nameOf(dispositionNames[:], int(d), "disposition") }

// orphanRank orders orphans by preference: the supervisor selects the highest rank.
type orphanRank uint8

const (
	rankIneligible        orphanRank = iota // ends on its own
	rankIdle                                // neither settled nor serving
	rankOnTrial                             // serves, never settled
	rankSettledServing                      // serves, settled, older than the state file's generation
	rankRecorded                            // the generation that the state file records
	rankSettledUnrecorded                   // settled, but the state file does not record it yet
)

// rank returns an orphan's rank, given the generation that the state file records as
// settled. A process that was notified that it is settled counts as settled even if the
// state file records another generation: the notification precedes the write of the
// file, and the predecessor ends only after both.
func (o Orphan) rank(settled uint64) orphanRank {
	switch {
	case o.State == AgentEnding || o.State == AgentWaiting || o.State == AgentAcquiring:
		return rankIneligible
	case o.Settled && o.Generation > settled:
		return rankSettledUnrecorded
	case o.Generation == settled:
		return rankRecorded
	case o.State.Accepts() && o.Settled:
		return rankSettledServing
	case o.State.Accepts():
		return rankOnTrial
	default:
		return rankIdle
	}
}

// Dispositions returns the disposition of each orphan, in the order of orphans. Settled is
// the generation that the state file records as settled (0: none). At most one orphan is
// kept, retried or resumed; the others end.
func Dispositions(settled uint64, orphans []Orphan) []Disposition {
	selected, selectedRank := selectOrphan(settled, orphans)
	dispositions := make([]Disposition, len(orphans))
	for i, o := range orphans {
		switch {
		case i != selected:
			dispositions[i] = DispositionEnd
		case !o.State.Accepts():
			dispositions[i] = DispositionResume
		case selectedRank == rankOnTrial:
			dispositions[i] = DispositionRetry
		default:
			dispositions[i] = DispositionKeep
		}
	}
	return dispositions
}

// selectOrphan returns the index and the rank of the orphan that is to serve; the index is
// -1 when none is eligible. Among orphans of equal rank it selects the latest generation.
func selectOrphan(settled uint64, orphans []Orphan) (selected int, selectedRank orphanRank) {
	selected = -1
	for i, o := range orphans {
		rank := o.rank(settled)
		if rank == rankIneligible {
			continue
		}
		if rank > selectedRank || rank == selectedRank && o.Generation > orphans[selected].Generation {
			selected, selectedRank = i, rank
		}
	}
	return selected, selectedRank
}
