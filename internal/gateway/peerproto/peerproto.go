// Package peerproto is the codec of the protocol between sites: frames of a kind, a
// txn's number and a payload, length-checked. It does no I/O of its own but read
// and append; docs/gateway.md tells the protocol.
package peerproto

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
)

// Version of the protocol. Sides of different versions don't talk.
const Version = 1

// Kind of a frame.
type Kind uint8

// Kinds. Payloads but those of Data and Window are CBOR arrays (RFC 8949).
const (
	KindHello     Kind = 1 + iota // Hello, the first frame each way
	KindHeartbeat                 // Beat
	KindRequest                   // Ask; its body follows as Data
	KindAnswer                    // Answer; its body follows as Data
	KindData                      // bytes of a body
	KindWindow                    // 4 bytes: so many more bytes of this body may be sent
	KindCancel                    // none: the txn is given up
	KindGoodbye                   // none: nothing new is taken; the connection ends with what is out
	lastKind      = KindGoodbye
)

// Bounds of the protocol: a frame's payload, and what of a body may be under way
// before the other side has room for it.
const (
	MaxPayload    = 16 << 10
	InitialWindow = 64 << 10
	headSize      = 8 // length of the payload 3, kind 1, txn's number 4
)

// ErrMalformed is behind every error about what a peer wrote.
var ErrMalformed = errors.New("broken frame")

// Hello names a side.
type Hello struct {
	_           struct{} `cbor:",toarray"`
	Version     uint16
	Name, Site  string
	Incarnation uint64
}

// Heartbeat tells what a side offers. Times are its own microseconds; Echo is the
// other's At of the last beat that came, Held how long ago that was.
type Heartbeat struct {
	_                  struct{} `cbor:",toarray"`
	SentAt             int64
	EchoedAt, HeldTime int64
	Capacity           int32
	Draining           bool
}

// Purge is one that binds a txn at the asking side.
type Purge struct {
	_     struct{} `cbor:",toarray"`
	Group bool     // else the object
	At    int64    // Unix microseconds
}

// Request is a txn. Times are microseconds, At is the sender's clock.
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

// Answer ends a txn.
type Answer struct {
	_            struct{} `cbor:",toarray"`
	Outcome      uint8    // as package crossing has them
	NeverRan     bool     // it never ran here
	NotModified  bool     // the copy whose tag was sent is the one
	RetryAfter   int64
	Tag          string
	IssuedMillis int64 // Unix milliseconds
	BodyBytes    int32
}

// decoding refuses what no side of ours sends, before it costs memory.
var decoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: 256, MaxMapPairs: 16, MaxNestedLevels: 4, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden,
	}.DecMode()
	if err != nil {
		panic(err) // the options stand above
	}
	return m
}()

// Frame is one as it came. Payload holds until the next is read.
type Frame struct {
	Kind    Kind
	Number  uint32 // of the txn on its connection; 0: none
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

// Next reads a frame. An error that is ErrBroken ends the connection.
func (r *Reader) Next() (f Frame, err error) {
	var h [headSize]byte
	if _, err := io.ReadFull(r.r, h[:]); err != nil {
		return f, err
	}
	n := int(h[0]) | int(h[1])<<8 | int(h[2])<<16
	f.Kind, f.Number = Kind(h[3]), binary.LittleEndian.Uint32(h[4:])
	switch {
	case n > MaxPayload:
		return f, fmt.Errorf("%w: %d bytes, %d at most", ErrMalformed, n, MaxPayload)
	case f.Kind == 0 || f.Kind > lastKind:
		return f, fmt.Errorf("%w: kind %d", ErrMalformed, f.Kind)
	case f.Kind == KindWindow && n != 4, (f.Kind == KindCancel || f.Kind == KindGoodbye) && n != 0:
		return f, fmt.Errorf("%w: %d bytes in a frame of kind %d", ErrMalformed, n, f.Kind)
	case (f.Kind == KindHello || f.Kind == KindHeartbeat || f.Kind == KindGoodbye) != (f.Number == 0):
		return f, fmt.Errorf("%w: kind %d of txn %d", ErrMalformed, f.Kind, f.Number)
	}
	if _, err := io.ReadFull(r.r, r.buf[:n]); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return f, err
	}
	f.Payload = r.buf[:n]
	return f, nil
}

// Window reads a Window frame's figure.
func (f Frame) Window() int { return int(binary.LittleEndian.Uint32(f.Payload)) }

// Decode reads a CBOR payload.
func (f Frame) Decode(into any) error {
	if err := decoding.Unmarshal(f.Payload, into); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}
