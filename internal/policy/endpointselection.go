package policy

import (
	"math"
	"slices"
)

// hash is FNV-1a with a final mix: the same at every router.
func hash(text string, more ...uint64) uint64 {
	const (
		offset   = 14695981039346656037
		prime    = 1099511628211
		mixPrime = 0xd6e8feb86659fd93
	)
	h := uint64(offset)
	for i := range len(text) {
		h = (h ^ uint64(text[i])) * prime
	}
	for _, m := range more {
		h = (h ^ m) * prime
	}
	h ^= h >> 32
	h *= mixPrime
	return h ^ h>>32
}

// rendezvousScore is an endpoint's score for an object, by rendezvous hashing weighted by its size.
func (ep *endpoint) rendezvousScore(key uint64) float64 {
	uniform := float64(hash("", key, ep.hash)>>11+1) / (1<<53 + 1) // within (0, 1)
	return -ep.hashWeight / math.Log(uniform)
}

// usable reports whether an endpoint may be sent the request now, or be its fill source. One on probation is given
// one attempt at a time, none where a health check decides.
func (r *Router) usable(ep *endpoint, req *request) bool {
	probationTaken := ep.health == probation && (ep.inFlight > 0 || r.config.healthChecks)
	return ep.active && ep.health != ejected && !probationTaken && r.slowStartAllows(ep, req)
}

// selectEndpoint returns the usable endpoint of a role that scores highest for the request's object, those that
// failed the request after all others; nil if there is none. A filter leaves out more.
func (r *Router) selectEndpoint(req *request, role role, filter func(*endpoint) bool) *endpoint {
	var best *endpoint
	var bestScore float64
	bestFailed := true
	restricted := role == roleCache && req.maybeExecuted()
	for _, ep := range r.ordered {
		if ep.role != role || restricted && !r.attemptPermitted(req, ep) || !r.usable(ep, req) ||
			filter != nil && !filter(ep) {
			continue
		}
		failed := slices.Contains(req.failed, ep)
		score := ep.rendezvousScore(req.key)
		if best == nil || bestFailed && !failed || failed == bestFailed && score > bestScore {
			best, bestScore, bestFailed = ep, score, failed
		}
	}
	return best
}

// fillSource returns the endpoint that a cache shall fill from: a parent, or the origin where no parent is left
// that has not failed the request.
func (r *Router) fillSource(req *request) *endpoint {
	if p := r.selectEndpoint(req, roleParent, nil); p != nil && !slices.Contains(req.failed, p) {
		return p
	}
	return r.origin
}

// route returns the endpoint that the request is sent to and the source that this fills from; nil if there is none.
// Writes go to the origin, past the caches where the site allows that; reads pass them if no cache is usable.
func (r *Router) route(req *request) (target, source *endpoint) {
	if req.class.write && r.config.bypassCaches {
		return r.origin, r.origin
	}
	if cache := r.selectEndpoint(req, roleCache, nil); cache != nil {
		if req.class.write {
			return cache, r.origin
		}
		return cache, r.fillSource(req)
	}
	if r.config.bypassCaches {
		return r.fillSource(req), r.origin
	}
	return nil, nil
}
