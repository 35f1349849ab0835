package peerpolicy

import "slices"

// maxExtraDelay bounds the transit time of a request in excess of the quickest frame of its
// connection, in microseconds. If either router stalls for longer, requests that have already
// ended at the forwarding router may be read here.
const maxExtraDelay = 500 * millisecond

// Admit decides whether a peer's request is admitted, and records one that is. A request that
// is not admitted is never executed here. The route names the routers that forwarded the
// request; extraDelay is its transit time in excess of the quickest frame.
func (c *Controller) Admit(now int64, name, id string, route []string, extraDelay int64) Reason {
	peer := c.Peer(name)
	reason := c.checkAdmission(now, peer, name, id, route, extraDelay)
	if reason != ReasonOK {
		c.InboundCounts.Rejected++
		return reason
	}
	c.inbound[inboundKey(name, id)] = peer
	c.InboundCounts.Admitted++
	return ReasonOK
}

// checkAdmission returns ReasonOK, or the reason for which a request is not admitted.
func (c *Controller) checkAdmission(now int64, peer *Peer, name, id string, route []string, extraDelay int64) Reason {
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
		return ReasonLocalOverload
	}
	return ReasonOK
}

func inboundKey(peer, id string) string { return peer + "/" + id }

// inboundCapacity is the number of requests from all peers that may be in flight at the same
// time.
func (c *Controller) inboundCapacity() float64 {
	return min(c.inboundLimit, (1-c.settings.LocalReserve)*float64(c.settings.MaxRequests))
}

// FinishInbound records that an admitted request has ended. A completed one raises the inbound
// limit by 1/limit while at least half of the limit is in use; any other one reduces it.
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

// ObserveLocal records whether a request of this site was rejected. A rejection reduces the
// inbound limit, since inbound requests use the capacity of local ones.
func (c *Controller) ObserveLocal(now int64, rejected bool) {
	c.localOutcomes = addOutcome(c.localOutcomes, now, rejected)
	if rejected {
		c.reduceInboundLimit(now)
	}
}

// reduceInboundLimit reduces the inbound limit, at most once per limitDecreaseInterval.
func (c *Controller) reduceInboundLimit(now int64) {
	if now-c.inboundReducedAt > limitDecreaseInterval {
		c.inboundReducedAt = now
		c.inboundLimit = max(c.inboundLimit*limitDecreaseFactor, minLimit)
	}
}

// localOverloaded reports whether an eighth or more of the last second's local requests were
// rejected. It reports false if there were fewer than minOutcomes of them.
func (c *Controller) localOverloaded(now int64) bool {
	const (
		minOutcomes          = 8
		rejectedShareDivisor = 8
	)
	rejected, total := 0, 0
	for _, outcome := range c.localOutcomes {
		if outcome.at <= now-second {
			continue
		}
		total++
		if outcome.bad {
			rejected++
		}
	}
	return total >= minOutcomes && rejectedShareDivisor*rejected >= total
}

// OfferedCapacity is the number of further requests that a heartbeat offers to admit. It is 0
// while the site is overloaded by its local requests.
func (c *Controller) OfferedCapacity(now int64) int {
	if c.localOverloaded(now) {
		return 0
	}
	return max(int(c.inboundCapacity())-len(c.inbound), 0)
}

// InboundInFlight returns the number of admitted requests that have not ended.
func (c *Controller) InboundInFlight() int { return len(c.inbound) }
