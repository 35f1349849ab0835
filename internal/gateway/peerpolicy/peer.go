package peerpolicy

import "slices"

// PeerState is how far a peer is relied on.
type PeerState uint8

// The states of a peer.
const (
	StateDisconnected PeerState = 1 << iota // no connection
	StateProbation                          // connected, no heartbeat yet
	StateHealthy                            // heartbeats in time: the only state in which anything is forwarded
	StateSuspect                            // a heartbeat is late
	StateDraining                           // it shuts down
)

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

type signal uint8

const (
	signalConnected    signal = iota // a connection is up and its greeting was valid
	signalHeartbeat                  // a heartbeat came
	signalLate                       // lateHeartbeats have not come
	signalSilent                     // silentHeartbeats have not come
	signalDraining                   // it said that it shuts down
	signalDisconnected               // the connection has ended
)

const (
	// lateHeartbeats that did not come may be chance.
	lateHeartbeats = 2
	// silentHeartbeats that did not come are a cut link or a stopped machine.
	silentHeartbeats = 5
)

// MaxSilentHeartbeats is for how many heartbeat intervals of silence a peer's requests are
// worked on: one less than the peer, cut off at the same moment, takes to give them up.
const MaxSilentHeartbeats = silentHeartbeats - 1

const connectedStates = StateProbation | StateHealthy | StateSuspect | StateDraining

// peerTransitions is the state machine of a peer.
var peerTransitions = []struct {
	from   PeerState // any of these
	signal signal
	to     PeerState
	do     func(*Controller, *Peer)
}{
	{StateDisconnected, signalConnected, StateProbation, (*Controller).resetPeer},
	{StateProbation | StateSuspect, signalHeartbeat, StateHealthy, nil},
	{StateHealthy, signalLate, StateSuspect, nil},
	{connectedStates, signalSilent, StateDisconnected, (*Controller).abandonPeer},
	{StateProbation | StateHealthy | StateSuspect, signalDraining, StateDraining, nil},
	{connectedStates, signalDisconnected, StateDisconnected, (*Controller).abandonPeer},
}

// Peer is a router of another site as this one sees it. Times are microseconds.
type Peer struct {
	Name, Site  string
	State       PeerState
	Incarnation uint64  // of its process; a higher one is a restart
	Capacity    int     // requests that it offers to take
	InFlight    int     // requests forwarded to it
	Limit       float64 // on InFlight, adjusted by outcomes
	Counts      PeerCounts

	limitReducedAt int64
	heardAt        int64
	roundTrips     []int64 // of the last heartbeats
	responseTimes  []int64 // of the last completed requests
	outcomes       []outcomeSample
}

// PeerCounts are totals since the start.
type PeerCounts struct {
	Forwarded, Completed, Rejected, Aborted, ConnectionLost, Stale, Late int64
}

func (c *Controller) observe(peer *Peer, signal signal) {
	for _, transition := range peerTransitions {
		if transition.from&peer.State == 0 || transition.signal != signal {
			continue
		}
		peer.State = transition.to
		if transition.do != nil {
			transition.do(c, peer)
		}
		return
	}
}

// resetPeer forgets what a peer was before its new connection.
func (c *Controller) resetPeer(peer *Peer) {
	peer.Limit = initialPeerLimit
	peer.Capacity = 0
	peer.roundTrips = nil
	peer.responseTimes = nil
	peer.outcomes = nil
}

// abandonPeer ends the requests that are in flight at a peer that is gone.
func (c *Controller) abandonPeer(peer *Peer) {
	peer.Capacity = 0
	c.do(Action{Kind: ActionDisconnect, Peer: peer.Name})
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

// Connected says that a connection to a peer is up. False: it is from a process before one
// that is known already.
func (c *Controller) Connected(now int64, name string, incarnation uint64) bool {
	peer := c.Peer(name)
	if peer == nil || incarnation < peer.Incarnation {
		return false
	}
	if peer.State != StateDisconnected { // the new connection replaces the old one
		c.observe(peer, signalDisconnected)
	}
	peer.Incarnation = incarnation
	peer.heardAt = now
	c.observe(peer, signalConnected)
	return true
}

// Disconnected says that the connection to a peer has ended.
func (c *Controller) Disconnected(name string) {
	if peer := c.Peer(name); peer != nil {
		c.observe(peer, signalDisconnected)
	}
}

// Heartbeat takes a peer's heartbeat: the capacity it offers, whether it drains, and the
// round trip of this router's own heartbeat that it echoes (0: none yet).
func (c *Controller) Heartbeat(now int64, name string, capacity int, draining bool, roundTrip int64) {
	peer := c.Peer(name)
	if peer == nil || peer.State == StateDisconnected {
		return
	}
	peer.heardAt = now
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

func (c *Controller) checkSilence(now int64, peer *Peer) {
	silence := now - peer.heardAt
	switch {
	case peer.State == StateDisconnected:
	case silence > silentHeartbeats*c.settings.HeartbeatInterval:
		c.observe(peer, signalSilent)
	case silence > lateHeartbeats*c.settings.HeartbeatInterval:
		c.observe(peer, signalLate)
	}
}
