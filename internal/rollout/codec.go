package rollout

import (
	"bytes"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"quilldoor/internal/cborcodec"
)

// MessagePrefix begins each encoded Message. It distinguishes rollout messages from the
// others that the membership transport carries, since no CBOR map begins with these bytes.
var MessagePrefix = []byte("\xffR1")

// ErrMalformedMessage is returned by Decode for bytes that are not a valid message.
var ErrMalformedMessage = errors.New("rollout: malformed message")

var decoder = cborcodec.NewStrictDecoder(cborcodec.Limits{
	MaxArrayElements: 1024, MaxMapPairs: 64, MaxNestedLevels: 6, RejectDuplicateKeys: true,
})

const (
	// maxMessageBytes is the size of a message that fits into one datagram of the membership
	// transport. Longer messages omit the report's counts of traffic classes.
	maxMessageBytes = 1000
	// maxReasonBytes bounds each free text in a message.
	maxReasonBytes = 160
	// maxSetBytes bounds the encoded length of a Set.
	maxSetBytes = MaxRouters / 8
)

// Encode returns the encoding of a message, with MessagePrefix. It cuts each free text
// (State.Reason, Report.FailureReason, Report.FirstViolation) to 160 bytes. If the whole is
// longer than 1000 bytes, the size that fits into one datagram of the membership transport,
// it omits the report's counts of traffic classes.
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

// withShortTexts returns the message itself, or a copy whose free texts are cut to
// maxReasonBytes.
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

// withoutClasses returns a copy of a message with a report, without its counts of traffic
// classes.
func withoutClasses(m *Message) *Message {
	report := *m.Report
	report.Counts.Classes = nil
	shortened := *m
	shortened.Report = &report
	return &shortened
}

// Decode decodes a message that Encode returned. Its errors wrap ErrMalformedMessage.
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

// wellFormed reports whether the sets of a received state are within bounds and its stage is
// not negative.
func (s *State) wellFormed() bool {
	return len(s.Batch) <= maxSetBytes && len(s.Changed) <= maxSetBytes && len(s.Skipped) <= maxSetBytes && s.Stage >= 0
}
