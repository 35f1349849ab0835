package membership

import "math"

// HandoffState is the state that a process of a router hands over to its successor. To the other members both processes
// are one instance. A node that has handed over its state sends no further messages.
type HandoffState struct {
	ID               InstanceID `cbor:"1,keyasint"`
	Incarnation      uint32     `cbor:"2,keyasint"`
	Sequence         uint64     `cbor:"3,keyasint"`           // sequence number of the last message sent
	State            State      `cbor:"4,keyasint"`           // state of the router itself
	Updates          []Update   `cbor:"5,keyasint,omitempty"` // about the present members
	HighestSequences []uint64   `cbor:"6,keyasint,omitempty"` // highest accepted from each, in the order of Updates
}

// Numbers that are skipped between two processes. A process that continues after its successor has failed does not know
// the numbers that the successor has used.
const (
	sequenceGap    = 1 << 32
	incarnationGap = 1 << 12
)

// Handoff returns the state to hand over. The node must not be used afterwards.
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

// SkipSuccessorNumbers prepares the state for reuse by the process that has handed it over, after a successor has used
// it and failed. It raises Incarnation and Sequence above any number that the successor can have used.
func (h *HandoffState) SkipSuccessorNumbers() {
	h.Incarnation += 2 * incarnationGap
	h.Sequence += 2 * sequenceGap
}

// continuable reports whether a successor can continue the instance. An instance that is leaving, has left or has
// yielded its name cannot be continued, nor can one whose numbers could overflow.
func (h *HandoffState) continuable() bool {
	if h.State != StateAlive && h.State != StateJoining {
		return false
	}
	return h.Incarnation <= math.MaxUint32-4*incarnationGap && h.Sequence <= math.MaxUint64-4*sequenceGap
}

// continueInstance continues the instance of a predecessor. If that is not possible, the node starts an instance of its
// own and reclaims the name, as after any restart.
func (n *Node) continueInstance(handoff *HandoffState) {
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
			m.sequenceWindow = math.MaxUint64 // rejects messages that the predecessor may have received
		}
	}
	n.clearGossipQueue() // the other members hold these updates already
}
