// Package peerproto is the codec of the protocol between routers of two sites: frames of
// a kind, a request's number and a payload, with bounded lengths. It reads from a reader
// and appends to buffers. docs/gateway.md describes the protocol.
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

// Version of the protocol. Routers of different versions don't talk.
const Version = 1

// Kind of a frame.
type Kind uint8

// The kinds. Payloads but those of KindData and KindWindow are CBOR arrays (RFC 8949).
const (
	KindHello     Kind = 1 + iota // Hello, the first frame each way
	KindHeartbeat                 // Heartbeat
	KindRequest                   // Request; its body follows as KindData
	KindAnswer                    // Answer; its body follows as KindData
	KindData                      // bytes of a body
	KindWindow                    // 4 bytes: so many more bytes of this body may be sent
	KindCancel                    // none: the request is given up
	KindGoodbye                   // none: nothing new is taken; the connection ends with what is in flight
	lastKind      = KindGoodbye
)

// Bounds of the protocol: a frame's payload, and what of a body may be under way
// before the other side has room for it.
const (
	MaxPayload    = 16 << 10
	InitialWindow = 64 << 10
	windowSize    = 4
	headerSize    = 8 // length of the payload 3, kind 1, request's number 4
)

// ErrMalformed is behind every error about what a peer wrote.
var ErrMalformed = errors.New("malformed frame")

// Hello is a router's greeting.
type Hello struct {
	_           struct{} `cbor:",toarray"`
	Version     uint16
	Name, Site  string
	Incarnation uint64
}

// Heartbeat tells what a router offers. Times are microseconds of its own clock; EchoedAt
// is SentAt of the last heartbeat that came from the other one, HeldTime how long ago that
// was.
type Heartbeat struct {
	_                  struct{} `cbor:",toarray"`
	SentAt             int64
	EchoedAt, HeldTime int64
	Capacity           int32
	Draining           bool
}

// Purge is one that covers a request at the forwarding site.
type Purge struct {
	_     struct{} `cbor:",toarray"`
	Group bool     // else of the object
	At    int64    // Unix microseconds
}

// Request is a forwarded request. Times are microseconds, SentAt of the sender's clock.
type Request struct {
	_         struct{} `cbor:",toarray"`
	SentAt    int64
	Budget    int64 // left of its time
	RequestID string
	Class     string
	Object    string
	Part      int64
	Group     int64
	Tag       string
	Repeat    bool
	Write     bool
	BodyBytes int32
	Route     []string
	Purges    []Purge
}

// Answer ends a request.
type Answer struct {
	_            struct{} `cbor:",toarray"`
	Outcome      uint8    // a peerpolicy.Outcome
	NeverRan     bool     // it was not executed here
	NotModified  bool     // the copy whose tag was sent is current
	RetryAfter   int64
	Tag          string
	IssuedMillis int64 // Unix milliseconds
	BodyBytes    int32
}

// decoder bounds what a payload may hold.
var decoder = cborcodec.NewStrictDecoder(cborcodec.Limits{
	MaxArrayElements: 256, MaxMapPairs: 16, MaxNestedLevels: 4,
})

// Frame is one as it arrived. Payload is valid until the next one is read.
type Frame struct {
	Kind    Kind
	Number  uint32 // of the request on its connection; 0: none
	Payload []byte
}

// Append writes a frame with a CBOR payload.
func Append(b []byte, k Kind, number uint32, payload any) ([]byte, error) {
	p, err := cbor.Marshal(payload)
	if err != nil {
		return b, err
	}
	return AppendRaw(b, k, number, p)
}

// AppendRaw writes a frame with a payload of bytes.
func AppendRaw(b []byte, k Kind, number uint32, p []byte) ([]byte, error) {
	if len(p) > MaxPayload {
		return b, fmt.Errorf("%w: %d bytes, %d at most", ErrMalformed, len(p), MaxPayload)
	}
	b = append(b, byte(len(p)), byte(len(p)>>8), byte(len(p)>>16), byte(k))
	b = binary.LittleEndian.AppendUint32(b, number)
	return append(b, p...), nil
}

// AppendWindow writes that so many more bytes may be sent.
func AppendWindow(b []byte, number uint32, n int) []byte {
	b, _ = AppendRaw(b, KindWindow, number, binary.LittleEndian.AppendUint32(nil, uint32(n)))
	return b
}

// Reader reads frames.
type Reader struct {
	r   *bufio.Reader
	buf [MaxPayload]byte
}

// NewReader reads from r.
func NewReader(r io.Reader) *Reader { return &Reader{r: bufio.NewReaderSize(r, 4<<10)} }

// Next reads a frame. After ErrMalformed the connection is of no use.
func (r *Reader) Next() (f Frame, err error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r.r, header[:]); err != nil {
		return f, err
	}
	n := int(header[0]) | int(header[1])<<8 | int(header[2])<<16
	f.Kind = Kind(header[3])
	f.Number = binary.LittleEndian.Uint32(header[4:])
	if err := f.check(n); err != nil {
		return f, err
	}
	if _, err := io.ReadFull(r.r, r.buf[:n]); err != nil {
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return f, err
	}
	f.Payload = r.buf[:n]
	return f, nil
}

// check checks a header: the payload's length, the kind, and whether it has a number.
func (f Frame) check(length int) error {
	noPayload := f.Kind == KindCancel || f.Kind == KindGoodbye
	noNumber := f.Kind == KindHello || f.Kind == KindHeartbeat || f.Kind == KindGoodbye
	switch {
	case length > MaxPayload:
		return fmt.Errorf("%w: %d bytes, %d at most", ErrMalformed, length, MaxPayload)
	case f.Kind == 0 || f.Kind > lastKind:
		return fmt.Errorf("%w: kind %d", ErrMalformed, f.Kind)
	case f.Kind == KindWindow && length != windowSize, noPayload && length != 0:
		return fmt.Errorf("%w: %d bytes in a frame of kind %d", ErrMalformed, length, f.Kind)
	case noNumber != (f.Number == 0):
		return fmt.Errorf("%w: kind %d of request %d", ErrMalformed, f.Kind, f.Number)
	}
	return nil
}

// Window is the number of bytes of a KindWindow frame.
func (f Frame) Window() int { return int(binary.LittleEndian.Uint32(f.Payload)) }

// Decode reads a CBOR payload.
func (f Frame) Decode(into any) error {
	if err := decoder.Unmarshal(f.Payload, into); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}
