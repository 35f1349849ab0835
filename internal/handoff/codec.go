package handoff

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"quilldoor/internal/cborcodec"
)

// MaxMessageBytes bounds an encoded message. It leaves room for the state of several
// thousand endpoints.
const MaxMessageBytes = 8 << 20

// Errors of encoding and decoding.
var (
	ErrMessageTooLong   = errors.New("handoff: message longer than 8 MiB")
	ErrMalformedMessage = errors.New("handoff: malformed message")
)

var decoder = cborcodec.NewStrictDecoder(cborcodec.Limits{
	MaxArrayElements: 100_000, MaxMapPairs: 100_000, MaxNestedLevels: 12, RejectDuplicateKeys: true,
})

// encode returns the message as CBOR, without the length that precedes it on a connection.
func encode(message *Message) ([]byte, error) {
	payload, err := cbor.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("handoff: encode %v: %w", message.Kind, err)
	}
	if len(payload) > MaxMessageBytes {
		return nil, fmt.Errorf("%w: %v of %d bytes", ErrMessageTooLong, message.Kind, len(payload))
	}
	return payload, nil
}

// Decode decodes a message from CBOR. Its errors wrap ErrMalformedMessage.
func Decode(payload []byte) (*Message, error) {
	message := new(Message)
	if err := decoder.Unmarshal(payload, message); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformedMessage, err)
	}
	if message.Kind == 0 {
		return nil, fmt.Errorf("%w: no kind", ErrMalformedMessage)
	}
	return message, nil
}
