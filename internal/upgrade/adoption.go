package upgrade

// Orphan is a router process that outlived its supervisor, as it describes itself.
type Orphan struct {
	Generation uint64
	State      AgentState
	Settled    bool // it was notified that its trial is over, or that it needs none
}

// Disposition is what a new supervisor does with an orphan.
type Disposition uint8

// Dispositions of orphans.
const (
	DispositionKeep   Disposition = iota // it serves: keep it as the settled generation
	DispositionRetry                     // it serves but was never settled: begin its trial anew
	DispositionResume                    // nobody serves: command it to
	DispositionEnd                       // another one was chosen: let it drain and end
	dispositionCount
)

var dispositionNames = [dispositionCount]string{"keep", "retry trial", "resume", "end"}

// String returns the disposition's name in logs.
func (d Disposition) String() string { return nameOf(dispositionNames[:], int(d), "disposition") }

// orphanRank orders orphans by how fit they are to serve.
type orphanRank uint8

const (
	rankUnfit            orphanRank = iota // ends by itself
	rankIdle                               // neither settled nor serving
	rankOnTrial                            // serves, never settled
	rankSettledServing                     // serves, settled, older than the state file's generation
	rankRecorded                           // the generation that the state file records
	rankSettledUnwritten                   // settled after the state file was written
)

// rank of an orphan, given the generation that the state file records as settled. A
// process that was notified that it is settled is, whatever the file says: the
// notification precedes the file, and the predecessor ends only after both.
func (o Orphan) rank(settled uint64) orphanRank {
	switch {
	case o.State == AgentEnding || o.State == AgentWaiting || o.State == AgentAcquiring:
		return rankUnfit
	case o.Settled && o.Generation > settled:
		return rankSettledUnwritten
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

// Dispositions decides about orphans, in their order. Settled is the generation that
// the state file records as settled (0: none). At most one orphan is kept, retried or
// resumed; the others end.
func Dispositions(settled uint64, orphans []Orphan) []Disposition {
	best, bestRank := fittest(settled, orphans)
	dispositions := make([]Disposition, len(orphans))
	for i, o := range orphans {
		switch {
		case i != best:
			dispositions[i] = DispositionEnd
		case !o.State.Accepts():
			dispositions[i] = DispositionResume
		case bestRank == rankOnTrial:
			dispositions[i] = DispositionRetry
		default:
			dispositions[i] = DispositionKeep
		}
	}
	return dispositions
}

// fittest returns the index of the orphan that is to serve, -1 for none. Among equals
// the latest generation wins.
func fittest(settled uint64, orphans []Orphan) (best int, bestRank orphanRank) {
	best = -1
	for i, o := range orphans {
		rank := o.rank(settled)
		if rank == rankUnfit {
			continue
		}
		if rank > bestRank || rank == bestRank && o.Generation > orphans[best].Generation {
			best, bestRank = i, rank
		}
	}
	return best, bestRank
}
