package policy

import (
	"cmp"
	"slices"
)

// updateEndpoints applies an update of the endpoint list. A full list removes the endpoints that it does not contain.
func (r *Router) updateEndpoints(scope UpdateScope, list []Endpoint) {
	const resubscribeDelay = 1 * second // limits the load on discovery, which all routers share
	switch scope {
	case ScopeError:
		r.subscribeAt = r.now + resubscribeDelay
		return
	case ScopeInitial:
		// An earlier process of this router may have used its share of the slow-start budgets.
		r.slowStartHoldUntil = max(r.slowStartHoldUntil, r.now+r.config.overloadWindow)
		if r.config.pollDiscovery {
			r.emit(Action{Kind: ActionSubscribe})
		}
	}
	if scope != ScopeDiff {
		for _, ep := range r.ordered {
			ep.active = false
			ep.removed = true
		}
	}
	for i := range list {
		r.updateEndpoint(&list[i])
	}
	r.initBypassLimiters()
	r.setPopularitySample()
	r.setOrigin()
}

// updateEndpoint applies one entry of the list. Caches of other zones are ignored: no request is sent to them, and the
// work for each request must not grow with the fleet.
func (r *Router) updateEndpoint(listed *Endpoint) {
	const minWeight = 0.1
	role := r.config.roles[listed.Kind]
	if listed.Zone != r.config.zone && role == roleCache {
		return
	}
	ep := r.endpoints[listed.ID]
	if ep == nil {
		ep = r.addEndpoint(listed)
	}
	ep.role = role
	ep.zone = listed.Zone
	ep.cell = listed.Cell
	ep.weight = max(listed.Weight, minWeight)
	r.initLimiters(ep)
	ep.active = listed.State == EndpointActive
	ep.removed = listed.State == EndpointRemoved
	if listed.StartedAt > ep.startedAt {
		ep.startedAt = listed.StartedAt
		r.observe(ep, signalRestarted)
		ep.readmittedAt = 0
	}
	ep.hashWeight = ep.weight
	if r.config.liveWeights { // live weights differ between routers, whose hashing must agree
		ep.hashWeight = 1
	}
}

// addEndpoint inserts an endpoint in the order of ids.
func (r *Router) addEndpoint(listed *Endpoint) *endpoint {
	ep := &endpoint{id: listed.ID, hash: hash(listed.ID), startedAt: listed.StartedAt, health: healthy}
	r.endpoints[listed.ID] = ep
	index, _ := slices.BinarySearchFunc(r.ordered, ep, func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
	r.ordered = slices.Insert(r.ordered, index, ep)
	return ep
}

// setOrigin sets the origin: the active one with the last id.
func (r *Router) setOrigin() {
	r.origin = nil
	for _, ep := range r.ordered {
		if ep.active && ep.role == roleOrigin {
			r.origin = ep
		}
	}
}

// dropRemovedEndpoints drops removed endpoints whose attempts have all ended.
func (r *Router) dropRemovedEndpoints() {
	r.ordered = slices.DeleteFunc(r.ordered, func(ep *endpoint) bool {
		drop := ep.removed && ep.inFlight == 0
		if drop {
			delete(r.endpoints, ep.id)
		}
		return drop
	})
}
