package membership

import "math"

// Baton is what a generation of a router hands to the one that takes its place: to
// all others they are one member, with one life. Whoever has handed it over says
// nothing more.
type Baton struct {
	ID      ID       `cbor:"1,keyasint"`
	Inc     uint32   `cbor:"2,keyasint"`
	N       uint64   `cbor:"3,keyasint"` // of its last word
	State   State    `cbor:"4,keyasint"`
	Rumours []Rumour `cbor:"5,keyasint,omitempty"`
	Highs   []uint64 `cbor:"6,keyasint,omitempty"` // of their words, in the same order
}

// What is left out between two generations: a predecessor that comes back, since
// its successor failed, can't know how far that one had come.
const (
	skipWords = 1 << 32
	skipIncs  = 1 << 12
)

// Baton hands the life over, at the node's last moment.
func (n *Node) Baton() *Baton {
	b := &Baton{ID: n.self.ID, Inc: n.self.Inc, N: n.n, State: n.self.State}
	for _, m := range n.members {
		if !m.state.gone() && len(b.Rumours) < mostMembers {
			b.Rumours = append(b.Rumours, m.whole())
			b.Highs = append(b.Highs, m.high)
		}
	}
	return b
}

// takeOver goes on with a life. One that is doubled, or has left, is not gone on
// with: the successor starts its own and outbids, as after any restart.
func (n *Node) takeOver(b *Baton) {
	if b.State != Alive && b.State != Joining || b.Inc > math.MaxUint32-4*skipIncs || b.N > math.MaxUint64-4*skipWords {
		return
	}
	n.self.ID, n.self.Inc, n.n, n.self.State = b.ID, b.Inc+skipIncs, b.N+skipWords, b.State
	if n.since = n.now; b.State == Joining {
		n.since = 0
	}
	for i := range b.Rumours[:min(len(b.Rumours), mostMembers)] {
		r := &b.Rumours[i]
		if !r.good() || r.Name == n.self.Name {
			continue
		}
		if m := n.rumour(r, false); m != nil && i < len(b.Highs) {
			m.high, m.window = b.Highs[i], math.MaxUint64 // what came before is not heard again
		}
	}
	for _, m := range n.members {
		m.spread = 0 // the others know it
	}
	n.hot = n.hot[:0]
}

// Back readies a baton for the one who has handed it over, where the successor has
// used it and failed.
func (b *Baton) Back() {
	b.Inc += 2 * skipIncs
	b.N += 2 * skipWords
}
