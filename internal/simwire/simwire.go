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
	Turn  int64
	Now   int64
	Input []json.RawMessage
}

// Message is one event of a batch.
type Message struct {
	Verb     string
	Instance int
	Event    policy.Event

	Seed     uint64
	Settings policy.Settings

	Page    int
	Entries []policy.Entry
}

// Verbs that concern the host rather than an instance's module.
const (
	PowerOn   = "PowerOn"
	Detach    = "Detach"
	Inventory = "Inventory"
	Discovery = "Discovery"
)

var kinds = map[string]policy.EventKind{
	Discovery:       policy.EvDiscovery,
	"NewRequest":    policy.EvTxn,
	"Health":        policy.EvHealth,
	"NeighbourSays": policy.EvPeer,
	"Reminder":      policy.EvTimer,
	"Started":       policy.EvStarted,
	"Outdated":      policy.EvPurge,
	"Answer":        policy.EvAnswer,
	"Abandoned":     policy.EvAbandoned,
}

// Known tells whether a verb stands on the wire's list of events.
func Known(verb string) bool {
	_, ok := kinds[verb]
	return ok || verb == PowerOn || verb == Detach || verb == Inventory
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
	if !Known(m.Verb) {
		return m, nil
	}
	var e event
	if err := json.Unmarshal(raw, &e); err != nil {
		return m, fmt.Errorf("%s: %w", m.Verb, err)
	}
	if m.Verb != Inventory {
		if e.I == nil {
			return m, fmt.Errorf("%s: no I", m.Verb)
		}
		m.Instance = *e.I
	}
	switch m.Verb {
	case PowerOn:
		if e.Setup == nil {
			return m, fmt.Errorf("PowerOn: no Setup")
		}
		m.Seed, m.Settings = e.Seed, e.Setup.Logic()
		return m, nil
	case Inventory:
		if e.Page == nil {
			return m, fmt.Errorf("Inventory: no Page")
		}
		m.Page = *e.Page
		for _, n := range e.NodesList {
			m.Entries = append(m.Entries, policy.Entry{
				Server: n.Server, Zone: n.Site, Kind: n.Kind, Cell: n.Stripe,
				State: n.Availability, Weight: n.Heft, Born: settings.Micros(n.BornMs),
			})
		}
		return m, nil
	case Discovery:
		if e.Page == nil && e.Scope != "error" {
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
		Kind: kinds[m.Verb], Scope: e.Scope, Txn: e.OpId, Rule: e.Grade, Object: e.ContentId,
		Group: e.BatchId, Part: int64(e.Piece), SizeKB: e.LengthKb, Remaining: settings.Micros(e.RemainingMs),
		Repeat: e.Attrs&2 != 0, Write: e.Attrs&4 != 0, Tenant: tenant, Server: e.Server, Hop: e.RoundNo,
		Code: e.Rc, Note: e.Remark, Final: e.Final, RTT: settings.Micros(e.RttMs), Waited: settings.Micros(e.WaitedMs),
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

// Reply collects the decisions of one batch.
type Reply struct {
	Turn      int64      `json:"turn"`
	Decisions []decision `json:"decisions"`
}

// NewReply starts the reply to a batch.
func NewReply(turn int64) *Reply { return &Reply{turn, []decision{}} }

// Add appends an instance's actions.
func (r *Reply) Add(instance int, actions []policy.Action) {
	for _, a := range actions {
		d := decision{I: instance, OpId: a.Txn, Server: a.Server}
		switch a.Kind {
		case policy.ActGet:
			d.Verb, d.FillFrom, d.Rank, d.Mode = "Get", a.Source, &a.Rank, a.Mode
			d.AgeMs, d.CapMs = millis(a.Age), millis(a.Cap)
		case policy.ActPass:
			d.Verb, d.CapMs = "PassOn", millis(a.Cap)
		case policy.ActAbort:
			d.Verb = "RespondError"
		case policy.ActReject:
			d.Verb, d.StayAwayMs = "OverloadReply", millis(a.Stay)
		case policy.ActCancel:
			d.Verb, d.RoundNo = "StopAttempt", &a.Hop
		case policy.ActTimer:
			due := millis(a.Due)
			d.Verb, d.DueAtMs, d.Ctx = "Defer", &due, &a.Token
		case policy.ActProbe:
			d.Verb = "Ping"
		case policy.ActSubscribe:
			on := true
			d.Verb, d.Active = "Subscribe", &on
		case policy.ActFetch:
			d.Verb = "Fetch"
		case policy.ActLog:
			d.Verb, d.Message = "JournalLine", a.Text
		case policy.ActTell:
			d.Verb, d.Data = "Say", hex.EncodeToString(a.Data)
			if a.Peer >= 0 {
				d.Addressee = &a.Peer
			}
		case policy.ActDisconnect:
			d.Verb = "Disconnect"
		case policy.ActPanic:
			d.Verb, d.Message = "Panic", a.Text
		}
		r.Decisions = append(r.Decisions, d)
	}
}

// Encode writes the reply as one line.
func (r *Reply) Encode() ([]byte, error) {
	line, err := json.Marshal(r)
	return append(line, '\n'), err
}
