package simwire

import (
	"encoding/json"
	"fmt"

	"quilldoor/internal/policy"
	"quilldoor/internal/settings"
)

// Message is one event of a batch.
type Message struct {
	Verb     string
	Instance int // the router that the event is for
	Event    policy.Event

	// For VerbPowerOn.
	Seed     uint64
	Settings policy.Settings

	// For VerbInventory, which defines the endpoint list of a page, and VerbDiscovery, which refers to it by its page.
	Page      int
	Endpoints []policy.Endpoint
}

// Verbs that the host of the routers handles.
const (
	VerbPowerOn   = "PowerOn"   // start a router
	VerbDetach    = "Detach"    // remove a router
	VerbInventory = "Inventory" // define an endpoint list
	VerbDiscovery = "Discovery" // give a router a defined endpoint list
)

// eventKinds maps the verbs of events for a router to the kinds of the policy.
var eventKinds = map[string]policy.EventKind{
	VerbDiscovery:   policy.EventEndpoints,
	"NewRequest":    policy.EventRequest,
	"Health":        policy.EventHealthCheck,
	"NeighbourSays": policy.EventPeerMessage,
	"Reminder":      policy.EventTimer,
	"Started":       policy.EventResponseStarted,
	"Outdated":      policy.EventPurge,
	"Answer":        policy.EventAttemptEnded,
	"Abandoned":     policy.EventRequestClosed,
}

var outcomes = map[string]policy.Outcome{
	"done":         policy.OutcomeDone,
	"err":          policy.OutcomeError,
	"busy":         policy.OutcomeBusy,
	"enoent":       policy.OutcomeMiss,
	"etimedout":    policy.OutcomeTimeout,
	"econnrefused": policy.OutcomeConnectionRefused,
	"econnreset":   policy.OutcomeConnectionReset,
	"ecanceled":    policy.OutcomeCancelled,
	"skipped":      policy.OutcomeSkipped,
}

// Bits of a new request's Attrs.
const (
	attrRetry = 1 << 1 // the client marked it as a retry
	attrWrite = 1 << 2
)

// KnownVerb reports whether a verb is one of the wire's events.
func KnownVerb(verb string) bool {
	switch verb {
	case VerbPowerOn, VerbDetach, VerbInventory:
		return true
	}
	_, known := eventKinds[verb]
	return known
}

// event holds the members of the events of all verbs.
type event struct {
	Verb       *string            `json:"verb"`
	Instance   *int               `json:"I"`
	Seed       uint64             `json:"Seed"`
	Setup      *settings.Setup    `json:"Setup"`
	Page       *int               `json:"Page"`
	Endpoints  []endpoint         `json:"NodesList"`
	Scope      policy.UpdateScope `json:"Scope"`
	Request    string             `json:"OpId"`
	Class      string             `json:"Grade"`
	Object     string             `json:"ContentId"`
	Remaining  float64            `json:"RemainingMs"`
	SizeKB     float64            `json:"LengthKb"`
	Part       float64            `json:"Piece"`
	Attrs      int                `json:"Attrs"`
	Group      int64              `json:"BatchId"`
	RTT        float64            `json:"RttMs"`
	Endpoint   string             `json:"Server"`
	Outcome    string             `json:"Rc"`
	Load       map[string]float64 `json:"Stats"`
	Token      int64              `json:"Ctx"`
	Attempt    int                `json:"RoundNo"`
	Age        float64            `json:"AgeMs"`
	Reason     policy.Reason      `json:"Remark"`
	OriginWait float64            `json:"WaitedMs"`
	Final      bool               `json:"Final"`
}

type endpoint struct {
	ID        string               `json:"Server"`
	Zone      string               `json:"Site"`
	Kind      string               `json:"Kind"`
	Cell      int                  `json:"Stripe"`
	State     policy.EndpointState `json:"Availability"`
	Weight    float64              `json:"Heft"`
	StartedAt float64              `json:"BornMs"`
}

// ReadMessage parses one event of a batch. For an unknown verb it returns a Message with that verb and no other
// member. The error for a missing member is a MissingMemberError.
func ReadMessage(raw json.RawMessage) (Message, error) {
	verb, err := readVerb(raw)
	message := Message{Verb: verb}
	if err != nil || !KnownVerb(verb) {
		return message, err
	}
	var e event
	if err := json.Unmarshal(raw, &e); err != nil {
		return message, fmt.Errorf("%s: %w", verb, err)
	}
	if err := e.validate(verb); err != nil {
		return message, err
	}
	if e.Instance != nil {
		message.Instance = *e.Instance
	}
	if e.Page != nil {
		message.Page = *e.Page
	}
	switch verb {
	case VerbPowerOn:
		message.Seed = e.Seed
		message.Settings = e.Setup.PolicySettings()
	case VerbInventory:
		message.Endpoints = e.policyEndpoints()
	default:
		message.Event = e.policyEvent(verb)
	}
	return message, nil
}

func readVerb(raw json.RawMessage) (string, error) {
	var head struct {
		Verb *string `json:"verb"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return "", err
	}
	if head.Verb == nil {
		return "", &MissingMemberError{Member: "verb"}
	}
	return *head.Verb, nil
}

// validate returns a MissingMemberError if the event lacks a member that the verb requires.
func (e *event) validate(verb string) error {
	switch {
	case e.Instance == nil && verb != VerbInventory:
		return &MissingMemberError{verb, "I"}
	case e.Setup == nil && verb == VerbPowerOn:
		return &MissingMemberError{verb, "Setup"}
	case e.Page == nil && (verb == VerbInventory || verb == VerbDiscovery && e.Scope != policy.ScopeError):
		return &MissingMemberError{verb, "Page"}
	}
	return nil
}

func (e *event) policyEndpoints() (list []policy.Endpoint) {
	for _, listed := range e.Endpoints {
		list = append(list, policy.Endpoint{
			ID:        listed.ID,
			Zone:      listed.Zone,
			Kind:      listed.Kind,
			Cell:      listed.Cell,
			State:     listed.State,
			Weight:    listed.Weight,
			StartedAt: settings.Micros(listed.StartedAt),
		})
	}
	return list
}

func (e *event) policyEvent(verb string) policy.Event {
	return policy.Event{
		Kind:        eventKinds[verb],
		Scope:       e.Scope,
		Request:     e.Request,
		Class:       e.Class,
		Object:      e.Object,
		Group:       e.Group,
		Part:        int64(e.Part),
		SizeKB:      e.SizeKB,
		Remaining:   settings.Micros(e.Remaining),
		ClientRetry: e.Attrs&attrRetry != 0,
		Write:       e.Attrs&attrWrite != 0,
		Endpoint:    e.Endpoint,
		Attempt:     e.Attempt,
		Outcome:     outcomes[e.Outcome],
		Reason:      e.Reason,
		Final:       e.Final,
		RTT:         settings.Micros(e.RTT),
		OriginWait:  settings.Micros(e.OriginWait),
		Load:        e.Load,
		Token:       e.Token,
		Age:         settings.Micros(e.Age),
	}
}
