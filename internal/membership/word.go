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
	Hello   Kind = 1 + iota // to a name, whoever has it now; answered by Welcome
	Welcome                 // Seq of the Hello
	Ping                    // answered by Ack
	Ack                     // Seq of the Ping
	Through                 // asks to ping Target for the sender
	Nack                    // Seq of the Through: Target did not answer, but the sender is there
	Compare                 // Buckets of the sender's view; answered by Tell where they differ
	Tell                    // members as the sender holds them
	Query                   // of a tool: answered by View, to where it came from
	Viewed
	Mail     // Body, of other subsystems
	lastKind = Mail
)

// Word is what routers say. Fields that a newer version adds are passed over,
// those that an older one lacks are zero.
type Word struct {
	Kind    Kind     `cbor:"1,keyasint"`
	N       uint64   `cbor:"2,keyasint,omitempty"` // counts the sender's words to anybody, from 1
	Seq     uint32   `cbor:"3,keyasint,omitempty"` // of a question and its answer
	From    Rumour   `cbor:"4,keyasint"`           // the sender of itself
	To      string   `cbor:"5,keyasint"`
	Life    ID       `cbor:"6,keyasint,omitempty"` // of To; none: whoever has the name
	Target  string   `cbor:"7,keyasint,omitempty"`
	Digest  uint64   `cbor:"8,keyasint,omitempty"` // of the sender's view
	Buckets []uint32 `cbor:"9,keyasint,omitempty"`
	Rumours []Rumour `cbor:"10,keyasint,omitempty"`
	View    *View    `cbor:"11,keyasint,omitempty"`
	Tag     uint32   `cbor:"12,keyasint,omitempty"` // of the sender's news
	Body    []byte   `cbor:"13,keyasint,omitempty"`
}

// Letter is what another router has said to other subsystems than this one: its
// tag, and a body or none.
type Letter struct {
	From string
	Tag  uint32
	Body []byte
}

// Rumour is what is said of a router.
type Rumour struct {
	Name      string         `cbor:"1,keyasint"`
	Place     string         `cbor:"2,keyasint,omitempty"`
	Addr      netip.AddrPort `cbor:"3,keyasint,omitempty"`
	ID        ID             `cbor:"4,keyasint,omitempty"`
	Inc       uint32         `cbor:"5,keyasint,omitempty"`
	State     State          `cbor:"6,keyasint"`
	Witnesses []uint16       `cbor:"7,keyasint,omitempty"` // of suspicion
	Runs      *Runs          `cbor:"8,keyasint,omitempty"` // nil: an earlier text, or nobody keeps it
}

// Runs is what a router's process is. Program and Settings are digests; routers of
// one text with the same settings, but for their names and addresses, have the same.
type Runs struct {
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
func (w *Word) good() bool {
	if w.Kind == 0 || w.Kind > lastKind || !w.From.good() || len(w.To) > mostName || len(w.Target) > mostName ||
		len(w.Rumours) > mostRumours || len(w.Buckets) > buckets {
		return false
	}
	for i := range w.Rumours {
		if !w.Rumours[i].good() {
			return false
		}
	}
	return true
}

func (r *Rumour) good() bool {
	return r.Name != "" && len(r.Name) <= mostName && len(r.Place) <= mostName && r.State > Unknown && r.State < Doubled &&
		len(r.Witnesses) <= len(member{}.witnesses)
}

// size is about what a rumour takes in a word.
func (r *Rumour) size() int {
	n := 28 + len(r.Name) + 3*len(r.Witnesses)
	if r.Place != "" {
		n += 2 + len(r.Place)
	}
	if r.Addr.IsValid() {
		n += 9
	}
	if r.Runs != nil {
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
func digest(name string, id ID, inc uint32, s State) uint64 {
	if s.gone() || s == Joining || s == Doubled {
		return 0
	}
	b := make([]byte, 0, mostName+16)
	b = append(b, name...)
	for _, v := range [3]uint32{id.Life, id.Nonce, inc} {
		b = append(b, byte(v), byte(v>>8), byte(v>>16), byte(v>>24))
	}
	if s == Leaving {
		b = append(b, 'l')
	}
	return xxhash.Sum64(b)
}

func bucketOf(name string) int { return int(hash(name) % buckets) }
