package policy

import (
	"math"
	"slices"
)

// slowStartBudget is how much work the endpoints of a role may be sent after their start. It grows over the
// duration from a part of what a warm endpoint takes to all of it.
type slowStartBudget struct {
	from     float64 // part of its capacity that an endpoint has at its start
	multiple float64 // of its capacity, that it takes before it falls over
	routers  float64 // that share the budget
	duration int64
}

const (
	// budgetShare is the part of the budget that is used. The rest covers routers that learn late of a start.
	budgetShare = 0.75
	// budgetDeviations of the summed work stay free as well where sizes are not told: few requests may all be
	// large ones.
	budgetDeviations = 3
)

// reservation is work sent to an endpoint in slow start.
type reservation struct {
	at       int64
	work     int64   // transfer time; the mean of the class where sizes are not told
	variance float64 // of the work; 0 where sizes are told
}

// slowStartBegan is when an endpoint's slow start began. A cache that is readmitted may have been restarted:
// until the list would have told, it is taken for that.
func (r *Router) slowStartBegan(s *endpoint) int64 {
	const listDelay = 7 * second
	if s.role == roleCache && s.readmittedAt > s.startedAt && r.now-s.readmittedAt < listDelay {
		return s.readmittedAt
	}
	return s.startedAt
}

// warm tells whether an endpoint's slow start is over.
func (r *Router) warm(s *endpoint) bool {
	began := r.slowStartBegan(s)
	return began == 0 || r.now-began >= r.config.slowStart[s.role].duration
}

// slowStartAllows tells whether an endpoint may be sent the request: any once it is warm, else what this
// router's share of its budget leaves within the overload window.
func (r *Router) slowStartAllows(s *endpoint, t *request) bool {
	if r.warm(s) {
		return true
	}
	if r.now < r.slowStartHoldUntil {
		return false
	}
	r.dropReservations(s)
	work, variance := float64(t.cost), t.costVariance
	for _, p := range s.reservations {
		work += float64(p.work)
		variance += p.variance
	}
	budget := &r.config.slowStart[s.role]
	age := max(r.now-r.slowStartBegan(s), 0)
	capacity := budget.from + (1-budget.from)*float64(age)/float64(budget.duration)
	most := budget.multiple * capacity * s.weight * float64(r.config.overloadWindow)
	total := work * budget.routers // if every router sends as much
	return total <= budgetShare*most && total+budgetDeviations*math.Sqrt(variance*budget.routers) <= most
}

// reserve counts the request against an endpoint's budget.
func (r *Router) reserve(s *endpoint, t *request) {
	if r.warm(s) {
		s.reservations = nil
		return
	}
	r.dropReservations(s)
	s.reservations = append(s.reservations, reservation{r.now, t.cost, t.costVariance})
}

// dropReservations drops those older than the overload window.
func (r *Router) dropReservations(s *endpoint) {
	s.reservations = slices.DeleteFunc(s.reservations, func(p reservation) bool {
		return p.at <= r.now-r.config.overloadWindow
	})
}
