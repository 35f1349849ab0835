package handoff

import (
	"fmt"

	"quilldoor/internal/invariant"
	"quilldoor/internal/policy"
	"quilldoor/internal/rollout"
	"quilldoor/internal/upgrade"
)

// Format is the version of the messages. A supervisor rejects a process that names none.
const Format = 1

// Kind of a message. Its number goes over the wire.
type Kind uint8

// Kinds of messages: of the supervisor to a router process.
const (
	KindServe           Kind = 1 + iota // serve; with State: in the place of the process that had it
	KindQuiesce                         // accept nothing new, hand over
	KindSuccessorServes                 // the successor serves
	KindSettle                          // the trial is over
	KindResume                          // serve again
	KindEnd                             // answer the open requests, then end
	KindReload                          // read the settings again, as on SIGHUP
	KindLimits                          // Limits is the process's part of the machine from now on
	KindOtherAttempts                   // OutstandingAttempts of the other processes
)

// Kinds of messages: of a router process to the supervisor.
const (
	// KindHello is the first message: Format, Generation, PID; that of an orphan also
	// has AgentState, WasSettled and the listening sockets.
	KindHello     Kind = 10 + iota
	KindReady          // it is ready to serve
	KindReleased       // it accepts nothing new and owns nothing any more; with State
	KindAccepting      // it serves
	KindDenied         // it did not get the serving lock
	KindSettled        // it knows that its trial is over
	KindHeartbeat      // with Requests, OutstandingAttempts, OpenRequests, Activity
)

// Kinds of messages: of a tool to the supervisor, and the answer.
const (
	KindApply    Kind = 17 + iota // change to Program, Config, Operator
	KindRollBack                  // return to the previous generation, or cancel the change
	KindStatus                    // ask for Status
	KindReport                    // the answer: Note; with Final it is the last one: OK, FellBack, Status or Rollout
)

// Kinds of messages that came later.
const (
	// KindPeerMessage carries Body to the router To, or from the router From, over the
	// membership connections of the router process.
	KindPeerMessage Kind = 21 + iota
	// KindRollout is of a tool: Command of a rollout; 0: only a report, with Rollout.
	KindRollout
	kindEnd
)

var kindNames = [kindEnd]string{
	"none", "serve", "quiesce", "successor serves", "settle", "resume", "end", "reload", "limits", "other attempts",
	"hello", "ready", "released", "accepting", "denied", "settled", "heartbeat", "apply", "roll back", "status",
	"report", "peer message", "rollout",
}

// String returns the kind's name in logs and errors.
func (k Kind) String() string {
	if k >= kindEnd {
		return fmt.Sprintf("kind(%d)", uint8(k))
	}
	return kindNames[k]
}

// Message is one message. Which fields count depends on Kind.
type Message struct {
	Kind                Kind                            `cbor:"1,keyasint"`
	Format              int                             `cbor:"2,keyasint,omitempty"`  // of KindHello
	Generation          uint64                          `cbor:"3,keyasint,omitempty"`  // of a router process
	State               *State                          `cbor:"4,keyasint,omitempty"`  // of KindReleased, and of KindServe to its successor; nil: none
	Requests            upgrade.RequestCounts           `cbor:"5,keyasint,omitempty"`  // of KindHeartbeat
	OutstandingAttempts map[string]policy.AttemptCounts `cbor:"6,keyasint,omitempty"`  // by endpoint
	Limits              upgrade.Resources               `cbor:"7,keyasint,omitempty"`  // of KindLimits
	AgentState          upgrade.AgentState              `cbor:"8,keyasint,omitempty"`  // of KindHello and KindHeartbeat
	WasSettled          bool                            `cbor:"9,keyasint,omitempty"`  // of KindHello: its trial was over before
	PID                 int                             `cbor:"10,keyasint,omitempty"` // of KindHello
	Sockets             []string                        `cbor:"11,keyasint,omitempty"` // names of the descriptors that come along
	Program             string                          `cbor:"12,keyasint,omitempty"` // paths
	Config              string                          `cbor:"13,keyasint,omitempty"` // of KindApply, as Program and Operator; "": as it is
	Operator            string                          `cbor:"14,keyasint,omitempty"`
	Note                string                          `cbor:"15,keyasint,omitempty"` // for people
	Final               bool                            `cbor:"16,keyasint,omitempty"` // no other report follows
	OK                  bool                            `cbor:"17,keyasint,omitempty"` // what was asked for is done
	FellBack            bool                            `cbor:"18,keyasint,omitempty"` // the change failed, the old generation serves
	Status              *Status                         `cbor:"19,keyasint,omitempty"` // of a final KindReport
	OpenRequests        int                             `cbor:"20,keyasint,omitempty"` // of KindHeartbeat
	To                  string                          `cbor:"22,keyasint,omitempty"` // names of routers
	From                string                          `cbor:"23,keyasint,omitempty"`
	Body                []byte                          `cbor:"24,keyasint,omitempty"` // of KindPeerMessage
	Command             rollout.Command                 `cbor:"25,keyasint,omitempty"` // of KindRollout; 0: none
	Rollout             *rollout.Status                 `cbor:"26,keyasint,omitempty"` // of the KindReport to KindRollout
	Activity            *invariant.Activity             `cbor:"27,keyasint,omitempty"` // of KindHeartbeat; nil: none is recorded
	// BudgetsMaybeSpent is of KindServe and KindResume: another process may have spent
	// this router's slow-start budgets meanwhile.
	BudgetsMaybeSpent bool `cbor:"21,keyasint,omitempty"`
}
