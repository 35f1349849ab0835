package handoff

import (
	"fmt"

	"quilldoor/internal/invariant"
	"quilldoor/internal/policy"
	"quilldoor/internal/rollout"
	"quilldoor/internal/upgrade"
)

// Format is the version of the messages. A supervisor rejects a process whose first
// message has no version.
const Format = 1

// Kind is the kind of a message. Its number is sent over the wire.
type Kind uint8

// Kinds of messages from the supervisor to a router process.
const (
	KindServe           Kind = 1 + iota // serve; State, if set, is the predecessor's
	KindQuiesce                         // stop accepting clients, hand over the state and the serving lock
	KindSuccessorServes                 // the successor serves
	KindSettle                          // the trial is over
	KindResume                          // serve again
	KindEnd                             // answer the open requests, then end
	KindReload                          // read the settings again, as on SIGHUP
	KindLimits                          // keep to Limits, the process's new share of the machine
	KindOtherAttempts                   // OutstandingAttempts is the sum over the other processes
)

// Kinds of messages from a router process to the supervisor.
const (
	// KindHello is the first message. It has Format, Generation and PID; that of an orphan
	// also has AgentState and WasSettled, and its listening sockets accompany it.
	KindHello     Kind = 10 + iota
	KindReady          // ready to serve
	KindReleased       // has stopped accepting clients and released what only one process may own; has State
	KindAccepting      // serves
	KindDenied         // did not acquire the serving lock
	KindSettled        // confirms that its trial is over
	KindHeartbeat      // has Requests, OutstandingAttempts, OpenRequests and Activity
)

// Kinds of messages between a tool and the supervisor.
const (
	KindApply    Kind = 17 + iota // change to Program, Config and Operator
	KindRollBack                  // return to the previous generation, or cancel the change
	KindStatus                    // request Status
	// KindReport answers a tool. Any report may have Note. The last one has Final, and OK,
	// FellBack, Status or Rollout as they apply.
	KindReport
)

// Kinds of messages that were added later. The numbers of the earlier kinds stay as they are.
const (
	// KindPeerMessage carries Body to the router To, or from the router From, over the
	// membership connections of the router process.
	KindPeerMessage Kind = 21 + iota
	// KindRollout is a tool's Command for the rollout. With 0 it only requests Rollout.
	KindRollout
	kindCount
)

var kindNames = [kindCount]string{
	"none", "serve", "quiesce", "successor serves", "settle", "resume", "end", "reload", "limits", "other attempts",
	"hello", "ready", "released", "accepting", "denied", "settled", "heartbeat", "apply", "roll back", "status",
	"report", "peer message", "rollout",
}

// String returns the kind's name in logs and errors.
func (k Kind) String() string {
	if k >= kindCount {
		return fmt.Sprintf("kind(%d)", uint8(k))
	}
	return kindNames[k]
}

// Message is a message of any kind. Kind determines which fields are set.
type Message struct {
	Kind                Kind                            `cbor:"1,keyasint"`
	Format              int                             `cbor:"2,keyasint,omitempty"`  // of KindHello
	Generation          uint64                          `cbor:"3,keyasint,omitempty"`  // of a router process
	State               *State                          `cbor:"4,keyasint,omitempty"`  // of KindReleased, and of the successor's KindServe; nil: none
	Requests            upgrade.RequestCounts           `cbor:"5,keyasint,omitempty"`  // of KindHeartbeat
	OutstandingAttempts map[string]policy.AttemptCounts `cbor:"6,keyasint,omitempty"`  // of KindHeartbeat and KindOtherAttempts; by endpoint
	Limits              upgrade.Resources               `cbor:"7,keyasint,omitempty"`  // of KindLimits
	AgentState          upgrade.AgentState              `cbor:"8,keyasint,omitempty"`  // of KindHello and KindHeartbeat
	WasSettled          bool                            `cbor:"9,keyasint,omitempty"`  // of KindHello: the trial is over, or none was needed
	PID                 int                             `cbor:"10,keyasint,omitempty"` // of KindHello
	Sockets             []string                        `cbor:"11,keyasint,omitempty"` // of KindHello: names of the accompanying descriptors
	Program             string                          `cbor:"12,keyasint,omitempty"` // of KindApply: path; "": unchanged
	Config              string                          `cbor:"13,keyasint,omitempty"` // of KindApply: path; "": unchanged
	Operator            string                          `cbor:"14,keyasint,omitempty"` // of KindApply: path; "": unchanged
	Note                string                          `cbor:"15,keyasint,omitempty"` // of KindReport: text for people
	Final               bool                            `cbor:"16,keyasint,omitempty"` // of KindReport: no other report follows
	OK                  bool                            `cbor:"17,keyasint,omitempty"` // of a final KindReport: the command is carried out
	FellBack            bool                            `cbor:"18,keyasint,omitempty"` // of a final KindReport: the change failed, the old generation serves
	Status              *Status                         `cbor:"19,keyasint,omitempty"` // of a final KindReport
	OpenRequests        int                             `cbor:"20,keyasint,omitempty"` // of KindHeartbeat
	To                  string                          `cbor:"22,keyasint,omitempty"` // of KindPeerMessage: name of a router
	From                string                          `cbor:"23,keyasint,omitempty"` // of KindPeerMessage: name of a router
	Body                []byte                          `cbor:"24,keyasint,omitempty"` // of KindPeerMessage
	Command             rollout.Command                 `cbor:"25,keyasint,omitempty"` // of KindRollout; 0: none
	Rollout             *rollout.Status                 `cbor:"26,keyasint,omitempty"` // of the KindReport that answers KindRollout
	Activity            *invariant.Activity             `cbor:"27,keyasint,omitempty"` // of KindHeartbeat; nil: none is recorded
	// BudgetsMaybeSpent is of KindServe and KindResume: another process may already have
	// spent this router's slow-start budgets.
	BudgetsMaybeSpent bool `cbor:"21,keyasint,omitempty"`
}
