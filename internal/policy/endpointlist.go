package policy

import (
	"cmp"
	"slices"
)

// updateEndpoints follows the endpoint list; a full one removes the endpoints that it does not name.
func (r *Router) updateEndpoints(scope UpdateScope, list []Endpoint) {
	const resubscribeDelay = 1 * second // discovery is shared by all routers
	switch scope {
	case ScopeError:
		r.subscribeAt = r.now + resubscribeDelay
		return
	case ScopeInitial:
		// An earlier run of the router may have used its share of slow-start budgets.
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

// updateEndpoint takes in one line of the list. Caches of other zones are left out: no request is sent there, and
// the work for one must not grow with the fleet.
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
	ep.removed = listed.State == EndpointGone
	if listed.StartedAt > ep.startedAt {
		ep.startedAt = listed.StartedAt
		r.observe(ep, signalRestarted)
		ep.readmittedAt = 0
	}
	ep.hashWeight = ep.weight
	if r.config.liveWeights { // they differ from router to router
		ep.hashWeight = 1
	}
}

// addEndpoint adds an endpoint in the order of ids.
func (r *Router) addEndpoint(listed *Endpoint) *endpoint {
	ep := &endpoint{id: listed.ID, hash: hash(listed.ID), startedAt: listed.StartedAt, health: healthy}
	r.endpoints[listed.ID] = ep
	index, _ := slices.BinarySearchFunc(r.ordered, ep, func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
	r.ordered = slices.Insert(r.ordered, index, ep)
	return ep
}

// setOrigin finds the origin: the last one that is active.
func (r *Router) setOrigin() {
	r.origin = nil
	for _, ep := range r.ordered {
		if ep.active && ep.role == roleOrigin {
			r.origin = ep
		}
	}
}

// dropRemovedEndpoints drops endpoints that are not listed any more once their attempts are over.
func (r *Router) dropRemovedEndpoints() {
	r.ordered = slices.DeleteFunc(r.ordered, func(ep *endpoint) bool {
		drop := ep.removed && ep.inFlight == 0
		if drop {
			delete(r.endpoints, ep.id)
		}
		return drop
	})
}
