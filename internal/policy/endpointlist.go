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
	case ScopeDisk:
		// An earlier run of the router may have used its share of slow-start budgets.
		r.slowStartHoldUntil = max(r.slowStartHoldUntil, r.now+r.config.overloadWindow)
		if r.config.pollDiscovery {
			r.do(Action{Kind: ActionSubscribe})
		}
	}
	if scope != ScopeDiff {
		for _, s := range r.ordered {
			s.active, s.gone = false, true
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
	s := r.endpoints[e.ID]
	if s == nil {
		s = r.addEndpoint(e)
	}
	s.role = role
	s.zone, s.cell = e.Zone, e.Cell
	s.weight = max(e.Weight, minWeight)
	r.initLimiters(s)
	s.active = e.State == EndpointActive
	s.gone = e.State == EndpointGone
	if e.StartedAt > s.startedAt {
		s.startedAt = e.StartedAt
		r.observe(s, signalRestarted)
		s.readmittedAt = 0
	}
	s.hashWeight = s.weight
	if r.config.liveWeights { // they differ from router to router
		s.hashWeight = 1
	}
}

// addEndpoint adds an endpoint in the order of ids.
func (r *Router) addEndpoint(e *Endpoint) *endpoint {
	s := &endpoint{id: e.ID, hash: hash(e.ID), startedAt: e.StartedAt, health: healthy}
	r.endpoints[e.ID] = s
	at, _ := slices.BinarySearchFunc(r.ordered, s, func(a, b *endpoint) int { return cmp.Compare(a.id, b.id) })
	r.ordered = slices.Insert(r.ordered, at, s)
	return s
}

// setOrigin finds the origin: the last one that is active.
func (r *Router) setOrigin() {
	r.origin = nil
	for _, s := range r.ordered {
		if s.active && s.role == roleOrigin {
			r.origin = s
		}
	}
}

// forgetGoneEndpoints drops endpoints that are not listed any more once their attempts are over.
func (r *Router) forgetGoneEndpoints() {
	r.ordered = slices.DeleteFunc(r.ordered, func(s *endpoint) bool {
		over := s.gone && s.inFlight == 0
		if over {
			delete(r.endpoints, s.id)
		}
		return over
	})
}
