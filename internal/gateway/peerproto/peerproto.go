// Package peerproto is the codec of the protocol between routers of different sites. A frame
// has a kind, the number of a request on its connection and a payload of bounded length.
// docs/gateway.md describes the protocol.
package peerproto

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"quilldoor/internal/cborcodec"
)

// Version of the protocol. A connection between routers of different versions is closed in
// the handshake.
const Version = 1

// Kind of a frame.
type Kind uint8

// The kinds of frames. The payloads of KindData and KindWindow are plain bytes, and KindCancel
// and KindGoodbye have none. All other payloads are CBOR arrays (RFC 8949).
const (
	KindHello     Kind = 1 + iota // Hello, the first frame in each direction
	KindHeartbeat                 // Heartbeat
	KindRequest                   // Request; its body follows as KindData
	KindAnswer                    // Answer; its body follows as KindData
	KindData                      // bytes of a body
	KindWindow                    // 4 bytes: how many more bytes of the response body may be sent
	KindCancel                    // the request is cancelled
	KindGoodbye                   // no new requests are accepted; the connection and the requests in flight on it end
	lastKind      = KindGoodbye
)

// Sizes in bytes.
const (
	MaxPayload    = 16 << 10 // of a frame
	InitialWindow = 64 << 10 // of a response body, sent before the receiver grants more
	windowSize    = 4        // payload of KindWindow
	headerSize    = 8        // payload length: 3, kind: 1, request number: 4
)

// ErrMalformed is wrapped by every error about a frame that violates the protocol.
var ErrMalformed = errors.New("malformed frame")

// Hello identifies a router at the start of a connection.
type Hello struct {
	_           struct{} `cbor:",toarray"`
	Version     uint16
	Name, Site  string
	Incarnation uint64
}

// Heartbeat reports how many requests a router offers to accept and whether it drains. SentAt
// is the sender's clock. EchoedAt is the SentAt of the heartbeat that the sender received
// last, 0 if none, and HeldTime the time since it received that one. All times are
// microseconds.
type Heartbeat struct {
	_                  struct{} `cbor:",toarray"`
	SentAt             int64
	EchoedAt, HeldTime int64
	Capacity           int32
	Draining           bool
}

// Purge is a purge, known to the forwarding site, that covers a request.
type Purge struct {
	_     struct{} `cbor:",toarray"`
	Group bool     // it covers the request's group, else only the object
	At    int64    // when it was issued, in Unix microseconds
}

// Request is a forwarded request. Times are microseconds.
type Request struct {
	_         struct{} `cbor:",toarray"`
	SentAt    int64    // the sender's clock
	Budget    int64    // time left for the request at the receiver
	RequestID string
	Class     string
	Object    string
	Part      int64
	Group     int64
	Tag       string // ETag of the client's copy
	Repeat    bool   // the client retries the request
	Write     bool
	BodyBytes int32    // length of the body
	Route     []string // routers that have forwarded the request, the first one first
	Purges    []Purge
}

// Answer is the result of a forwarded request.
type Answer struct {
	_            struct{} `cbor:",toarray"`
	Outcome      uint8    // a peerpolicy.Outcome
	NeverRan     bool     // the request was not executed by the answering site
	NotModified  bool     // the client's copy, whose tag was in the request, is current
	RetryAfter   int64    // microseconds
	Tag          string   // ETag of the copy
	IssuedMillis int64    // when the origin issued the copy, in Unix milliseconds
	BodyBytes    int32    // length of the body
}

// decoder bounds the elements of a payload.
var decoder = cborcodec.NewStrictDecoder(cborcodec.Limits{
	MaxArrayElements: 256, MaxMapPairs: 16, MaxNestedLevels: 4,
})

// Frame is a received frame. Payload is valid until the reader reads the next frame.
type Frame struct {
	Kind    Kind
	Number  uint32 // of the request on its connection; 0: the frame belongs to no request
	Payload []byte
}

// Append appends a frame with a CBOR payload to b.
func Append(b []byte, kind Kind, number uint32, payload any) ([]byte, error) {
	encoded, err := cbor.Marshal(payload)
	if err != nil {
		return b, err
	}
	return AppendRaw(b, kind, number, encoded)
}

// AppendRaw appends a frame with a payload of plain bytes to b.
func AppendRaw(b []byte, kind Kind, number uint32, payload []byte) ([]byte, error) {
	if len(payload) > MaxPayload {
		return b, fmt.Errorf("%w: payload of %d bytes, at most %d allowed", ErrMalformed, len(payload), MaxPayload)
	}
	b = append(b, byte(len(payload)), byte(len(payload)>>8), byte(len(payload)>>16), byte(kind))
	b = binary.LittleEndian.AppendUint32(b, number)
	return append(b, payload...), nil
}

// AppendWindow appends a frame to b that grants the sender of a body that many more bytes.
func AppendWindow(b []byte, number uint32, bytes int) []byte {
	b, _ = AppendRaw(b, KindWindow, number, binary.LittleEndian.AppendUint32(nil, uint32(bytes)))
	return b
}

// Reader reads frames from a connection.
type Reader struct {
	r   *bufio.Reader
	buf [MaxPayload]byte
}

// NewReader returns a Reader that reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, 4<<10)} }

// Next reads a frame. After an error that wraps ErrMalformed, no further frame can be read.
func (r *Reader) Next() (f Frame, err error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r.r, header[:]); err != nil {
		return f, err
	}
	length := int(header[0]) | int(header[1])<<8 | int(header[2])<<16
	f.Kind = Kind(header[3])
	f.Number = binary.LittleEndian.Uint32(header[4:])
	if err := f.checkHeader(length); err != nil {
		return f, err
	}
	if _, err := io.ReadFull(r.r, r.buf[:length]); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return f, err
	}
	f.Payload = r.buf[:length]
	return f, nil
}

// checkHeader validates the payload's length, the kind and the request number.
func (f Frame) checkHeader(length int) error {
	noPayload := f.Kind == KindCancel || f.Kind == KindGoodbye
	noNumber := f.Kind == KindHello || f.Kind == KindHeartbeat || f.Kind == KindGoodbye
	switch {
	case length > MaxPayload:
		return fmt.Errorf("%w: payload of %d bytes, at most %d allowed", ErrMalformed, length, MaxPayload)
	case f.Kind == 0 || f.Kind > lastKind:
		return fmt.Errorf("%w: unknown kind %d", ErrMalformed, f.Kind)
	case f.Kind == KindWindow && length != windowSize, noPayload && length != 0:
		return fmt.Errorf("%w: payload of %d bytes in a frame of kind %d", ErrMalformed, length, f.Kind)
	case noNumber != (f.Number == 0):
		return fmt.Errorf("%w: frame of kind %d with request number %d", ErrMalformed, f.Kind, f.Number)
	}
	return nil
}

// Window returns the number of bytes that a KindWindow frame grants.
func (f Frame) Window() int { return int(binary.LittleEndian.Uint32(f.Payload)) }

// Decode decodes a CBOR payload into a message.
func (f Frame) Decode(message any) error {
	if err := decoder.Unmarshal(f.Payload, message); err != nil {
		return fmt.Errorf("%w: payload of a frame of kind %d: %w", ErrMalformed, f.Kind, err)
	}
	return nil
}
