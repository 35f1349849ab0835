package rollout

import "quilldoor/internal/canary"

// Kind is the type of a Message.
type Kind uint8

// Kinds of messages, each with the fields that it uses.
const (
	KindPrepare   Kind = 1 + iota // a candidate requests a promise: Term
	KindPromise                   // Term is promised; AcceptedTerm and State: the latest that the sender accepted
	KindReject                    // a prepare or accept is refused; Term: the highest that the sender promised
	KindAccept                    // the leader proposes State in Term; Round: the number of the proposal
	KindAccepted                  // a proposal is accepted: Term, Round, Nonce (State.Seq of the proposal)
	KindPoll                      // a follower requests the decided state: Nonce, Report
	KindDecided                   // reply to a poll under a valid lease: Nonce, State
	KindRecover                   // a router that lost its durable state requests that of others: Nonce
	KindRecovered                 // reply: Nonce, Term (promised), AcceptedTerm, State; no State: the sender has lost its own
	KindCommand                   // an operator's Command, forwarded to the leader
)

// Message is sent between the routers of a plan.
type Message struct {
	Kind         Kind    `cbor:"1,keyasint"`
	Plan         uint64  `cbor:"2,keyasint"`           // Plan.Digest; messages of another plan are dropped
	Term         uint64  `cbor:"3,keyasint,omitempty"` // of a leader or candidate; from 1
	AcceptedTerm uint64  `cbor:"4,keyasint,omitempty"` // term in which State was accepted
	State        *State  `cbor:"5,keyasint,omitempty"`
	Round        uint64  `cbor:"6,keyasint,omitempty"` // counts the leader's proposals; a reply repeats it
	Nonce        uint64  `cbor:"7,keyasint,omitempty"` // the same in a request and its reply; in KindAccepted: State.Seq of the proposal
	Report       *Report `cbor:"8,keyasint,omitempty"`
	Command      Command `cbor:"9,keyasint,omitempty"`
}

// Outgoing is a message for the router at index To of Plan.Routers.
type Outgoing struct {
	To      int
	Message *Message
}

// Report is a router's state and counts, as it reports them to the leader.
type Report struct {
	Upgraded      bool          `cbor:"1,keyasint,omitempty" json:"OnNew"`  // serves with the new generation, settled
	Changing      bool          `cbor:"2,keyasint,omitempty"`               // between two generations, in either direction
	FailureReason string        `cbor:"3,keyasint,omitempty" json:"Failed"` // why the change of run RunID failed; "": it did not fail
	Capable       bool          `cbor:"4,keyasint,omitempty" json:"Able"`   // has the plan and the files that it names
	Counts        canary.Counts `cbor:"5,keyasint,omitempty"`               // cumulative over all generations
	Restarts      int           `cbor:"6,keyasint,omitempty"`               // unplanned restarts of its serving process
	MemoryMB      float64       `cbor:"7,keyasint,omitempty"`               // of its serving process, in units of 2^20 bytes
	RunID         uint64        `cbor:"8,keyasint,omitempty" json:"Run"`    // State.RunID that Upgraded and FailureReason refer to
	// ViolatedRules are the invariants whose violation its supervisor observed within the
	// last minute, one bit for each invariant.Rule.
	ViolatedRules  uint8  `cbor:"9,keyasint,omitempty" json:"Broken"`
	FirstViolation string `cbor:"10,keyasint,omitempty" json:"Broke"`  // description of the first violated rule
	DrainsSeen     int    `cbor:"11,keyasint,omitempty" json:"Drains"` // drains its supervisor was notified of
	PurgesSeen     int    `cbor:"12,keyasint,omitempty" json:"Purges"` // purges its supervisor was notified of
}

// Command is an operator's command to a rollout. Its number is sent in messages; 0 is no
// command.
type Command uint8

// Commands of an operator. A command that does not apply to the phase has no effect.
const (
	CommandNone     Command = iota // request the status only
	CommandStart                   // begin a rollout of the plan, from its first stage
	CommandPause                   // begin no further change until CommandResume
	CommandResume                  // continue after a pause, with a new watch of the stage
	CommandRollBack                // return all changed routers to the old generation
)
