package policy

import "cmp"

// limiter bounds how many attempts of one kind an endpoint is given at once, by how many it has lately answered
// in time. Limit and counts are this router's share.
type limiter struct {
	limit         float64
	inFlight      float64
	otherInFlight float64 // of the router's other process, while one replaces the other
	weight        float64 // of the endpoint, as listed
	reducedAt     int64
	samples       []sample // of the last attempts: late or refused ones are bad
}

// initialLimit of attempts for a unit of weight is above what an endpoint in order is given; late answers bring
// it down.
const initialLimit = 3

// adjustLimit moves a limit after an attempt: up by a quarter of the floor for a round of timely answers, down
// when a quarter of the last were late or refused, then not again for a round. The floor keeps an eighth of a
// cache's link busy: less would not mend what makes answers late.
func (r *Router) adjustLimit(lim *limiter, timely bool) {
	const (
		lateOneIn     = 4 // responses that were late or refused
		reduction     = 0.7
		round         = 200 * millisecond
		raiseOneIn    = 4 // of the floor, for a round of timely responses
		floorWeight   = 8 // the floor is the weight divided by this ...
		minFloor      = 2 // ... and at least this
		fewestSamples = 4 // samples that are judged, however small this router's share
	)
	share := r.config.zoneShare
	floor := max(minFloor, lim.weight/floorWeight)
	minCount := max(int(minSamples*share), fewestSamples)
	lim.samples = addSample(lim.samples, r.now, !timely)
	late, all := countBad(lim.samples, r.now, minCount)
	switch {
	case timely && lim.inFlight+1 >= lim.limit/2:
		lim.limit += floor * share / (raiseOneIn * lim.limit)
	case !timely && lateOneIn*late >= max(all, minCount) && r.now-lim.reducedAt > round:
		lim.reducedAt = r.now
		lim.limit = max(min(lim.limit, lim.inFlight+1)*reduction, floor*share)
	}
}

// saturated reports whether a limiter has no capacity for the request. Requests of low priority are turned away
// first: the lowest at half the limit, the highest at half above it. A limit below one is a chance.
func (r *Router) saturated(req *request, lim *limiter) bool {
	const lowestPriorityShare = 0.5
	rank := 0.0
	for _, p := range r.priorities {
		rank += float64(1+cmp.Compare(req.priority, p)) / 2
	}
	limit := lim.limit * (lowestPriorityShare + rank/float64(max(len(r.priorities), 1)))
	return lim.inFlight+lim.otherInFlight >= limit || limit < 1 && r.random.float64() >= limit
}

// idle reports whether a cache has capacity for requests of a saturated one. It is strict: where all are saturated,
// copies should not be scattered.
func (r *Router) idle(ep *endpoint) bool {
	const lateOneIn, inFlightOneIn = 16, 3
	lim := &ep.limiters[attemptFill]
	late, all := countBad(lim.samples, r.now, minSamples)
	return lateOneIn*late < max(all, 1) && inFlightOneIn*(lim.inFlight+lim.otherInFlight) < lim.limit
}

// initLimiters assigns the limiters that bound an endpoint, and sets the limit of new ones.
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

// initBypassLimiters sets limits for attempts past the caches where no cache was ever listed.
func (r *Router) initBypassLimiters() {
	for i := range r.bypassLimiters {
		r.bypassLimiters[i].limit = cmp.Or(r.bypassLimiters[i].limit, initialLimit*r.config.zoneShare)
	}
}
