package peerpolicy

import "slices"

// maxExtraDelay is how much longer than the quickest one a request may have been under
// way, in microseconds: a side that stood still for longer may wake up to requests that
// have ended.
const maxExtraDelay = 500 * millisecond

// Admit decides whether a peer's request is taken. One that is not was never executed.
func (c *Controller) Admit(now int64, name, id string, route []string, extraDelay int64) Reason {
	peer := c.Peer(name)
	reason := c.admission(now, peer, name, id, route, extraDelay)
	if reason != ReasonOK {
		c.InboundCounts.Rejected++
		return reason
	}
	c.inbound[inboundKey(name, id)] = peer
	c.InboundCounts.Taken++
	return ReasonOK
}

func (c *Controller) admission(now int64, peer *Peer, name, id string, route []string, extraDelay int64) Reason {
	oneHop := len(route) == 1 && route[0] == name && !slices.Contains(route, c.settings.Name)
	switch {
	case peer == nil || peer.State == StateDraining:
		return ReasonNoPeer
	case !oneHop:
		return ReasonRoutingLoop
	case c.inbound[inboundKey(name, id)] != nil:
		return ReasonDuplicate
	case extraDelay > maxExtraDelay:
		return ReasonNoTime
	case float64(len(c.inbound)) >= c.inboundCapacity():
		return ReasonNoCapacity
	case c.localOverloaded(now):
		return ReasonLocalPriority
	}
	return ReasonOK
}

func inboundKey(peer, id string) string { return peer + "/" + id }

func (c *Controller) inboundCapacity() float64 {
	return min(c.inboundLimit, (1-c.settings.LocalReserve)*float64(c.settings.MaxRequests))
}

// FinishInbound says how a peer's request ended here.
func (c *Controller) FinishInbound(now int64, name, id string, completed bool) {
	delete(c.inbound, inboundKey(name, id))
	if !completed {
		c.reduceInboundLimit(now)
		return
	}
	if float64(len(c.inbound))+1 >= c.inboundLimit/2 {
		c.inboundLimit = min(c.inboundLimit+1/c.inboundLimit, float64(c.settings.MaxRequests))
	}
}

// ObserveLocal says whether a request of this site was rejected: inbound requests take
// the capacity of local ones.
func (c *Controller) ObserveLocal(now int64, rejected bool) {
	c.localOutcomes = addOutcome(c.localOutcomes, now, rejected)
	if rejected {
		c.reduceInboundLimit(now)
	}
}

func (c *Controller) reduceInboundLimit(now int64) {
	if now-c.inboundReducedAt > limitRoundTrip {
		c.inboundReducedAt = now
		c.inboundLimit = max(c.inboundLimit*limitDecrease, minLimit)
	}
}

// localOverloaded tells whether an eighth of the last second's local requests were
// rejected.
func (c *Controller) localOverloaded(now int64) bool {
	const (
		minOutcomes   = 8
		rejectedOneIn = 8
	)
	rejected, all := 0, 0
	for _, outcome := range c.localOutcomes {
		if outcome.at <= now-second {
			continue
		}
		all++
		if outcome.bad {
			rejected++
		}
	}
	return all >= minOutcomes && rejectedOneIn*rejected >= all
}

// OfferedCapacity is the number of requests that a heartbeat offers to take.
func (c *Controller) OfferedCapacity(now int64) int {
	if c.localOverloaded(now) {
		return 0
	}
	return max(int(c.inboundCapacity())-len(c.inbound), 0)
}

// InboundInFlight tells how many requests of peers are being worked on.
func (c *Controller) InboundInFlight() int { return len(c.inbound) }
