package policy

import (
	"math"
	"slices"
)

// slowStartBudget is how much work the endpoints of a role may be sent after their start. It grows over the
// duration from a part of what a warm endpoint takes to all of it.
type slowStartBudget struct {
	initialCapacity  float64 // part of its capacity that an endpoint has at its start
	overloadMultiple float64 // of its capacity, that it takes before it falls over
	routers          float64 // that share the budget
	duration         int64
}

const (
	// budgetShare is the part of the budget that is used. The rest covers routers that learn late of a start.
	budgetShare = 0.75
	// budgetDeviations of the summed work stay free as well where sizes are unknown: few requests may all be
	// large ones.
	budgetDeviations = 3
)

// reservation is work sent to an endpoint in slow start.
type reservation struct {
	at       int64
	work     int64   // transfer time; the mean of the class where sizes are unknown
	variance float64 // of the work; 0 where sizes are known
}

// slowStartedAt is when an endpoint's slow start began. A cache that is readmitted may have been restarted: it is
// treated so until the endpoint list would show it.
func (r *Router) slowStartedAt(ep *endpoint) int64 {
	const listDelay = 7 * second // within which the list shows a restart
	if ep.role == roleCache && ep.readmittedAt > ep.startedAt && r.now-ep.readmittedAt < listDelay {
		return ep.readmittedAt
	}
	return ep.startedAt
}

// warm reports whether an endpoint's slow start is over.
func (r *Router) warm(ep *endpoint) bool {
	startedAt := r.slowStartedAt(ep)
	return startedAt == 0 || r.now-startedAt >= r.config.slowStart[ep.role].duration
}

// slowStartAllows reports whether an endpoint may be sent the request: any once it is warm, else what this
// router's share of its budget leaves within the overload window.
func (r *Router) slowStartAllows(ep *endpoint, req *request) bool {
	if r.warm(ep) {
		return true
	}
	if r.now < r.slowStartHoldUntil {
		return false
	}
	r.dropReservations(ep)
	work, variance := float64(req.cost), req.costVariance
	for _, reserved := range ep.reservations {
		work += float64(reserved.work)
		variance += reserved.variance
	}
	budget := &r.config.slowStart[ep.role]
	age := max(r.now-r.slowStartedAt(ep), 0)
	capacity := budget.initialCapacity + (1-budget.initialCapacity)*float64(age)/float64(budget.duration)
	maxWork := budget.overloadMultiple * capacity * ep.weight * float64(r.config.overloadWindow)
	total := work * budget.routers // if every router sends as much
	return total <= budgetShare*maxWork && total+budgetDeviations*math.Sqrt(variance*budget.routers) <= maxWork
}

// reserve counts the request against an endpoint's budget.
func (r *Router) reserve(ep *endpoint, req *request) {
	if r.warm(ep) {
		ep.reservations = nil
		return
	}
	r.dropReservations(ep)
	ep.reservations = append(ep.reservations, reservation{r.now, req.cost, req.costVariance})
}

// dropReservations drops those older than the overload window.
func (r *Router) dropReservations(ep *endpoint) {
	ep.reservations = slices.DeleteFunc(ep.reservations, func(reserved reservation) bool {
		return reserved.at <= r.now-r.config.overloadWindow
	})
}
