package simwire

import (
	"encoding/json"

	"quilldoor/internal/policy"
)

// Response is the reply to a batch.
type Response struct {
	Turn      int64      `json:"turn"`
	Decisions []decision `json:"decisions"`
}

// decision holds the members of the decisions of all verbs.
type decision struct {
	Verb          string   `json:"verb"`
	Instance      int      `json:"I"`
	Request       string   `json:"OpId,omitempty"`
	Endpoint      string   `json:"Server,omitempty"`
	Source        string   `json:"FillFrom,omitempty"`
	CachePriority *int     `json:"Rank,omitempty"`
	MaxAge        float64  `json:"AgeMs,omitempty"`
	Timeout       float64  `json:"CapMs,omitempty"`
	FillMode      int      `json:"Mode,omitempty"`
	Attempt       *int     `json:"RoundNo,omitempty"`
	RetryAfter    float64  `json:"StayAwayMs,omitempty"`
	Due           *float64 `json:"DueAtMs,omitempty"`
	Token         *int64   `json:"Ctx,omitempty"`
	Active        *bool    `json:"Active,omitempty"`
	Message       string   `json:"Message,omitempty"`
}

// NewResponse returns a reply without decisions to the batch of a turn.
func NewResponse(turn int64) *Response { return &Response{turn, []decision{}} }

// Add appends the decisions for a router's actions.
func (r *Response) Add(instance int, actions []policy.Action) {
	for i := range actions {
		r.Decisions = append(r.Decisions, newDecision(instance, &actions[i]))
	}
}

// Encode writes the reply as one line.
func (r *Response) Encode() ([]byte, error) {
	line, err := json.Marshal(r)
	return append(line, '\n'), err
}

func newDecision(instance int, action *policy.Action) decision {
	d := decision{Instance: instance, Request: action.Request, Endpoint: action.Endpoint}
	switch action.Kind {
	case policy.ActionSend:
		d.Verb = "Get"
		d.Source = action.Source
		d.CachePriority = copyOf(action.CachePriority)
		d.FillMode = int(action.FillMode)
		d.MaxAge = millis(action.MaxAge)
		d.Timeout = millis(action.Timeout)
	case policy.ActionFail:
		d.Verb = "RespondError"
	case policy.ActionReject:
		d.Verb = "OverloadReply"
		d.RetryAfter = millis(action.RetryAfter)
	case policy.ActionCancel:
		d.Verb = "StopAttempt"
		d.Attempt = copyOf(action.Attempt)
	case policy.ActionSetTimer:
		d.Verb = "Defer"
		d.Due = copyOf(millis(action.Due))
		d.Token = copyOf(action.Token)
	case policy.ActionHealthCheck:
		d.Verb = "Ping"
	case policy.ActionSubscribe:
		d.Verb = "Subscribe"
		d.Active = copyOf(true)
	case policy.ActionLog: // the wire's JournalLine has no endpoint member: the message names it
		d.Verb = "JournalLine"
		d.Endpoint = ""
		d.Message = journalTexts[action.Text] + ": " + action.Endpoint
	case policy.ActionPanic:
		d.Verb = "Panic"
		d.Message = action.Text
	}
	return d
}

// journalTexts maps the policy's log texts to those of the wire.
var journalTexts = map[string]string{
	policy.LogEjected:    "server rests",
	policy.LogReadmitted: "server is back",
}

func millis(micros int64) float64 { return float64(micros) / 1000 }

// copyOf returns a pointer to a copy of a value, so that JSON includes it even if it is zero. The copy is needed
// since the caller reuses its actions.
func copyOf[T any](v T) *T { return &v }
