package membership

import "math"

// HandoffState is what the process of a router hands to the one that takes its place. To the other members both are
// one instance. A process that has handed it over sends nothing more.
type HandoffState struct {
	ID               InstanceID `cbor:"1,keyasint"`
	Incarnation      uint32     `cbor:"2,keyasint"`
	Sequence         uint64     `cbor:"3,keyasint"`           // of its last message
	State            State      `cbor:"4,keyasint"`           // of the router itself
	Updates          []Update   `cbor:"5,keyasint,omitempty"` // of the present members
	HighestSequences []uint64   `cbor:"6,keyasint,omitempty"` // of accepted messages from them, in the order of Updates
}

// Numbers left unused between two processes: one that takes its state back, since its successor failed, can't know how
// far that one has counted.
const (
	sequenceGap    = 1 << 32
	incarnationGap = 1 << 12
)

// Handoff returns the state to be handed over. The node must not be used after it.
func (n *Node) Handoff() *HandoffState {
	h := &HandoffState{ID: n.self.ID, Incarnation: n.self.Incarnation, Sequence: n.lastSequence, State: n.self.State}
	for _, m := range n.members {
		if isPresent(m) && len(h.Updates) < maxMembers {
			h.Updates = append(h.Updates, m.update())
			h.HighestSequences = append(h.HighestSequences, m.highestSequence)
		}
	}
	return h
}

// Reclaim readies the state for the process that has handed it over, where the successor has used it and failed: it
// raises Incarnation and Sequence above whatever the successor can have reached.
func (h *HandoffState) Reclaim() {
	h.Incarnation += 2 * incarnationGap
	h.Sequence += 2 * sequenceGap
}

// continuable reports whether a successor can go on with the instance. An instance that has left or has lost its name
// can't be continued, nor one whose numbers could overflow.
func (h *HandoffState) continuable() bool {
	if h.State != StateAlive && h.State != StateJoining {
		return false
	}
	return h.Incarnation <= math.MaxUint32-4*incarnationGap && h.Sequence <= math.MaxUint64-4*sequenceGap
}

// resumeFrom continues the instance of a predecessor. Where that is not possible the node starts an instance of its
// own and reclaims the name, as after any restart.
func (n *Node) resumeFrom(handoff *HandoffState) {
	if !handoff.continuable() {
		return
	}
	n.self.ID = handoff.ID
	n.self.Incarnation = handoff.Incarnation + incarnationGap
	n.self.State = handoff.State
	n.lastSequence = handoff.Sequence + sequenceGap
	if handoff.State == StateAlive {
		n.joinedAt = n.now
	}
	for i := range handoff.Updates[:min(len(handoff.Updates), maxMembers)] {
		u := &handoff.Updates[i]
		if !u.valid() || u.Name == n.self.Name {
			continue
		}
		if m := n.applyUpdate(u, false); m != nil && i < len(handoff.HighestSequences) {
			m.highestSequence = handoff.HighestSequences[i]
			m.sequenceWindow = math.MaxUint64 // messages that the predecessor may have received are not accepted again
		}
	}
	n.clearGossipQueue() // the others know it
}
