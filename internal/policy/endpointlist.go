package policy

import (
	"cmp"
	"slices"
)

// updateEndpoints follows the endpoint list; a full one removes the endpoints that it does not name.
func (r *Router) updateEndpoints(scope UpdateScope, list []Endpoint) {
	const fetchRetry = 1 * second // discovery is shared by all routers
	switch scope {
	case ScopeError:
		r.subscribeAt = r.now + fetchRetry
		return
	case ScopeInitial:
		// An earlier run of the router may have used its share of slow-start budgets.
		r.slowStartHoldUntil = max(r.slowStartHoldUntil, r.now+r.config.overloadWindow)
		if r.config.pollDiscovery {
			r.do(Action{Kind: ActionSubscribe})
		}
	}
	if scope != ScopeDiff {
		for _, ep := range r.ordered {
			ep.active = false
			ep.gone = true
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
func (r *Router) updateEndpoint(e *Endpoint) {
	const minWeight = 0.1
	role := r.config.roles[e.Kind]
	if e.Zone != r.config.zone && role == roleCache {
		return
	}
	ep := r.endpoints[e.ID]
	if ep == nil {
		ep = r.addEndpoint(e)
	}
	ep.role = role
	ep.zone = e.Zone
	ep.cell = e.Cell
	ep.weight = max(e.Weight, minWeight)
	r.initLimiters(ep)
	ep.active = e.State == EndpointActive
	ep.gone = e.State == EndpointGone
	if e.StartedAt > ep.startedAt {
		ep.startedAt = e.StartedAt
		r.observe(ep, signalRestarted)
		ep.readmittedAt = 0
	}
	ep.hashWeight = ep.weight
	if r.config.liveWeights { // they differ from router to router
		ep.hashWeight = 1
	}
}

// addEndpoint adds an endpoint in the order of ids.
func (r *Router) addEndpoint(e *Endpoint) *endpoint {
	ep := &endpoint{id: e.ID, hash: hash(e.ID), startedAt: e.StartedAt, health: healthy}
	r.endpoints[e.ID] = ep
	at, _ := slices.BinarySearchFunc(r.ordered, ep, func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
	r.ordered = slices.Insert(r.ordered, at, ep)
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

// forgetGoneEndpoints drops endpoints that are not listed any more once their attempts are over.
func (r *Router) forgetGoneEndpoints() {
	r.ordered = slices.DeleteFunc(r.ordered, func(ep *endpoint) bool {
		over := ep.gone && ep.inFlight == 0
		if over {
			delete(r.endpoints, ep.id)
		}
		return over
	})
}
