package policy

import "cmp"

// limiter bounds the attempts of one kind that an endpoint has in flight, according to how many recent ones it answered
// in time. The limit and the counts are this router's share.
type limiter struct {
	limit         float64
	inFlight      float64
	otherInFlight float64  // of the router's other process, during an upgrade
	weight        float64  // of the endpoint, as listed
	reducedAt     int64    // time of the last reduction; 0: none
	samples       []sample // of the last attempts; bad: late or refused
}

// initialLimit is the limit of a new endpoint per unit of weight. It exceeds the normal number of attempts in flight;
// late responses reduce it.
const initialLimit = 3

// adjustLimit adjusts a limit after an attempt. A timely response raises the limit if at least half of it is in use: as
// many responses as the limit raise it by a quarter of the floor. When a quarter of the last attempts were late or
// refused, the limit is reduced, and then not again for the reduction interval. The floor keeps an eighth of a cache's
// link busy: responses that are late at that load have a cause that a lower limit would not remove.
func (r *Router) adjustLimit(lim *limiter, timely bool) {
	const (
		lateOneIn         = 4   // attempts, one of which was late or refused
		reduction         = 0.7 // factor
		reductionInterval = 200 * millisecond
		raiseDivisor      = 4 // of the floor
		floorDivisor      = 8 // of the weight
		minFloor          = 2 // attempts of all routers
		fewestSamples     = 4 // for a reduction, however small this router's share
	)
	share := r.config.zoneShare
	floor := max(minFloor, lim.weight/floorDivisor)
	minCount := max(int(minSamples*share), fewestSamples)
	lim.samples = addSample(lim.samples, r.now, !timely)
	late, all := countBad(lim.samples, r.now, minCount)
	switch {
	case timely && lim.inFlight+1 >= lim.limit/2:
		lim.limit += floor * share / (raiseDivisor * lim.limit)
	case !timely && lateOneIn*late >= max(all, minCount) && r.now-lim.reducedAt > reductionInterval:
		lim.reducedAt = r.now
		lim.limit = max(min(lim.limit, lim.inFlight+1)*reduction, floor*share)
	}
}

// saturated reports whether a limiter has no capacity for the request. The request's rank among the priorities of
// recent requests scales the limit, from half of it for the lowest to one and a half times for the highest. A limit
// below one is the probability that a request finds capacity.
func (r *Router) saturated(req *request, lim *limiter) bool {
	const lowestPriorityShare = 0.5
	rank := 0.0 // number of recent requests of lower priority, and half of those of equal priority
	for _, p := range r.priorities {
		rank += float64(1+cmp.Compare(req.priority, p)) / 2
	}
	limit := lim.limit * (lowestPriorityShare + rank/float64(max(len(r.priorities), 1)))
	return lim.inFlight+lim.otherInFlight >= limit || limit < 1 && r.random.float64() >= limit
}

// idle reports whether a cache has capacity for requests of a saturated one. The bounds are strict, so that copies are
// not scattered over the caches when all are near saturation.
func (r *Router) idle(ep *endpoint) bool {
	const lateOneIn, inFlightOneIn = 16, 3
	lim := &ep.limiters[attemptFill]
	late, all := countBad(lim.samples, r.now, minSamples)
	return lateOneIn*late < max(all, 1) && inFlightOneIn*(lim.inFlight+lim.otherInFlight) < lim.limit
}

// initLimiters assigns the limiters of an endpoint, and sets the limits that are not set yet.
func (r *Router) initLimiters(ep *endpoint) {
	if ep.role != roleCache {
		ep.limiters = &r.bypassLimiters
		return
	}
	ep.limiters = &ep.ownLimiters
	for i := range ep.ownLimiters {
		own, bypass := &ep.ownLimiters[i], &r.bypassLimiters[i]
		own.weight = ep.weight
		bypass.weight = ep.weight
		own.limit = cmp.Or(own.limit, initialLimit*ep.weight*r.config.zoneShare)
		bypass.limit = cmp.Or(bypass.limit, own.limit)
	}
}

// initBypassLimiters sets the limits for attempts that bypass the caches if no cache was ever listed.
func (r *Router) initBypassLimiters() {
	for i := range r.bypassLimiters {
		r.bypassLimiters[i].limit = cmp.Or(r.bypassLimiters[i].limit, initialLimit*r.config.zoneShare)
	}
}
