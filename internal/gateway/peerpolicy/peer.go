package peerpolicy

import "slices"

// PeerState is the health of a peer as its connection and heartbeats show it. The values are
// bits, so that a transition can list several states.
type PeerState uint8

// The states of a peer.
const (
	StateDisconnected PeerState = 1 << iota // no connection
	StateProbation                          // connected, no heartbeat received yet
	StateHealthy                            // heartbeats arrive in time; the only state that requests are forwarded in
	StateSuspect                            // heartbeats are late
	StateDraining                           // the peer is shutting down
)

// String returns the state's name in the status file.
func (s PeerState) String() string {
	switch s {
	case StateDisconnected:
		return "away"
	case StateProbation:
		return "trial"
	case StateHealthy:
		return "trusted"
	case StateSuspect:
		return "doubted"
	case StateDraining:
		return "leaving"
	}
	return ""
}

// peerSignal is an event of a peer that may change its state.
type peerSignal uint8

const (
	signalConnected    peerSignal = iota // a connection is established and its hello was valid
	signalHeartbeat                      // a heartbeat was received
	signalLate                           // no heartbeat received for more than lateHeartbeats intervals
	signalSilent                         // no heartbeat received for more than silentHeartbeats intervals
	signalDraining                       // a heartbeat reported that the peer is shutting down
	signalDisconnected                   // the connection has ended, or a new one replaces it
)

const (
	// lateHeartbeats is the number of heartbeat intervals without a heartbeat after which
	// a peer is suspect. So short a silence may be chance.
	lateHeartbeats = 2
	// silentHeartbeats is the number of heartbeat intervals without a heartbeat after which
	// a peer counts as disconnected. So long a silence means a cut link or a stopped machine.
	silentHeartbeats = 5
)

// MaxSilentHeartbeats is the number of heartbeat intervals of silence after which this router
// stops executing a peer's requests. It is one less than silentHeartbeats, so that after a
// link is cut the executing router stops before the forwarding router gives the requests up.
const MaxSilentHeartbeats = silentHeartbeats - 1

const connectedStates = StateProbation | StateHealthy | StateSuspect | StateDraining

// peerTransitions is the state machine of a peer. A signal that has no transition from the
// current state is ignored.
var peerTransitions = []struct {
	from         PeerState // one or more states
	signal       peerSignal
	to           PeerState
	onTransition func(*Controller, *Peer)
}{
	{StateDisconnected, signalConnected, StateProbation, (*Controller).resetPeer},
	{StateProbation | StateSuspect, signalHeartbeat, StateHealthy, nil},
	{StateHealthy, signalLate, StateSuspect, nil},
	{connectedStates, signalSilent, StateDisconnected, (*Controller).abandonPeer},
	{StateProbation | StateHealthy | StateSuspect, signalDraining, StateDraining, nil},
	{connectedStates, signalDisconnected, StateDisconnected, (*Controller).abandonPeer},
}

// Peer is a router of another site, with its state as this router observes it. Times are
// microseconds.
type Peer struct {
	Name, Site  string
	State       PeerState
	Incarnation uint64  // of its process; a restart raises it
	Capacity    int     // further requests that its last heartbeat offered to admit
	InFlight    int     // requests forwarded to it that have not ended
	Limit       float64 // on InFlight, adjusted by outcomes
	Counts      PeerCounts

	limitReducedAt int64
	lastSeenAt     int64
	roundTrips     []int64 // of the latest heartbeats
	responseTimes  []int64 // of the latest completed requests
	outcomes       []outcomeSample
}

// PeerCounts are totals of the requests forwarded to a peer, since the start. ConnectionLost
// counts the requests in flight when the connection ended, Stale the responses that are no newer
// than a purge, and Late the requests whose deadline passed.
type PeerCounts struct {
	Forwarded, Completed, Rejected, Aborted, ConnectionLost, Stale, Late int64
}

// observe applies a signal to the state of a peer.
func (c *Controller) observe(peer *Peer, signal peerSignal) {
	for _, transition := range peerTransitions {
		if transition.from&peer.State == 0 || transition.signal != signal {
			continue
		}
		peer.State = transition.to
		if transition.onTransition != nil {
			transition.onTransition(c, peer)
		}
		return
	}
}

// resetPeer discards the limit, capacity and samples of a peer's previous connection.
func (c *Controller) resetPeer(peer *Peer) {
	peer.Limit = initialPeerLimit
	peer.Capacity = 0
	peer.roundTrips = nil
	peer.responseTimes = nil
	peer.outcomes = nil
}

// abandonPeer closes the connection to a peer and ends the requests in flight there.
func (c *Controller) abandonPeer(peer *Peer) {
	peer.Capacity = 0
	c.addAction(Action{Kind: ActionDisconnect, Peer: peer.Name})
	var ids []string
	for id, request := range c.forwarded {
		if request.peer == peer {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	for _, id := range ids {
		peer.Counts.ConnectionLost++
		c.advance(id, eventDisconnected)
	}
}

// Connected records that a connection to a peer is established. It returns false, and changes
// nothing, if no such peer is configured or the incarnation is lower than one that has
// already connected.
func (c *Controller) Connected(now int64, name string, incarnation uint64) bool {
	peer := c.Peer(name)
	if peer == nil || incarnation < peer.Incarnation {
		return false
	}
	if peer.State != StateDisconnected { // the new connection replaces the old one
		c.observe(peer, signalDisconnected)
	}
	peer.Incarnation = incarnation
	peer.lastSeenAt = now
	c.observe(peer, signalConnected)
	return true
}

// Disconnected records that the connection to a peer has ended.
func (c *Controller) Disconnected(name string) {
	if peer := c.Peer(name); peer != nil {
		c.observe(peer, signalDisconnected)
	}
}

// Heartbeat handles a peer's heartbeat: the capacity that the peer offers, whether it is
// draining, and the round trip of this router's own heartbeat that it echoes (0: none yet).
func (c *Controller) Heartbeat(now int64, name string, capacity int, draining bool, roundTrip int64) {
	peer := c.Peer(name)
	if peer == nil || peer.State == StateDisconnected {
		return
	}
	peer.lastSeenAt = now
	peer.Capacity = max(capacity, 0)
	if roundTrip > 0 {
		peer.roundTrips = addSample(peer.roundTrips, roundTrip)
	}
	if draining {
		c.observe(peer, signalDraining)
		return
	}
	c.observe(peer, signalHeartbeat)
}

// checkSilence signals that a connected peer has been silent for too long.
func (c *Controller) checkSilence(now int64, peer *Peer) {
	silence := now - peer.lastSeenAt
	switch {
	case peer.State == StateDisconnected:
	case silence > silentHeartbeats*c.settings.HeartbeatInterval:
		c.observe(peer, signalSilent)
	case silence > lateHeartbeats*c.settings.HeartbeatInterval:
		c.observe(peer, signalLate)
	}
}
