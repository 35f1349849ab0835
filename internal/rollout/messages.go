package rollout

import "quilldoor/internal/canary"

// Kind of a Message.
type Kind uint8

// Kinds of messages, with the fields that each uses.
const (
	KindPrepare   Kind = 1 + iota // a candidate asks for a promise: Term
	KindPromise                   // Term is promised: AcceptedTerm and State are the sender's latest
	KindReject                    // a prepare or accept is refused: Term is the one promised instead
	KindAccept                    // the leader proposes State in Term; Round counts its rounds
	KindAccepted                  // State is accepted: Term, Round, and State's Seq in Nonce
	KindPoll                      // a follower asks for the decided state: Nonce, Report
	KindDecided                   // answer to a poll under a valid lease: Nonce, State
	KindRecover                   // a router without durable state asks for the others': Nonce
	KindRecovered                 // answer: Nonce, Term promised, AcceptedTerm, State; no State: it has lost its own
	KindCommand                   // an operator's Command, passed on to the leader
)

// Message is what routers of a plan send each other.
type Message struct {
	Kind         Kind    `cbor:"1,keyasint"`
	Plan         uint64  `cbor:"2,keyasint"`           // Plan.Digest; messages of another plan are dropped
	Term         uint64  `cbor:"3,keyasint,omitempty"` // of an election; from 1
	AcceptedTerm uint64  `cbor:"4,keyasint,omitempty"` // term in which State was accepted
	State        *State  `cbor:"5,keyasint,omitempty"`
	Round        uint64  `cbor:"6,keyasint,omitempty"` // of the leader's accepts, to tell which one an answer is for
	Nonce        uint64  `cbor:"7,keyasint,omitempty"` // the same in a question and its answer
	Report       *Report `cbor:"8,keyasint,omitempty"`
	Command      Command `cbor:"9,keyasint,omitempty"`
}

// Outgoing is a message to be sent to the router with index To in the plan.
type Outgoing struct {
	To      int
	Message *Message
}

// Report is what a router tells the leader about itself.
type Report struct {
	Upgraded      bool          `cbor:"1,keyasint,omitempty" json:"OnNew"`  // serves with the new generation, settled
	Changing      bool          `cbor:"2,keyasint,omitempty"`               // between two generations, in either direction
	FailureReason string        `cbor:"3,keyasint,omitempty" json:"Failed"` // why the change of this run failed; "": it did not
	Capable       bool          `cbor:"4,keyasint,omitempty" json:"Able"`   // has the plan and the files that it names
	Counts        canary.Counts `cbor:"5,keyasint,omitempty"`               // since its first generation, across changes
	Restarts      int           `cbor:"6,keyasint,omitempty"`               // unplanned ones
	MemoryMB      float64       `cbor:"7,keyasint,omitempty"`               // of its serving process; 2^20 bytes each
	RunID         uint64        `cbor:"8,keyasint,omitempty" json:"Run"`    // run that Upgraded and FailureReason belong to
	// ViolatedRules are invariants that its supervisor saw it violate within the last
	// minute, one bit for each invariant.Rule.
	ViolatedRules  uint8  `cbor:"9,keyasint,omitempty" json:"Broken"`
	FirstViolation string `cbor:"10,keyasint,omitempty" json:"Broke"`  // text about the first of them
	DrainsSeen     int    `cbor:"11,keyasint,omitempty" json:"Drains"` // drains its supervisor was notified of
	PurgesSeen     int    `cbor:"12,keyasint,omitempty" json:"Purges"` // purges its supervisor was notified of
}

// Command is what an operator commands of a rollout. Its number goes over the wire; 0 is none.
type Command uint8

// Commands of an operator. One that does not fit the phase changes nothing.
const (
	CommandNone     Command = iota // asks for the status only
	CommandStart                   // begin a rollout of the plan, from its first stage
	CommandPause                   // change no further router until CommandResume
	CommandResume                  // go on from a pause, with a new watch of the stage
	CommandRollBack                // return all changed routers to the old generation
)
