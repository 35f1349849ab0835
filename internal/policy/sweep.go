package policy

import "slices"

// timerInterval is the time between two sweeps: well under any latency objective, and cheap.
const timerInterval = 25 * millisecond

// setTimer keeps one timer running.
func (r *Router) setTimer() {
	if r.timerSet {
		return
	}
	r.timerSet = true
	r.do(Action{Kind: ActionSetTimer, Due: r.now + timerInterval, Token: 1})
}

// sweep does what time brings.
func (r *Router) sweep() {
	r.halvePopularity()
	r.resubscribe()
	r.originDelay.decay(timerInterval)
	r.dropSettledPurges()
	r.updateHealth()
	r.forgetGoneEndpoints()
	r.open = slices.DeleteFunc(r.open, func(t *request) bool { return t.state == stateClosed })
	for _, t := range r.open {
		r.sweepRequest(t)
	}
}

// resubscribe asks for the endpoint list again some time after that failed.
func (r *Router) resubscribe() {
	if r.subscribeAt > 0 && r.now >= r.subscribeAt {
		r.subscribeAt = 0
		r.do(Action{Kind: ActionSubscribe})
	}
}

// sweepRequest sends an attempt that is due, takes in those that are overdue, and goes on from one whose endpoint
// failed.
func (r *Router) sweepRequest(t *request) {
	if t.retryAt > 0 && r.now >= t.retryAt {
		r.advance(t, inputRetryDue)
		return
	}
	for i := range t.attempts {
		if a := &t.attempts[i]; a.inFlight && r.overdue(t, a) {
			r.observeAttempt(t, a, false)
		}
	}
	last := &t.attempts[len(t.attempts)-1] // an open request has had one
	if last.inFlight && !last.lost && r.lost(t, last) {
		last.lost = true
		t.failed = append(t.failed, last.endpoint)
		r.advance(t, inputEndpointLost)
	}
}

// lost tells whether an attempt's endpoint failed meanwhile, or the source of its fill some time ago.
func (r *Router) lost(t *request, a *attempt) bool {
	stuck := a.kind == attemptFill && a.source.health == ejected && r.now-a.sentAt > t.class.latencyObjective/2
	return stuck || a.endpoint.health == ejected
}
