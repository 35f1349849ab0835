package membership

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Kind of a word.
type Kind uint8

// Kinds of words. Those to nobody's life in particular (Hello, and Query of a
// person's tool) bring no rumours and prove nothing: they could be old ones.
const (
	KindHello          Kind = 1 + iota // to a name, whoever has it now; answered by Welcome
	KindWelcome                        // Seq of the Hello
	KindPing                           // answered by Ack
	KindAck                            // Seq of the Ping
	KindIndirectPing                   // asks to ping Target for the sender
	KindNack                           // Seq of the Through: Target did not answer, but the sender is there
	KindDigestExchange                 // Buckets of the sender's view; answered by Tell where they differ
	KindStateExchange                  // members as the sender holds them
	KindQuery                          // of a tool: answered by View, to where it came from
	KindQueryResponse
	KindPayload // Body, of other subsystems
	lastKind    = KindPayload
)

// Message is what routers say. Fields that a newer version adds are passed over,
// those that an older one lacks are zero.
type Message struct {
	Kind          Kind       `cbor:"1,keyasint"`
	Sequence      uint64     `cbor:"2,keyasint,omitempty"` // counts the sender's words to anybody, from 1
	RequestID     uint32     `cbor:"3,keyasint,omitempty"` // of a question and its answer
	Sender        Update     `cbor:"4,keyasint"`           // the sender of itself
	To            string     `cbor:"5,keyasint"`
	ToInstance    InstanceID `cbor:"6,keyasint,omitempty"` // of To; none: whoever has the name
	Target        string     `cbor:"7,keyasint,omitempty"`
	ViewDigest    uint64     `cbor:"8,keyasint,omitempty"` // of the sender's view
	BucketDigests []uint32   `cbor:"9,keyasint,omitempty"`
	Updates       []Update   `cbor:"10,keyasint,omitempty"`
	View          *View      `cbor:"11,keyasint,omitempty"`
	GossipDigest  uint32     `cbor:"12,keyasint,omitempty"` // of the sender's news
	Body          []byte     `cbor:"13,keyasint,omitempty"`
}

// Payload is what another router has said to other subsystems than this one: its
// tag, and a body or none.
type Payload struct {
	From   string
	Digest uint32
	Body   []byte
}

// Update is what is said of a router.
type Update struct {
	Name        string         `cbor:"1,keyasint"`
	Zone        string         `cbor:"2,keyasint,omitempty"`
	Addr        netip.AddrPort `cbor:"3,keyasint,omitempty"`
	ID          InstanceID     `cbor:"4,keyasint,omitempty"`
	Incarnation uint32         `cbor:"5,keyasint,omitempty"`
	State       State          `cbor:"6,keyasint"`
	SuspectedBy []uint16       `cbor:"7,keyasint,omitempty"` // of suspicion
	Process     *ProcessInfo   `cbor:"8,keyasint,omitempty"` // nil: an earlier text, or nobody keeps it
}

// ProcessInfo is what a router's process is. Program and Settings are digests; routers of
// one text with the same settings, but for their names and addresses, have the same.
type ProcessInfo struct {
	_                 struct{} `cbor:",toarray"`
	Generation        uint32
	Program, Settings uint32
}

// What names and lists may hold at most.
const (
	mostName    = 64
	mostRumours = 200
	headBytes   = 110 // of a word without rumours, its proof included, with names of some letters
)

// good tells whether a word can be used at all.
func (w *Message) good() bool {
	if w.Kind == 0 || w.Kind > lastKind || !w.Sender.good() || len(w.To) > mostName || len(w.Target) > mostName ||
		len(w.Updates) > mostRumours || len(w.BucketDigests) > buckets {
		return false
	}
	for i := range w.Updates {
		if !w.Updates[i].good() {
			return false
		}
	}
	return true
}

func (r *Update) good() bool {
	return r.Name != "" && len(r.Name) <= mostName && len(r.Zone) <= mostName && r.State > StateUnknown && r.State < StateNameConflict &&
		len(r.SuspectedBy) <= len(member{}.witnesses)
}

// size is about what a rumour takes in a word.
func (r *Update) size() int {
	n := 28 + len(r.Name) + 3*len(r.SuspectedBy)
	if r.Zone != "" {
		n += 2 + len(r.Zone)
	}
	if r.Addr.IsValid() {
		n += 9
	}
	if r.Process != nil {
		n += 18
	}
	return n
}

func hash(name string) uint32 { return max(uint32(xxhash.Sum64String(name)), 1) }

// witnessOf shortens a name; two that meet count as one witness.
func witnessOf(name string) uint16 { return max(uint16(hash(name)), nameless+1) }

// nameless is one witness, whoever says it and however often.
const nameless = 1

// digest is a member's part of the digests: who it is and which of its own words
// is the last. Suspicion is left out: it comes and goes by each router's clock.
func digest(name string, id InstanceID, inc uint32, s State) uint64 {
	if s.gone() || s == StateJoining || s == StateNameConflict {
		return 0
	}
	b := make([]byte, 0, mostName+16)
	b = append(b, name...)
	for _, v := range [3]uint32{id.Epoch, id.Nonce, inc} {
		b = append(b, byte(v), byte(v>>8), byte(v>>16), byte(v>>24))
	}
	if s == StateLeaving {
		b = append(b, 'l')
	}
	return xxhash.Sum64(b)
}

func bucketOf(name string) int { return int(hash(name) % buckets) }
