package membership

import "math"

// HandoffState is what a generation of a router hands to the one that takes its place: to
// all others they are one member, with one life. Whoever has handed it over says
// nothing more.
type HandoffState struct {
	ID               InstanceID `cbor:"1,keyasint"`
	Incarnation      uint32     `cbor:"2,keyasint"`
	Sequence         uint64     `cbor:"3,keyasint"` // of its last word
	State            State      `cbor:"4,keyasint"`
	Updates          []Update   `cbor:"5,keyasint,omitempty"`
	HighestSequences []uint64   `cbor:"6,keyasint,omitempty"` // of their words, in the same order
}

// What is left out between two generations: a predecessor that comes back, since
// its successor failed, can't know how far that one had come.
const (
	skipWords = 1 << 32
	skipIncs  = 1 << 12
)

// Handoff hands the life over, at the node's last moment.
func (n *Node) Handoff() *HandoffState {
	b := &HandoffState{ID: n.self.ID, Incarnation: n.self.Incarnation, Sequence: n.n, State: n.self.State}
	for _, m := range n.members {
		if !m.state.gone() && len(b.Updates) < mostMembers {
			b.Updates = append(b.Updates, m.whole())
			b.HighestSequences = append(b.HighestSequences, m.high)
		}
	}
	return b
}

// takeOver goes on with a life. One that is doubled, or has left, is not gone on
// with: the successor starts its own and outbids, as after any restart.
func (n *Node) takeOver(b *HandoffState) {
	if b.State != StateAlive && b.State != StateJoining || b.Incarnation > math.MaxUint32-4*skipIncs || b.Sequence > math.MaxUint64-4*skipWords {
		return
	}
	n.self.ID, n.self.Incarnation, n.n, n.self.State = b.ID, b.Incarnation+skipIncs, b.Sequence+skipWords, b.State
	if n.since = n.now; b.State == StateJoining {
		n.since = 0
	}
	for i := range b.Updates[:min(len(b.Updates), mostMembers)] {
		r := &b.Updates[i]
		if !r.good() || r.Name == n.self.Name {
			continue
		}
		if m := n.rumour(r, false); m != nil && i < len(b.HighestSequences) {
			m.high, m.window = b.HighestSequences[i], math.MaxUint64 // what came before is not heard again
		}
	}
	for _, m := range n.members {
		m.spread = 0 // the others know it
	}
	n.hot = n.hot[:0]
}

// Reclaim readies a baton for the one who has handed it over, where the successor has
// used it and failed.
func (b *HandoffState) Reclaim() {
	b.Incarnation += 2 * skipIncs
	b.Sequence += 2 * skipWords
}
