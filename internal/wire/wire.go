// Package wire reads and writes the simulator's JSON wire. It turns times into
// whole microseconds and names into those of package logic, and decides nothing.
package wire

import (
	"encoding/hex"
	"encoding/json"
	"fmt"
	"math"

	"quilldoor/logic"
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
	Event    logic.Event

	Seed     uint64
	Settings logic.Settings

	Page    int
	Entries []logic.Entry
}

// Verbs that concern the host rather than an instance's module.
const (
	PowerOn   = "PowerOn"
	Detach    = "Detach"
	Inventory = "Inventory"
	Discovery = "Discovery"
)

var kinds = map[string]logic.EventKind{
	Discovery:       logic.EvDiscovery,
	"NewRequest":    logic.EvTxn,
	"Health":        logic.EvHealth,
	"NeighbourSays": logic.EvPeer,
	"Reminder":      logic.EvTimer,
	"Started":       logic.EvStarted,
	"Outdated":      logic.EvPurge,
	"Answer":        logic.EvAnswer,
	"Abandoned":     logic.EvAbandoned,
}

// Known tells whether a verb stands on the wire's list of events.
func Known(verb string) bool {
	_, ok := kinds[verb]
	return ok || verb == PowerOn || verb == Detach || verb == Inventory
}

func micros(ms float64) int64 { return int64(math.Round(ms * 1000)) }

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
	return Batch{*raw.Turn, micros(*raw.ClockMs), *raw.Input}, nil
}

type event struct {
	Verb        string `json:"verb"`
	I           *int
	Seed        uint64
	Setup       *setup
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

type setup struct {
	Rank, Siblings int
	Zone           string
	Zones, Kinds   []string
	Classes        []struct {
		Name, Effect, Group             string
		DedupWindowMs, TargetMs         float64
		GiveUpMs, AimStretch, LateShare float64
		Value                           float64
		Streamed                        bool
	}
	Tenants []struct {
		Name               string
		QuotaPerS, Portion float64
	}
	OverShareWorth float64
	Callers        struct{ MarksRetry bool }
	Discovery      string
	Contract       struct {
		AnswerSlackMs, AskEveryMs, ColdFrom, ColdMs float64
		DrainGraceMs, FallMs, FallMultiple          float64
	}
	Limits struct {
		Cancel, PeerMessages, Probes, RetryAfter, SecondCopies bool
		MostTries, MaxOpen, StreamsPerConn                     int
		MaxRetryAfterMs, ConnectTimeoutMs                      float64
	}
	FamilyInfo struct {
		BypassAllowed, Collapses              bool
		ClassGraceMs, GoodForMs, WorthWhenOld []float64
		GoesThrough, MultiPart                []bool
		ClearedWithinMs, PurgeGraceMs         float64
		FeedKbPerS                            []float64
		FlowKbPerS, LinkPrice                 float64
		HubByZone, ZoneBalancers              []int
		MasterKind                            int
		SecondTierKind                        *int
		NotesGiven, Sideways                  string
		OriginFallMs, OriginFallMultiple      float64
		ParentColdFrom, ParentRampMs          float64
		UpperFallMultiple                     float64
	}
	LoadReport struct {
		Fields []string
		How    string
	}
	WeightKind string
	RoundMs    float64
}

func at[T any](list []T, i int) (v T) {
	if i < len(list) {
		v = list[i]
	}
	return v
}

func (s *setup) settings() logic.Settings {
	f, c, l := &s.FamilyInfo, &s.Contract, &s.Limits
	out := logic.Settings{
		Rank: s.Rank, Siblings: s.Siblings, Zone: s.Zone, Zones: s.Zones, Kinds: s.Kinds,
		OverShareWorth: s.OverShareWorth, MarksRetry: s.Callers.MarksRetry, Discovery: s.Discovery,
		WeightKind: s.WeightKind, Round: micros(s.RoundMs),
		Contract: logic.Contract{
			AnswerSlack: micros(c.AnswerSlackMs), AskEvery: micros(c.AskEveryMs), ColdFor: micros(c.ColdMs),
			DrainGrace: micros(c.DrainGraceMs), FallFor: micros(c.FallMs),
			ColdFrom: c.ColdFrom, FallMultiple: c.FallMultiple,
		},
		Limits: logic.Limits{
			Cancel: l.Cancel, Peers: l.PeerMessages, Probes: l.Probes, RetryAfter: l.RetryAfter,
			SecondCopies: l.SecondCopies, MaxHops: l.MostTries, MaxOpen: l.MaxOpen,
			StreamsPerConn: l.StreamsPerConn, MaxRetryAfter: micros(l.MaxRetryAfterMs),
			ConnectTimeout: micros(l.ConnectTimeoutMs),
		},
		Family: logic.Family{
			Direct: f.BypassAllowed, Joins: f.Collapses, OriginKind: f.MasterKind, ParentKind: -1,
			FlowKBPerS: f.FlowKbPerS, LinkPrice: f.LinkPrice, ParentColdFrom: f.ParentColdFrom,
			ParentColdFor: micros(f.ParentRampMs), ParentFallMultiple: f.UpperFallMultiple,
			PurgeDone: micros(f.ClearedWithinMs), PurgeGrace: micros(f.PurgeGraceMs),
			Siblings: f.Sideways, Tells: f.NotesGiven, ZoneBalancers: f.ZoneBalancers,
			HubByZone: f.HubByZone, LinkKBPerS: f.FeedKbPerS,
			OriginFallMultiple: f.OriginFallMultiple, OriginFallFor: micros(f.OriginFallMs),
		},
		Report: logic.Report{How: s.LoadReport.How, Fields: s.LoadReport.Fields},
	}
	if f.SecondTierKind != nil {
		out.Family.ParentKind = *f.SecondTierKind
	}
	for i, k := range s.Classes {
		out.Rules = append(out.Rules, logic.RemapRule{
			Name: k.Name, Effect: k.Effect, Group: k.Group, Window: micros(k.DedupWindowMs),
			SLA: micros(k.TargetMs), Stretch: k.AimStretch, TimeLimit: micros(k.GiveUpMs),
			Importance: k.Value, LateShare: k.LateShare, Streamed: k.Streamed,
			Fresh: micros(at(f.GoodForMs, i)), Grace: micros(at(f.ClassGraceMs, i)),
			StaleShare: at(f.WorthWhenOld, i), Write: at(f.GoesThrough, i), Parts: at(f.MultiPart, i),
		})
	}
	for _, t := range s.Tenants {
		out.Tenants = append(out.Tenants, logic.Tenant(t))
	}
	return out
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
		m.Seed, m.Settings = e.Seed, e.Setup.settings()
		return m, nil
	case Inventory:
		if e.Page == nil {
			return m, fmt.Errorf("Inventory: no Page")
		}
		m.Page = *e.Page
		for _, n := range e.NodesList {
			m.Entries = append(m.Entries, logic.Entry{
				Server: n.Server, Zone: n.Site, Kind: n.Kind, Cell: n.Stripe,
				State: n.Availability, Weight: n.Heft, Born: micros(n.BornMs),
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
	m.Event = logic.Event{
		Kind: kinds[m.Verb], Scope: e.Scope, Txn: e.OpId, Rule: e.Grade, Object: e.ContentId,
		Group: e.BatchId, Part: int64(e.Piece), SizeKB: e.LengthKb, Remaining: micros(e.RemainingMs),
		Repeat: e.Attrs&2 != 0, Write: e.Attrs&4 != 0, Tenant: tenant, Server: e.Server, Hop: e.RoundNo,
		Code: e.Rc, Note: e.Remark, Final: e.Final, RTT: micros(e.RttMs), Waited: micros(e.WaitedMs),
		Load: e.Stats, Token: e.Ctx, Age: micros(e.AgeMs), Peer: e.By, Data: data,
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
func (r *Reply) Add(instance int, actions []logic.Action) {
	for _, a := range actions {
		d := decision{I: instance, OpId: a.Txn, Server: a.Server}
		switch a.Kind {
		case logic.ActGet:
			d.Verb, d.FillFrom, d.Rank, d.Mode = "Get", a.Source, &a.Rank, a.Mode
			d.AgeMs, d.CapMs = millis(a.Age), millis(a.Cap)
		case logic.ActPass:
			d.Verb, d.CapMs = "PassOn", millis(a.Cap)
		case logic.ActAbort:
			d.Verb = "RespondError"
		case logic.ActReject:
			d.Verb, d.StayAwayMs = "OverloadReply", millis(a.Stay)
		case logic.ActCancel:
			d.Verb, d.RoundNo = "StopAttempt", &a.Hop
		case logic.ActTimer:
			due := millis(a.Due)
			d.Verb, d.DueAtMs, d.Ctx = "Defer", &due, &a.Token
		case logic.ActProbe:
			d.Verb = "Ping"
		case logic.ActSubscribe:
			on := true
			d.Verb, d.Active = "Subscribe", &on
		case logic.ActFetch:
			d.Verb = "Fetch"
		case logic.ActLog:
			d.Verb, d.Message = "JournalLine", a.Text
		case logic.ActTell:
			d.Verb, d.Data = "Say", hex.EncodeToString(a.Data)
			if a.Peer >= 0 {
				d.Addressee = &a.Peer
			}
		case logic.ActDisconnect:
			d.Verb = "Disconnect"
		case logic.ActPanic:
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
