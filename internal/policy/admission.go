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

// Priorities at which a cache may be asked to keep a copy.
const (
	cachePriorityNone   = 0
	cachePriorityMiddle = 2
)

// cachePriority decides whether a cache shall keep the object, by TinyLFU: an object that is not on the cache's
// list replaces the least recent one there only if it is requested more often.
func (r *Router) cachePriority(s *endpoint, key uint64) int {
	if i := slices.Index(s.cached, key); i >= 0 {
		s.cached = slices.Delete(s.cached, i, i+1)
	} else if len(s.cached) >= r.config.maxCachedObjects {
		if r.popularity.estimate(key) <= r.popularity.estimate(s.cached[0]) {
			return cachePriorityNone
		}
		s.cached = slices.Delete(s.cached, 0, 1)
	}
	s.cached = append(s.cached, key)
	return cachePriorityMiddle
}

// samplesPerCachedObject sets after how many requests the popularity counts are halved.
const samplesPerCachedObject = 10

// setPopularitySample sets the halving period to ten times what the zone's caches are asked to keep.
func (r *Router) setPopularitySample() {
	r.popularitySample = 0
	for _, s := range r.ordered {
		if s.active && s.role == roleCache {
			r.popularitySample += samplesPerCachedObject * r.config.maxCachedObjects
		}
	}
}

// countRequest counts a request for an object.
func (r *Router) countRequest(key uint64) {
	r.popularity.count(key)
	if r.popularitySample > 0 && r.popularity.sample >= r.popularitySample {
		r.popularity.halve()
	}
}

// halvePopularity halves the counts after some time, too, for routers that see few requests.
func (r *Router) halvePopularity() {
	const period = 30 * second
	if r.now < r.nextHalving {
		return
	}
	if r.nextHalving > 0 {
		r.popularity.halve()
	}
	r.nextHalving = r.now + period
}
