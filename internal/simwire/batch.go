package simwire

import (
	"encoding/json"

	"quilldoor/internal/settings"
)

// Batch is one line of input: the events of one turn, which all happen at NowMicros.
type Batch struct {
	Turn      int64
	NowMicros int64
	Events    []json.RawMessage // to be parsed by ReadMessage
}

// MissingMemberError reports that a batch or a message lacks a member.
type MissingMemberError struct {
	Verb   string // of the message; "": a batch, or a message without a verb
	Member string
}

func (e *MissingMemberError) Error() string {
	if e.Verb == "" {
		return "missing member " + e.Member
	}
	return e.Verb + ": missing member " + e.Member
}

// ReadBatch parses one line. The error for a missing member is a MissingMemberError.
func ReadBatch(line []byte) (Batch, error) {
	var raw struct {
		ClockMs *float64           `json:"ClockMs"`
		Turn    *int64             `json:"turn"`
		Input   *[]json.RawMessage `json:"input"`
	}
	if err := json.Unmarshal(line, &raw); err != nil {
		return Batch{}, err
	}
	switch {
	case raw.ClockMs == nil:
		return Batch{}, &MissingMemberError{Member: "ClockMs"}
	case raw.Turn == nil:
		return Batch{}, &MissingMemberError{Member: "turn"}
	case raw.Input == nil:
		return Batch{}, &MissingMemberError{Member: "input"}
	}
	return Batch{*raw.Turn, settings.Micros(*raw.ClockMs), *raw.Input}, nil
}
