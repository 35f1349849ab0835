package peerpolicy

import "slices"

// Effect classifies a request by the effect of executing it twice.
type Effect uint8

// The effects.
const (
	EffectIdempotent     Effect = iota
	EffectIdempotencyKey        // endpoints drop repeats within their group, but not those sent to another site
	EffectUnsafe
)

// Outcome is the result of a forwarded request for its client.
type Outcome uint8

// The outcomes.
const (
	OutcomeNone Outcome = iota // the client gets no answer
	OutcomeCompleted
	OutcomeRejected // the client may retry
	OutcomeAborted
)

// Request is a request to forward, which the router's own policy has rejected.
type Request struct {
	RequestID string
	Effect    Effect
	NeverRan  bool     // no attempt of this request can have been executed
	Deadline  int64    // microseconds
	Route     []string // routers of other sites that forwarded it, in order
}

// Reason is the reason for which a request was not forwarded, or not admitted from a peer.
type Reason uint8

// The reasons.
const (
	ReasonOK            Reason = iota
	ReasonMaybeExecuted        // not idempotent, and an attempt may have been executed here
	ReasonNoTime               // Forward: no peer is expected to respond in time; Admit: delayed on the way
	ReasonNoPeer               // Forward: no healthy peer at another site; Admit: unknown or draining peer
	ReasonNoCapacity           // Forward: no peer that is expected to respond in time has capacity; Admit: no inbound capacity
	ReasonRoutingLoop          // Forward: it came from another site; Admit: the route is not the peer alone
	ReasonForwardLimit         // Settings.MaxRequests requests are in flight at peers
	ReasonLocalOverload        // too many of the latest local requests were rejected
	ReasonDuplicate            // a request with the same ID is in flight
	reasonCount
)

var reasonNames = [reasonCount]string{
	ReasonOK:            "ok",
	ReasonMaybeExecuted: "maybe executed",
	ReasonNoTime:        "no time",
	ReasonNoPeer:        "no peer",
	ReasonNoCapacity:    "no capacity",
	ReasonRoutingLoop:   "routing loop",
	ReasonForwardLimit:  "forward limit",
	ReasonLocalOverload: "local overload",
	ReasonDuplicate:     "duplicate",
}

func (r Reason) String() string { return reasonNames[r] }

// forwardState is the progress of a forwarded request. The values are bits, so that a
// transition can list several states.
type forwardState uint8

const (
	stateNotSent forwardState = 1 << iota // no byte of the request is on the connection
	stateSent                             // the request may have arrived at the peer
	stateEnded
)

// forwardEvent is an event of a forwarded request.
type forwardEvent uint8

const (
	eventSent         forwardEvent = iota
	eventNeverSent                 // the request was not sent, and will not be
	eventRejected                  // the peer rejected the request, which is idempotent or was never executed there
	eventCompleted                 // the whole response was received, and no purge known here makes it stale
	eventStale                     // the whole response was received, but it is no newer than a purge known here
	eventFailed                    // the peer aborted the request, or rejected it without qualifying for eventRejected
	eventDisconnected              // the connection to the peer has ended
	eventTimeout                   // the deadline has passed
	eventClientGone                // the client has disconnected
)

// forwardedRequest is a request that is in flight at a peer. Times are microseconds.
type forwardedRequest struct {
	peer        *Peer
	effect      Effect
	deadline    int64
	forwardedAt int64
	state       forwardState
}

// forwardTransitions is the state machine of a forwarded request. If the connection ends or
// the response is stale, the request may have been executed: an idempotent one is rejected, so
// that its client may retry, and any other is aborted. An event that has no transition from
// the current state is ignored.
var forwardTransitions = []struct {
	from       forwardState // one or more states
	event      forwardEvent
	to         forwardState
	idempotent Outcome // of a request with EffectIdempotent
	other      Outcome // of any other request
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

// advance applies an event to a forwarded request. A request that has ended is removed, and its
// outcome, unless OutcomeNone, becomes an ActionAnswer.
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
		c.removeForwarded(id, request)
		if outcome != OutcomeNone {
			c.addAction(Action{Kind: ActionAnswer, Peer: request.peer.Name, RequestID: id, Outcome: outcome})
		}
		return
	}
}

func (c *Controller) removeForwarded(id string, request *forwardedRequest) {
	delete(c.forwarded, id)
	request.peer.InFlight--
}

// Forward chooses a peer for a rejected request, and records the request as forwarded to it.
// A request that came from another site is not forwarded again.
func (c *Controller) Forward(now int64, request *Request) (*Peer, Reason) {
	switch {
	case !request.NeverRan && request.Effect != EffectIdempotent:
		return nil, ReasonMaybeExecuted
	case len(request.Route) > 0:
		return nil, ReasonRoutingLoop
	case c.forwarded[request.RequestID] != nil:
		return nil, ReasonDuplicate
	case len(c.forwarded) >= c.settings.MaxRequests:
		return nil, ReasonForwardLimit
	}
	deadline := request.Deadline - c.deadlineMargin()
	peer, reason := c.choosePeer(now, deadline)
	if peer == nil {
		return nil, reason
	}
	c.forwarded[request.RequestID] = &forwardedRequest{
		peer: peer, effect: request.Effect, deadline: deadline, forwardedAt: now, state: stateNotSent,
	}
	peer.InFlight++
	peer.Counts.Forwarded++
	return peer, ReasonOK
}

// choosePeer chooses, among the healthy peers of other sites, the peer with the least share of
// its capacity in use. It passes over peers whose response is not expected before the
// deadline. Without a choice the reason is ReasonNoCapacity if a healthy peer could respond in
// time, else ReasonNoTime if any peer is healthy, else ReasonNoPeer.
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

// expectedResponseTime is the time within which three quarters of the latest responses were
// received. Without responses it is one and a half times the median round trip, or
// defaultRoundTrip where no round trip is known either.
func (p *Peer) expectedResponseTime() int64 {
	const (
		upperQuartile    = 0.75
		median           = 0.5
		defaultRoundTrip = 50 * millisecond
	)
	return quantile(p.responseTimes, upperQuartile, quantile(p.roundTrips, median, defaultRoundTrip)*3/2)
}

// deadlineMargin is the time before its client's deadline at which a forwarded request is given
// up. It covers the interval of Tick and the transmission of the response to the client.
func (c *Controller) deadlineMargin() int64 {
	const clientResponse = 10 * millisecond
	return c.settings.HeartbeatInterval/TicksPerHeartbeat + clientResponse
}

// Budget is the time, in microseconds, that the peer has for a forwarded request: the time
// until the request is given up here, less half a round trip for the response. It is 0 for a
// request that is not in flight.
func (c *Controller) Budget(now int64, id string) int64 {
	request := c.forwarded[id]
	if request == nil {
		return 0
	}
	const median = 0.5
	return max(request.deadline-now-quantile(request.peer.roundTrips, median, 0)/2, 0)
}

// MarkSent records that the caller is about to send a request: from now on the request may have
// arrived at the peer. It returns false if the request has ended or was already sent; the
// caller must then not send it.
func (c *Controller) MarkSent(id string) bool {
	request := c.forwarded[id]
	if request == nil || request.state != stateNotSent {
		return false
	}
	c.advance(id, eventSent)
	return true
}

// MarkNotSent records that a request was not sent and will not be. It adds an ActionAnswer with
// OutcomeRejected.
func (c *Controller) MarkNotSent(id string) { c.advance(id, eventNeverSent) }

// ClientDisconnected records that the client of a forwarded request has disconnected, and cancels
// the request at the peer.
func (c *Controller) ClientDisconnected(id string) {
	if request := c.forwarded[id]; request != nil {
		c.addAction(Action{Kind: ActionCancel, Peer: request.peer.Name, RequestID: id})
		c.advance(id, eventClientGone)
	}
}

// DiscardUnsent removes a request that was marked as sent although no byte of it was, since the
// connection's queue was full. It adds no ActionAnswer: the caller answers the client itself.
func (c *Controller) DiscardUnsent(id string) {
	if request := c.forwarded[id]; request != nil {
		c.removeForwarded(id, request)
	}
}

// IsForwarded reports whether a request is in flight at a peer.
func (c *Controller) IsForwarded(id string) bool { return c.forwarded[id] != nil }

// ForwardedInFlight returns the number of requests in flight at peers.
func (c *Controller) ForwardedInFlight() int { return len(c.forwarded) }

// expireForwarded ends the forwarded requests whose deadline has passed, and cancels them at
// their peers.
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
		c.addAction(Action{Kind: ActionCancel, Peer: peer.Name, RequestID: id})
		c.advance(id, eventTimeout)
	}
}

// PeerAnswer is a peer's answer to a forwarded request, with the latest purge that the answer
// is checked against. Both times are Unix milliseconds, or any other clock and unit that they
// share, since they are only compared with each other.
type PeerAnswer struct {
	Outcome           Outcome
	NeverRan          bool  // with OutcomeRejected: the peer did not execute the request
	IssuedMillis      int64 // with OutcomeCompleted: when the origin issued the copy; 0: no copy
	LatestPurgeMillis int64 // of the purges known here that cover the request; 0: none
}

// HandleAnswer handles a peer's answer to a forwarded request. It ignores an answer to a request
// that has ended, is not sent yet, or is in flight at another peer.
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
		peer.responseTimes = addSample(peer.responseTimes, now-request.forwardedAt)
		peer.Counts.Completed++
	case eventRejected:
		peer.Counts.Rejected++
	default:
		peer.Counts.Aborted++
	}
	c.adjustLimit(now, peer, event == eventCompleted)
	c.advance(id, event)
}

// event is the event that an answer means for a request of that effect. A completed response
// is stale if the origin issued it no later than the latest purge.
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
