package policy

// requestObjective is the time within which the response to a request is worth most: the class's latency objective,
// and more for a longer transfer. Where the size is unknown, half the class's objective stands for the transfer
// time; observed ones would grow with the load.
func (c *trafficClass) requestObjective(transferTime int64) int64 {
	if transferTime == 0 {
		transferTime = c.latencyObjective / 2
	}
	return c.latencyObjective + int64(c.objectiveStretch*float64(transferTime))
}

// overdue reports whether an attempt counts as late: from four fifths of the latency objective on, so that limits
// come down before responses miss it.
func (r *Router) overdue(req *request, a *attempt) bool {
	const numerator, denominator = 4, 5
	return denominator*(r.now-a.sentAt) > numerator*req.latencyObjective
}

// attemptTimeout is an attempt's time limit. At a cache it ends at twice the latency objective: it is worth
// little then, and takes capacity.
func (r *Router) attemptTimeout(req *request, target *endpoint) int64 {
	const maxObjectives = 2
	left := req.deadline - r.now
	if target.role == roleCache {
		return min(left, maxObjectives*req.latencyObjective)
	}
	return left
}
