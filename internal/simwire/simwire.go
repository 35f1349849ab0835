// Package simwire reads and writes the simulator's JSON wire. It turns times into
// whole microseconds and names into those of package policy, and decides nothing.
package simwire

import (
	"encoding/hex"
	"encoding/json"
	"fmt"

	"quilldoor/internal/policy"
	"quilldoor/internal/settings"
)

// Batch is one line of input.
type Batch struct {
	Turn      int64
	NowMicros int64
	Events    []json.RawMessage
}

// Message is one event of a batch.
type Message struct {
	Verb     string
	Instance int
	Event    policy.Event

	Seed     uint64
	Settings policy.Settings

	Page      int
	Endpoints []policy.Endpoint
}

// Verbs that concern the host rather than an instance's module.
const (
	VerbPowerOn   = "PowerOn"
	VerbDetach    = "Detach"
	VerbInventory = "Inventory"
	VerbDiscovery = "Discovery"
)

var kinds = map[string]policy.EventKind{
	VerbDiscovery:   policy.EventEndpoints,
	"NewRequest":    policy.EventRequest,
	"Health":        policy.EventHealthCheck,
	"NeighbourSays": policy.EventPeerMessage,
	"Reminder":      policy.EventTimer,
	"Started":       policy.EventResponseStarted,
	"Outdated":      policy.EventPurge,
	"Answer":        policy.EventAttemptEnded,
	"Abandoned":     policy.EventClientGone,
}

var outcomes = map[string]policy.Outcome{
	"done":         policy.OutcomeDone,
	"err":          policy.OutcomeError,
	"busy":         policy.OutcomeBusy,
	"enoent":       policy.OutcomeMiss,
	"etimedout":    policy.OutcomeTimeout,
	"econnrefused": policy.OutcomeConnectionRefused,
	"econnreset":   policy.OutcomeConnectionReset,
	"ecanceled":    policy.OutcomeCanceled,
	"skipped":      policy.OutcomeSkipped,
}

// KnownVerb tells whether a verb stands on the wire's list of events.
func KnownVerb(verb string) bool {
	_, ok := kinds[verb]
	return ok || verb == VerbPowerOn || verb == VerbDetach || verb == VerbInventory
}

func millis(us int64) float64 { return float64(us) / 1000 }

// ReadBatch parses one line.
func ReadBatch(line []byte) (Batch, error) {
	var raw struct {
		ClockMs *float64
		Turn    *int64             `json:"turn"`
		Input   *[]json.RawMessage `json:"input"`
	}
	if err := json.Unmarshal(line, &raw); err != nil {
		return Batch{}, err
	}
	switch {
	case raw.ClockMs == nil:
		return Batch{}, fmt.Errorf("no ClockMs")
	case raw.Turn == nil:
		return Batch{}, fmt.Errorf("no turn")
	case raw.Input == nil:
		return Batch{}, fmt.Errorf("no input")
	}
	return Batch{*raw.Turn, settings.Micros(*raw.ClockMs), *raw.Input}, nil
}

type event struct {
	Verb        string `json:"verb"`
	I           *int
	Seed        uint64
	Setup       *settings.Setup
	Page        *int
	NodesList   []node
	Scope       string
	OpId        string
	Grade       string
	ContentId   string
	RemainingMs float64
	LengthKb    float64
	Piece       float64
	Attrs       int
	BatchId     int64
	Team        any
	RttMs       float64
	Server      string
	Rc          string
	Stats       map[string]float64
	By          int
	Data        string
	Ctx         int64
	RoundNo     int
	AgeMs       float64
	Remark      int
	WaitedMs    float64
	Final       bool
}

type node struct {
	Server       string
	Site         string
	Kind         string
	Stripe       int
	Availability string
	Heft         float64
	BornMs       float64
}

// ReadMessage parses one event of a batch. An unknown verb gives a Message
// with that verb and nothing else.
func ReadMessage(raw json.RawMessage) (Message, error) {
	var head struct {
		Verb *string `json:"verb"`
	}
	if err := json.Unmarshal(raw, &head); err != nil {
		return Message{}, err
	}
	if head.Verb == nil {
		return Message{}, fmt.Errorf("no verb")
	}
	m := Message{Verb: *head.Verb}
	if !KnownVerb(m.Verb) {
		return m, nil
	}
	var e event
	if err := json.Unmarshal(raw, &e); err != nil {
		return m, fmt.Errorf("%s: %w", m.Verb, err)
	}
	if m.Verb != VerbInventory {
		if e.I == nil {
			return m, fmt.Errorf("%s: no I", m.Verb)
		}
		m.Instance = *e.I
	}
	switch m.Verb {
	case VerbPowerOn:
		if e.Setup == nil {
			return m, fmt.Errorf("PowerOn: no Setup")
		}
		m.Seed, m.Settings = e.Seed, e.Setup.PolicySettings()
		return m, nil
	case VerbInventory:
		if e.Page == nil {
			return m, fmt.Errorf("Inventory: no Page")
		}
		m.Page = *e.Page
		for _, n := range e.NodesList {
			m.Endpoints = append(m.Endpoints, policy.Endpoint{
				ID: n.Server, Zone: n.Site, Kind: n.Kind, Cell: n.Stripe,
				State: policy.EndpointState(n.Availability), Weight: n.Heft, StartedAt: settings.Micros(n.BornMs),
			})
		}
		return m, nil
	case VerbDiscovery:
		if e.Page == nil && policy.UpdateScope(e.Scope) != policy.ScopeError {
			return m, fmt.Errorf("Discovery: no Page")
		}
		if e.Page != nil {
			m.Page = *e.Page
		}
	}
	data, err := hex.DecodeString(e.Data)
	if err != nil {
		return m, fmt.Errorf("%s: Data: %w", m.Verb, err)
	}
	tenant, _ := e.Team.(string)
	m.Event = policy.Event{
		Kind: kinds[m.Verb], Scope: policy.UpdateScope(e.Scope), Request: e.OpId, Class: e.Grade, Object: e.ContentId,
		Group: e.BatchId, Part: int64(e.Piece), SizeKB: e.LengthKb, Remaining: settings.Micros(e.RemainingMs),
		ClientRetry: e.Attrs&2 != 0, Write: e.Attrs&4 != 0, Tenant: tenant, Endpoint: e.Server, Attempt: e.RoundNo,
		Outcome: outcomes[e.Rc], Reason: policy.Reason(e.Remark), Final: e.Final, RTT: settings.Micros(e.RttMs), OriginWait: settings.Micros(e.WaitedMs),
		Load: e.Stats, Token: e.Ctx, Age: settings.Micros(e.AgeMs), Peer: e.By, Data: data,
	}
	return m, nil
}

type decision struct {
	Verb       string `json:"verb"`
	I          int
	OpId       string   `json:",omitempty"`
	Server     string   `json:",omitempty"`
	FillFrom   string   `json:",omitempty"`
	Rank       *int     `json:",omitempty"`
	AgeMs      float64  `json:",omitempty"`
	CapMs      float64  `json:",omitempty"`
	Mode       int      `json:",omitempty"`
	RoundNo    *int     `json:",omitempty"`
	StayAwayMs float64  `json:",omitempty"`
	DueAtMs    *float64 `json:",omitempty"`
	Ctx        *int64   `json:",omitempty"`
	Addressee  *int     `json:",omitempty"`
	Data       string   `json:",omitempty"`
	Active     *bool    `json:",omitempty"`
	Message    string   `json:",omitempty"`
}

// Response collects the decisions of one batch.
type Response struct {
	Turn      int64      `json:"turn"`
	Decisions []decision `json:"decisions"`
}

// NewResponse starts the reply to a batch.
func NewResponse(turn int64) *Response { return &Response{turn, []decision{}} }

// Add appends an instance's actions.
func (r *Response) Add(instance int, actions []policy.Action) {
	for _, a := range actions {
		d := decision{I: instance, OpId: a.Request, Server: a.Endpoint}
		switch a.Kind {
		case policy.ActionSend:
			d.Verb, d.FillFrom, d.Rank, d.Mode = "Get", a.Source, &a.CachePriority, int(a.FillMode)
			d.AgeMs, d.CapMs = millis(a.MaxAge), millis(a.Timeout)
		case policy.ActionForward:
			d.Verb, d.CapMs = "PassOn", millis(a.Timeout)
		case policy.ActionFail:
			d.Verb = "RespondError"
		case policy.ActionReject:
			d.Verb, d.StayAwayMs = "OverloadReply", millis(a.RetryAfter)
		case policy.ActionCancel:
			d.Verb, d.RoundNo = "StopAttempt", &a.Attempt
		case policy.ActionSetTimer:
			due := millis(a.Due)
			d.Verb, d.DueAtMs, d.Ctx = "Defer", &due, &a.Token
		case policy.ActionHealthCheck:
			d.Verb = "Ping"
		case policy.ActionSubscribe:
			on := true
			d.Verb, d.Active = "Subscribe", &on
		case policy.ActionFetch:
			d.Verb = "Fetch"
		case policy.ActionLog:
			d.Verb, d.Message = "JournalLine", a.Text
		case policy.ActionTellPeer:
			d.Verb, d.Data = "Say", hex.EncodeToString(a.Data)
			if a.Peer >= 0 {
				d.Addressee = &a.Peer
			}
		case policy.ActionDisconnect:
			d.Verb = "Disconnect"
		case policy.ActionPanic:
			d.Verb, d.Message = "Panic", a.Text
		}
		r.Decisions = append(r.Decisions, d)
	}
}

// Encode writes the reply as one line.
func (r *Response) Encode() ([]byte, error) {
	line, err := json.Marshal(r)
	return append(line, '\n'), err
}
