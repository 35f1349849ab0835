package policy

import "slices"

// timerInterval is the time between two sweeps: far below any latency objective, at little cost.
const timerInterval = 25 * millisecond

// sweepToken is the token of the timer of the sweep, the only timer in use.
const sweepToken = 1

// setTimer starts the timer of the sweep unless it is running.
func (r *Router) setTimer() {
	if r.timerSet {
		return
	}
	r.timerSet = true
	r.emit(Action{Kind: ActionSetTimer, Due: r.now + timerInterval, Token: sweepToken})
}

// sweep does the periodic work.
func (r *Router) sweep() {
	r.halvePopularity()
	r.resubscribe()
	r.originDelay.decay(timerInterval)
	r.dropSettledPurges()
	r.updateHealth()
	r.dropRemovedEndpoints()
	r.open = slices.DeleteFunc(r.open, func(req *request) bool { return req.state == stateClosed })
	for _, req := range r.open {
		r.sweepRequest(req)
	}
}

// resubscribe requests the endpoint list again once the delay after a failure is over.
func (r *Router) resubscribe() {
	if r.subscribeAt > 0 && r.now >= r.subscribeAt {
		r.subscribeAt = 0
		r.emit(Action{Kind: ActionSubscribe})
	}
}

// sweepRequest sends an attempt that is due, records those in flight that are overdue, and replaces one that is lost.
func (r *Router) sweepRequest(req *request) {
	if req.retryAt > 0 && r.now >= req.retryAt {
		r.advance(req, inputRetryDue)
		return
	}
	for i := range req.attempts {
		if a := &req.attempts[i]; a.inFlight && r.overdue(req, a) {
			r.observeAttempt(req, a, false)
		}
	}
	last := &req.attempts[len(req.attempts)-1] // an open request has had an attempt
	if last.inFlight && !last.lost && r.lost(req, last) {
		last.lost = true
		req.failed = append(req.failed, last.endpoint)
		r.advance(req, inputEndpointLost)
	}
}
