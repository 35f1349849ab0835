package rollout

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"quilldoor/internal/cborcodec"
)

// MessagePrefix begins each encoded Message. It tells them apart from the other messages
// that the membership transport carries, since no CBOR map begins with these bytes.
var MessagePrefix = []byte("\xffR1")

// ErrMalformedMessage is returned by Decode.
var ErrMalformedMessage = errors.New("rollout: malformed message")

var decoder = cborcodec.NewStrictDecoder(cborcodec.Limits{
	MaxArrayElements: 1024, MaxMapPairs: 64, MaxNestedLevels: 6, RejectDuplicateKeys: true,
})

const (
	// maxMessageBytes is what one datagram of the membership transport carries. A longer
	// report leaves out its counts of traffic classes.
	maxMessageBytes = 1000
	// maxReasonBytes bounds each text for people in a message.
	maxReasonBytes = 160
	// maxSetBytes bounds a Set.
	maxSetBytes = MaxRouters / 8
)

// Encode returns a message with MessagePrefix, and shortens what would not fit: each text
// for people to 160 bytes; and where the whole would be longer than 1000 bytes, as one
// datagram of the membership transport carries, it leaves out the report's counts of
// traffic classes.
func Encode(m *Message) ([]byte, error) {
	m = withShortTexts(m)
	encoded, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("rollout: encode message of kind %d: %w", m.Kind, err)
	}
	if len(MessagePrefix)+len(encoded) > maxMessageBytes && m.Report != nil && len(m.Report.Counts.Classes) > 0 {
		return Encode(withoutClasses(m))
	}
	return append(bytes.Clone(MessagePrefix), encoded...), nil
}

// withShortTexts returns the message, or a copy with its texts cut to maxReasonBytes.
func withShortTexts(message *Message) *Message {
	if message.State != nil && len(message.State.Reason) > maxReasonBytes {
		state := *message.State
		state.Reason = truncate(state.Reason)
		shortened := *message
		shortened.State = &state
		message = &shortened
	}
	if message.Report != nil &&
		(len(message.Report.FailureReason) > maxReasonBytes || len(message.Report.FirstViolation) > maxReasonBytes) {
		report := *message.Report
		report.FailureReason = truncate(report.FailureReason)
		report.FirstViolation = truncate(report.FirstViolation)
		shortened := *message
		shortened.Report = &report
		message = &shortened
	}
	return message
}

func truncate(text string) string { return text[:min(len(text), maxReasonBytes)] }

func withoutClasses(m *Message) *Message {
	report := *m.Report
	report.Counts.Classes = nil
	shortened := *m
	shortened.Report = &report
	return &shortened
}

// Decode reads what Encode wrote. Its errors wrap ErrMalformedMessage.
func Decode(body []byte) (*Message, error) {
	encoded, ok := bytes.CutPrefix(body, MessagePrefix)
	if !ok {
		return nil, ErrMalformedMessage
	}
	m := new(Message)
	if err := decoder.Unmarshal(encoded, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedMessage, err)
	}
	if m.Kind == 0 || m.State != nil && !m.State.wellFormed() {
		return nil, ErrMalformedMessage
	}
	return m, nil
}

func (s *State) wellFormed() bool {
	return len(s.Batch) <= maxSetBytes && len(s.Changed) <= maxSetBytes && len(s.Skipped) <= maxSetBytes && s.Stage >= 0
}
