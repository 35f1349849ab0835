package policy

import (
	"math"
	"slices"
)

// maxCachedObjects bounds what a router remembers of one cache. It is divided by the square root of the number
// of routers that share the cache, since each sees a part of its requests.
const maxCachedObjects = 64

// cachedObjectsLimit is the bound for a router with this share of its zone's requests.
func cachedObjectsLimit(zoneShare float64) int { return int(maxCachedObjects * math.Sqrt(zoneShare)) }

// Priorities at which a cache may be asked to keep a copy. The protocol has higher and lower ones, which no decision
// uses.
const (
	cachePriorityNone   = 0
	cachePriorityMiddle = 2
)

// chooseCachePriority decides whether a cache shall keep the object, by TinyLFU: an object that is not on the cache's
// list replaces the least recent one there only if it is requested more often. The list follows at once, whether the
// attempt succeeds or not: the cache is asked either way.
func (r *Router) chooseCachePriority(ep *endpoint, key uint64) int {
	if i := slices.Index(ep.cached, key); i >= 0 {
		ep.cached = slices.Delete(ep.cached, i, i+1)
	} else if len(ep.cached) >= r.config.maxCachedObjects {
		if r.popularity.Estimate(key) <= r.popularity.Estimate(ep.cached[0]) {
			return cachePriorityNone
		}
		ep.cached = slices.Delete(ep.cached, 0, 1)
	}
	ep.cached = append(ep.cached, key)
	return cachePriorityMiddle
}
