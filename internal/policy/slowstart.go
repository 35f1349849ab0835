package policy

import (
	"math"
	"slices"
)

// slowStartBudget bounds the work that endpoints of a role are sent in slow start. Over the duration it grows from a
// share of a warm endpoint's capacity to all of it.
type slowStartBudget struct {
	initialCapacity  float64 // share of its capacity that an endpoint has at its start
	overloadMultiple float64 // of its capacity, above which it collapses
	routers          float64 // number of routers that share the budget
	duration         int64
}

const (
	// budgetShare is the share of the budget that is used. The rest covers routers that receive the start of an
	// endpoint late.
	budgetShare = 0.75
	// budgetDeviations is the number of standard deviations of the summed work that must also fit into the budget where
	// sizes are unknown: a few requests may all be large.
	budgetDeviations = 3
	// warmSlots is the number of reservations within an overload window to which the work sent to a warm endpoint is
	// summed up.
	warmSlots = 32
)

// reservation is the work of one attempt at an endpoint in slow start, or of one fill from it. Work sent to a warm
// endpoint is summed up in slots, since the endpoint may have restarted before this router is notified.
type reservation struct {
	at        int64   // of a slot: its end
	work      int64   // transfer time, or its mean in the class if the size is unknown
	variance  float64 // by which it raised that of the endpoint's reserved work; 0 if the size is known
	key       uint64  // hash of the object and its part; 0: of several
	deviation float64 // standard deviation of the work
	slot      bool    // work sent to a warm endpoint
}

// slowStartedAt returns the time at which an endpoint's slow start began. A readmitted cache may have been restarted: it
// is treated as such until the endpoint list would contain the restart.
func (r *Router) slowStartedAt(ep *endpoint) int64 {
	const listDelay = 7 * second // time within which the list contains a restart
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

// slowStartAllows reports whether an endpoint may be sent the request. In slow start, the work that this router sent
// within the overload window, together with the request, must fit into its share of the budget.
func (r *Router) slowStartAllows(ep *endpoint, req *request) bool {
	if r.warm(ep) {
		return true
	}
	if r.now < r.slowStartHoldUntil {
		return false
	}
	r.dropReservations(ep)
	work, variance := float64(req.cost), ep.addedVariance(req)
	for _, reserved := range ep.reservations {
		if reserved.at < ep.startedAt { // it reached an earlier process
			continue
		}
		work += float64(reserved.work)
		variance += reserved.variance
	}
	budget := &r.config.slowStart[ep.role]
	age := max(r.now-r.slowStartedAt(ep), 0)
	capacity := budget.initialCapacity + (1-budget.initialCapacity)*float64(age)/float64(budget.duration)
	maxWork := budget.overloadMultiple * capacity * ep.weight * float64(r.config.overloadWindow)
	total := work * budget.routers // of all routers, if each sends as much
	return total <= budgetShare*maxWork && total+budgetDeviations*math.Sqrt(variance*budget.routers) <= maxWork
}

// addedVariance returns by how much the request raises the variance of an endpoint's reserved work. Requests for the same
// part of an object have the same size, so that their deviations add up, not their variances.
func (ep *endpoint) addedVariance(req *request) float64 {
	deviation, same := math.Sqrt(req.costVariance), 0.0
	for _, reserved := range ep.reservations {
		if reserved.key == req.key && reserved.at >= ep.startedAt {
			same += reserved.deviation
		}
	}
	return req.costVariance + 2*same*deviation
}

// reserve counts the request against an endpoint's slow-start budget, also while the endpoint counts as warm.
func (r *Router) reserve(ep *endpoint, req *request) {
	if r.config.slowStart[ep.role].duration == 0 {
		return
	}
	r.dropReservations(ep)
	added := reservation{
		at: r.now, work: req.cost, variance: ep.addedVariance(req),
		key: req.key, deviation: math.Sqrt(req.costVariance),
	}
	if r.warm(ep) {
		slot := max(r.config.overloadWindow/warmSlots, 1)
		added.at = (r.now/slot + 1) * slot
		added.key = 0
		added.slot = true
		if last := len(ep.reservations) - 1; last >= 0 && ep.reservations[last].at == added.at {
			ep.reservations[last].work += added.work
			ep.reservations[last].variance += added.variance
			return
		}
	}
	ep.reservations = append(ep.reservations, added)
}

// recentWork returns an endpoint's reservations for another process. The slots are summed up, to keep the state of a
// large fleet small.
func (ep *endpoint) recentWork() []reservation {
	var list []reservation
	var sum reservation
	for _, reserved := range ep.reservations {
		if !reserved.slot {
			list = append(list, reserved)
			continue
		}
		sum.at = max(sum.at, reserved.at)
		sum.work += reserved.work
		sum.variance += reserved.variance
	}
	if sum.at > 0 {
		list = append(list, sum)
	}
	return list
}

// dropReservations drops reservations older than the overload window.
func (r *Router) dropReservations(ep *endpoint) {
	ep.reservations = slices.DeleteFunc(ep.reservations, func(reserved reservation) bool {
		return reserved.at <= r.now-r.config.overloadWindow
	})
}
