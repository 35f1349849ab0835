package policy

import (
	"math"
	"slices"
)

// maxCachedObjects bounds a router's list of the objects that a cache was asked to keep. It is divided by the square
// root of the number of routers that share the cache, since each router sees only a part of its requests.
const maxCachedObjects = 64

// cachedObjectsLimit returns the bound for a router with a share of its zone's requests, at least one.
func cachedObjectsLimit(zoneShare float64) int {
	return max(int(maxCachedObjects*math.Sqrt(zoneShare)), 1)
}

// Priorities for a copy in a cache. The protocol has higher and lower ones, which no decision uses.
const (
	cachePriorityNone   = 0
	cachePriorityMiddle = 2
)

// chooseCachePriority decides by TinyLFU whether a cache is asked to keep an object: an object that is not in the
// cache's full list replaces the least recent one only if it is requested more often. The list is updated at once,
// since the cache is asked whatever the outcome of the attempt.
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
