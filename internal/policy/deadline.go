package policy

// latencyObjective is the time within which the request's response is worth most. Where its size is not told,
// half the class's objective stands for its transfer time; observed ones would grow with the load.
func (t *request) latencyObjective() int64 {
	transfer := t.transferTime
	if transfer == 0 {
		transfer = t.class.latencyObjective / 2
	}
	return t.class.latencyObjective + int64(t.class.objectiveStretch*float64(transfer))
}

// overdue tells whether an attempt counts as late: from four fifths of the latency objective on, so that limits
// come down before responses miss it.
func (r *Router) overdue(t *request, a *attempt) bool {
	return 5*(r.now-a.sentAt) > 4*t.latencyObjective()
}

// attemptTimeout is an attempt's time limit. At a cache it ends at twice the latency objective: it is worth
// little then, and takes capacity.
func (r *Router) attemptTimeout(t *request, target *endpoint) int64 {
	const objectives = 2
	left := t.deadline - r.now
	if target.role == roleCache {
		return min(left, objectives*t.latencyObjective())
	}
	return left
}
