package rollout

// Phase says in which direction a rollout moves, or how it ended.
type Phase uint8

// Phases of a rollout.
const (
	PhaseNone        Phase = iota // no rollout of this plan yet
	PhaseForward                  // routers change to the new generation
	PhasePaused                   // nothing changes until the operator decides
	PhaseRollingBack              // all changed routers return to the old generation
	PhaseDone                     // all have the new generation; a router that comes late changes, too
	PhaseRolledBack               // all have the old generation
)

var phaseNames = [...]string{"none", "forward", "holding", "back", "done", "undone"}

// String returns the name that logs, status files and pages show: none, forward, holding
// (paused), back (rolling back), done or undone (rolled back).
func (p Phase) String() string { return phaseNames[min(int(p), len(phaseNames)-1)] }

// State is the value that a majority decides on. A later one has a higher Seq.
type State struct {
	Seq     uint64 `cbor:"1,keyasint"`           // counts the decided states
	Plan    uint64 `cbor:"2,keyasint,omitempty"` // Plan.Digest
	Phase   Phase  `cbor:"3,keyasint,omitempty" json:"Way"`
	Stage   int    `cbor:"4,keyasint,omitempty"`            // from 0
	Batch   Set    `cbor:"5,keyasint,omitempty"`            // routers that change now, in the phase's direction
	Changed Set    `cbor:"6,keyasint,omitempty"`            // routers with the new generation
	Skipped Set    `cbor:"7,keyasint,omitempty"`            // routers passed over after Plan.SilentSeconds of silence
	Reason  string `cbor:"8,keyasint,omitempty" json:"Why"` // why the phase or stage is what it is, for people
	RunID   uint64 `cbor:"9,keyasint,omitempty" json:"Run"` // tells two rollouts of one plan apart
}

// Durable is what a router must store before it sends the messages of a step: a promise
// or an acceptance that is forgotten could let two majorities decide differently.
type Durable struct {
	PromisedTerm uint64 `json:"promised"` // no prepare or accept of an earlier term is taken
	AcceptedTerm uint64 `json:"held"`     // term in which State was accepted
	State        State  `json:"state"`    // the latest one accepted
}

// supersedes reports whether a state accepted in a term comes after another: by term,
// and within a term, which has one leader, by sequence number.
func supersedes(term uint64, state *State, otherTerm uint64, other *State) bool {
	return term > otherTerm || term == otherTerm && state.Seq > other.Seq
}
