package policy

// requestObjective returns the time within which the response to a request has its full value: the class's latency
// objective plus a multiple of the transfer time. If the size is unknown, half the class's objective replaces the
// transfer time; observed transfer times would grow with the load.
func (c *trafficClass) requestObjective(transferTime int64) int64 {
	if transferTime == 0 {
		transferTime = c.latencyObjective / 2
	}
	return c.latencyObjective + int64(c.objectiveStretch*float64(transferTime))
}

// overdue reports whether an attempt counts as late: after four fifths of the latency objective, so that limits are
// reduced before responses miss it.
func (r *Router) overdue(req *request, a *attempt) bool {
	const numerator, denominator = 4, 5
	return denominator*(r.now-a.sentAt) > numerator*req.latencyObjective
}

// attemptTimeout returns the time limit of an attempt. At a cache it is at most twice the latency objective: a later
// response has little value, and the attempt occupies capacity.
func (r *Router) attemptTimeout(req *request, target *endpoint) int64 {
	const maxObjectives = 2 // latency objectives
	left := req.deadline - r.now
	if target.role == roleCache {
		return min(left, maxObjectives*req.latencyObjective)
	}
	return left
}
