// Package membership detects which routers of a site are running: it probes the other members, holds a state for each
// (joining, alive, suspect, dead, leaving, left), and spreads state changes by gossip. A Node is one router's replica
// of the membership. It does no I/O and reads no clock: the caller passes in the time, the received messages and a
// source of random numbers, and sends the messages that a Node returns. Package membership/transport is the caller in
// a router; package simfleet runs many nodes on a virtual clock.
//
// The protocol is SWIM (Das, Gupta, Motivala 2002) with suspicion. Of Lifeguard (Dadgar, Phillips, Currey 2018) it has
// the local health multiplier, the suspicion timeout that shrinks with independent confirmations, and the message that
// notifies a suspect of its suspicion. docs/membership.md lists the differences from both. The parts of the protocol
// have a file each:
//
//   - state.go: the members and the table of their state transitions
//   - probe.go: ping, indirect ping, acknowledgement
//   - suspicion.go: the timeout from suspect to dead, and the retention of dead and departed members
//   - dissemination.go: updates that are piggybacked on messages
//   - stateexchange.go: digests of views, and the anti-entropy exchange between views that differ
//   - receive.go: checks of received messages and updates
//   - join.go, refute.go: how a node joins, refutes updates about itself and resolves a name conflict
//   - health.go: local health and the detection of a paused process
//   - connectivity.go: whether this node reaches a majority
//   - handoff.go: how a new process of the same router continues the instance
//
// All times and durations are int64 microseconds of a steady clock.
package membership
