package handoff

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"quilldoor/internal/cborcodec"
)

// MaxMessageBytes bounds a message. It has room for the state of some thousand endpoints.
const MaxMessageBytes = 8 << 20

// Errors of messages.
var (
	ErrTooLong          = errors.New("handoff: message longer than 8 MB")
	ErrMalformedMessage = errors.New("handoff: malformed message")
)

var decoder = cborcodec.NewStrictDecoder(cborcodec.Limits{
	MaxArrayElements: 100_000, MaxMapPairs: 100_000, MaxNestedLevels: 12, RejectDuplicateKeys: true,
})

// encode returns a message's bytes, without the length.
func encode(m *Message) ([]byte, error) {
	payload, err := cbor.Marshal(m)
	if err != nil {
		return nil, fmt.Errorf("handoff: encode %v: %w", m.Kind, err)
	}
	if len(payload) > MaxMessageBytes {
		return nil, fmt.Errorf("%w: %v of %d bytes", ErrTooLong, m.Kind, len(payload))
	}
	return payload, nil
}

// Decode reads a message's bytes. The error is ErrMalformedMessage.
func Decode(payload []byte) (*Message, error) {
	m := new(Message)
	if err := decoder.Unmarshal(payload, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedMessage, err)
	}
	if m.Kind == 0 {
		return nil, ErrMalformedMessage
	}
	return m, nil
}
