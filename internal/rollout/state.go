package rollout

// Phase is the direction in which a rollout moves, or its result.
type Phase uint8

// Phases of a rollout.
const (
	PhaseNone        Phase = iota // no rollout of this plan yet
	PhaseForward                  // routers change to the new generation
	PhasePaused                   // no router changes until the operator decides
	PhaseRollingBack              // all changed routers return to the old generation
	PhaseDone                     // all have the new generation; a router that was skipped still changes
	PhaseRolledBack               // all have the old generation
)

var phaseNames = [...]string{"none", "forward", "holding", "back", "done", "undone"}

// String returns the name in logs, status files and pages: none, forward, holding
// (paused), back (rolling back), done or undone (rolled back).
func (p Phase) String() string { return phaseNames[min(int(p), len(phaseNames)-1)] }

// State is the value that a majority decides. A later state has a higher Seq.
type State struct {
	Seq     uint64 `cbor:"1,keyasint"`           // counts the decided states
	Plan    uint64 `cbor:"2,keyasint,omitempty"` // Plan.Digest
	Phase   Phase  `cbor:"3,keyasint,omitempty" json:"Way"`
	Stage   int    `cbor:"4,keyasint,omitempty"`            // from 0
	Batch   Set    `cbor:"5,keyasint,omitempty"`            // routers that change now, in the phase's direction
	Changed Set    `cbor:"6,keyasint,omitempty"`            // routers with the new generation
	Skipped Set    `cbor:"7,keyasint,omitempty"`            // routers skipped after Plan.SilentSeconds without a report
	Reason  string `cbor:"8,keyasint,omitempty" json:"Why"` // of the phase or stage, as text for operators
	RunID   uint64 `cbor:"9,keyasint,omitempty" json:"Run"` // distinguishes rollouts of the same plan
}

// Durable is the part of a router's state that it must store before it sends the messages
// of a step: a promise or an acceptance that is lost could let two majorities decide
// differently.
type Durable struct {
	PromisedTerm uint64 `json:"promised"` // prepares and accepts of earlier terms are rejected
	AcceptedTerm uint64 `json:"held"`     // term in which State was accepted
	State        State  `json:"state"`    // the latest one accepted
}

// supersedes reports whether one accepted state comes after another: by the term in which
// each was accepted, and within a term, which has only one leader, by sequence number.
func supersedes(term uint64, state *State, otherTerm uint64, other *State) bool {
	return term > otherTerm || term == otherTerm && state.Seq > other.Seq
}
