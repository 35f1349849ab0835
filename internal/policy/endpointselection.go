package policy

import (
	"math"
	"slices"
)

// hash returns FNV-1a with a final mixing step. It gives the same value at every router.
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

// rendezvousScore returns an endpoint's score for an object in weighted rendezvous hashing.
func (ep *endpoint) rendezvousScore(key uint64) float64 {
	uniform := float64(hash("", key, ep.hash)>>11+1) / (1<<53 + 1) // within (0, 1)
	return -ep.hashWeight / math.Log(uniform)
}

// usable reports whether an endpoint can now be sent the request, or be its fill source. An endpoint on probation
// receives one attempt at a time, or none where a health check ends the probation.
func (r *Router) usable(ep *endpoint, req *request) bool {
	probationTaken := ep.health == probation && (ep.inFlight > 0 || r.config.healthChecks)
	return ep.active && ep.health != ejected && !probationTaken && r.slowStartAllows(ep, req)
}

// selectEndpoint returns the usable endpoint of a role with the highest score for the request's object, or nil if there
// is none. Endpoints that failed the request rank below all others. A filter, if not nil, must accept the endpoint.
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

// fillSource returns the endpoint that a cache fills from: a usable parent that has not failed the request, else the
// origin.
func (r *Router) fillSource(req *request) *endpoint {
	if p := r.selectEndpoint(req, roleParent, nil); p != nil && !slices.Contains(req.failed, p) {
		return p
	}
	return r.origin
}

// route returns the endpoint that the request is sent to, and the source that the endpoint fills from; nil if there is
// none. Where the site permits bypassing the caches, writes always do so, and reads do so if no cache is usable. A cache
// passes a write on to the origin.
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
