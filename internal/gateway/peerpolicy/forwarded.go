package peerpolicy

import "slices"

// Effect is what executing a request twice would do.
type Effect uint8

// The effects.
const (
	EffectIdempotent     Effect = iota
	EffectIdempotencyKey        // repeats are dropped by a group of endpoints: not by another site's
	EffectUnsafe
)

// Outcome is how a forwarded request ends for its client.
type Outcome uint8

// The outcomes.
const (
	OutcomeNone Outcome = iota // no answer
	OutcomeCompleted
	OutcomeRejected // may be tried again
	OutcomeAborted
)

// Request is one that the router's own policy has rejected.
type Request struct {
	RequestID string
	Effect    Effect
	NeverRan  bool     // no attempt of it can have been executed
	Deadline  int64    // microseconds
	Route     []string // routers of other sites that it came through, the first one first
}

// Reason says why a request was not forwarded, or not admitted.
type Reason uint8

// The reasons.
const (
	ReasonOK            Reason = iota
	ReasonMaybeExecuted        // an attempt may have been executed here
	ReasonNoTime
	ReasonNoPeer
	ReasonNoCapacity
	ReasonRoutingLoop
	ReasonTooMany // Settings.MaxRequests are forwarded
	ReasonLocalPriority
	ReasonDuplicate
	reasonCount
)

var reasonNames = [reasonCount]string{
	ReasonOK:            "ok",
	ReasonMaybeExecuted: "maybe executed",
	ReasonNoTime:        "no time",
	ReasonNoPeer:        "no peer",
	ReasonNoCapacity:    "no capacity",
	ReasonRoutingLoop:   "routing loop",
	ReasonTooMany:       "too many",
	ReasonLocalPriority: "local priority",
	ReasonDuplicate:     "duplicate",
}

func (r Reason) String() string { return reasonNames[r] }

type forwardState uint8

const (
	stateNotSent forwardState = 1 << iota // not a byte of it is on the connection
	stateSent                             // it may have arrived
	stateEnded
)

type forwardEvent uint8

const (
	eventSent         forwardEvent = iota
	eventNeverSent                 // it was not sent, and will not be
	eventRejected                  // the peer proves that it never ran there, or it may run again
	eventCompleted                 // its response came whole, and is no older than a purge
	eventStale                     // its response is older than a purge known here
	eventFailed                    // the peer says that it failed
	eventDisconnected              // the connection has ended
	eventTimeout                   // its time is over
	eventClientGone
)

// forwardedRequest is one that is in flight at a peer.
type forwardedRequest struct {
	peer     *Peer
	effect   Effect
	deadline int64
	sentAt   int64
	state    forwardState
}

// forwardTransitions says what becomes of a forwarded request. An idempotent one that may
// have been executed is rejected, so that its client may try again; any other is aborted.
var forwardTransitions = []struct {
	from       forwardState // any of these
	event      forwardEvent
	to         forwardState
	idempotent Outcome
	other      Outcome
}{
	{stateNotSent, eventSent, stateSent, OutcomeNone, OutcomeNone},
	{stateNotSent, eventNeverSent, stateEnded, OutcomeRejected, OutcomeRejected},
	{stateNotSent, eventDisconnected, stateEnded, OutcomeRejected, OutcomeRejected},
	{stateNotSent, eventTimeout, stateEnded, OutcomeRejected, OutcomeRejected},
	{stateNotSent | stateSent, eventRejected, stateEnded, OutcomeRejected, OutcomeRejected},
	{stateSent, eventCompleted, stateEnded, OutcomeCompleted, OutcomeCompleted},
	{stateSent, eventStale, stateEnded, OutcomeRejected, OutcomeAborted},
	{stateSent, eventFailed, stateEnded, OutcomeAborted, OutcomeAborted},
	{stateSent, eventDisconnected, stateEnded, OutcomeRejected, OutcomeAborted},
	{stateSent, eventTimeout, stateEnded, OutcomeAborted, OutcomeAborted},
	{stateNotSent | stateSent, eventClientGone, stateEnded, OutcomeNone, OutcomeNone},
}

func (c *Controller) advance(id string, event forwardEvent) {
	request := c.forwarded[id]
	if request == nil {
		return
	}
	for _, transition := range forwardTransitions {
		if transition.from&request.state == 0 || transition.event != event {
			continue
		}
		request.state = transition.to
		if request.state != stateEnded {
			return
		}
		outcome := transition.other
		if request.effect == EffectIdempotent {
			outcome = transition.idempotent
		}
		c.remove(id, request)
		if outcome != OutcomeNone {
			c.do(Action{Kind: ActionAnswer, Peer: request.peer.Name, RequestID: id, Outcome: outcome})
		}
		return
	}
}

func (c *Controller) remove(id string, request *forwardedRequest) {
	delete(c.forwarded, id)
	request.peer.InFlight--
}

// Forward chooses the peer that a rejected request is forwarded to: the one with the least
// share of its capacity in use, among those from which a response can be back in time. A
// request that came from another site goes no further.
func (c *Controller) Forward(now int64, request *Request) (*Peer, Reason) {
	switch {
	case !request.NeverRan && request.Effect != EffectIdempotent:
		return nil, ReasonMaybeExecuted
	case len(request.Route) > 0:
		return nil, ReasonRoutingLoop
	case c.forwarded[request.RequestID] != nil:
		return nil, ReasonDuplicate
	case len(c.forwarded) >= c.settings.MaxRequests:
		return nil, ReasonTooMany
	}
	deadline := request.Deadline - c.deadlineMargin()
	peer, reason := c.choosePeer(now, deadline)
	if peer == nil {
		return nil, reason
	}
	c.forwarded[request.RequestID] = &forwardedRequest{
		peer: peer, effect: request.Effect, deadline: deadline, sentAt: now, state: stateNotSent,
	}
	peer.InFlight++
	peer.Counts.Forwarded++
	return peer, ReasonOK
}

func (c *Controller) choosePeer(now, deadline int64) (best *Peer, reason Reason) {
	reason = ReasonNoPeer
	leastUse := 0.0
	for _, peer := range c.peers {
		if peer.State != StateHealthy || peer.Site == c.settings.Site {
			continue
		}
		capacity := min(peer.Limit, float64(peer.Capacity))
		switch {
		case now+peer.expectedResponseTime() >= deadline:
			if reason == ReasonNoPeer {
				reason = ReasonNoTime
			}
		case float64(peer.InFlight) >= capacity:
			reason = ReasonNoCapacity
		case best == nil || float64(peer.InFlight)/capacity < leastUse:
			best, leastUse = peer, float64(peer.InFlight)/capacity
		}
	}
	return best, reason
}

// expectedResponseTime is the time within which three quarters of the last responses
// came; without any it is one and a half round trips.
func (p *Peer) expectedResponseTime() int64 {
	const (
		quarterLate      = 0.75
		median           = 0.5
		defaultRoundTrip = 50 * millisecond
	)
	return quantile(p.responseTimes, quarterLate, quantile(p.roundTrips, median, defaultRoundTrip)*3/2)
}

// deadlineMargin is how long before its deadline a forwarded request is given up: the
// interval of Tick, and the response's way to the client.
func (c *Controller) deadlineMargin() int64 {
	const clientResponse = 10 * millisecond
	return c.settings.HeartbeatInterval/TicksPerHeartbeat + clientResponse
}

// Budget is the time, in microseconds, that a forwarded request has at the peer: until it
// is given up here, less half a round trip for the response.
func (c *Controller) Budget(now int64, id string) int64 {
	request := c.forwarded[id]
	if request == nil {
		return 0
	}
	const median = 0.5
	return max(request.deadline-now-quantile(request.peer.roundTrips, median, 0)/2, 0)
}

// MarkSent says that the request goes onto the connection: from now on it may have
// arrived. False: it has ended, or was sent already, and must not be sent.
func (c *Controller) MarkSent(id string) bool {
	request := c.forwarded[id]
	if request == nil || request.state != stateNotSent {
		return false
	}
	c.advance(id, eventSent)
	return true
}

// Unsent says that the request was not sent and will not be.
func (c *Controller) Unsent(id string) { c.advance(id, eventNeverSent) }

// ClientGone says that the request's client has gone.
func (c *Controller) ClientGone(id string) {
	if request := c.forwarded[id]; request != nil {
		c.do(Action{Kind: ActionWithdraw, Peer: request.peer.Name, RequestID: id})
		c.advance(id, eventClientGone)
	}
}

// Withdrawn takes back a request of which it is proven after all that no byte was sent:
// the connection had no room for it. It ends without an answer from here.
func (c *Controller) Withdrawn(id string) {
	if request := c.forwarded[id]; request != nil {
		c.remove(id, request)
	}
}

// IsForwarded tells whether a request is in flight at a peer.
func (c *Controller) IsForwarded(id string) bool { return c.forwarded[id] != nil }

// ForwardedInFlight tells how many requests are in flight at peers.
func (c *Controller) ForwardedInFlight() int { return len(c.forwarded) }

func (c *Controller) expireForwarded(now int64) {
	var expired []string
	for id, request := range c.forwarded {
		if now >= request.deadline {
			expired = append(expired, id)
		}
	}
	slices.Sort(expired)
	for _, id := range expired {
		peer := c.forwarded[id].peer
		peer.Counts.Late++
		c.adjustLimit(now, peer, false)
		c.do(Action{Kind: ActionWithdraw, Peer: peer.Name, RequestID: id})
		c.advance(id, eventTimeout)
	}
}

// PeerAnswer is what a peer answers.
type PeerAnswer struct {
	Outcome           Outcome
	NeverRan          bool  // of OutcomeRejected: it was not executed there
	IssuedMillis      int64 // of OutcomeCompleted: the copy's issue by the origin, Unix ms or any one clock and unit of both; 0: no copy
	LatestPurgeMillis int64 // the latest purge known here that covers it, on the same clock; 0: none
}

// HandleAnswer takes a peer's answer to a request. A second one, or one for a request
// that has ended, changes nothing.
func (c *Controller) HandleAnswer(now int64, name, id string, answer PeerAnswer) {
	request := c.forwarded[id]
	if request == nil || request.peer.Name != name || request.state != stateSent {
		return
	}
	peer := request.peer
	event := answer.event(request.effect)
	switch event {
	case eventStale:
		peer.Counts.Stale++
	case eventCompleted:
		peer.responseTimes = addSample(peer.responseTimes, now-request.sentAt)
		peer.Counts.Completed++
	case eventRejected:
		peer.Counts.Rejected++
	default:
		peer.Counts.Aborted++
	}
	c.adjustLimit(now, peer, event == eventCompleted)
	c.advance(id, event)
}

func (a *PeerAnswer) event(effect Effect) forwardEvent {
	switch {
	case a.Outcome == OutcomeCompleted && a.IssuedMillis > 0 && a.IssuedMillis <= a.LatestPurgeMillis:
		return eventStale
	case a.Outcome == OutcomeCompleted:
		return eventCompleted
	case a.Outcome == OutcomeRejected && (a.NeverRan || effect == EffectIdempotent):
		return eventRejected
	}
	return eventFailed
}
