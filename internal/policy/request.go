package policy

import "slices"

// trafficClass is what decisions use of a TrafficClass.
type trafficClass struct {
	idempotency      idempotency
	dedupWindow      int64
	latencyObjective int64
	objectiveStretch float64
	freshFor         int64
	staleGrace       int64
	write            bool
	priorityWeight   float64
	transferTimes    []int64 // of the last requests
}

// request is an open request.
type request struct {
	id       string
	class    *trafficClass
	key      uint64 // hash of the object and its part
	object   string
	group    int64
	deadline int64
	priority float64 // weight for transfer time

	transferTime     int64   // by its size; 0: unknown
	latencyObjective int64   // see requestObjective
	cost             int64   // what an attempt takes of slow-start budgets: the transfer time ...
	costVariance     float64 // ... or its mean and variance in the class

	state         requestState
	retryAt       int64       // when the next attempt is due; 0: none is
	fallback      attemptKind // the kind that spares the origin which avoidOverload tried last; attemptFill: none yet
	sheddingDraw  float64     // drawn once, against load shedding; 0: not yet
	firstExecuted int         // the index of the first attempt that may have been executed
	attempts      []attempt
	failed        []*endpoint // endpoints and sources that failed it
}

// requestState is a state of an open request.
type requestState uint8

const (
	stateNotExecuted   requestState = 1 << iota // each attempt that ended is proven not to have been executed
	stateMaybeExecuted                          // one may have been
	stateStreaming                              // the response has begun
	stateClosed
	stateUndecided = stateNotExecuted | stateMaybeExecuted
)

// input is what changes a request's state.
type input uint8

const (
	inputArrived       input = iota
	inputNotExecuted         // an attempt ended, proven not to have been executed
	inputMaybeExecuted       // an attempt ended that may have been executed
	inputEndpointLost        // an attempt is in flight to an endpoint that was ejected, or fills from one
	inputRetryDue            // the pause before the next attempt is over
	inputStarted             // the response begins
	inputFinal               // it is answered, or its client has gone
)

// transition is one row of the request's state machine.
type transition struct {
	from    requestState
	input   input
	next    requestState // 0: the same
	handler func(*Router, *request)
}

var transitions []transition

// The table is filled here, since its functions lead back to it.
func init() {
	transitions = []transition{
		{stateNotExecuted, inputArrived, 0, (*Router).startAttempt},
		{stateUndecided, inputNotExecuted, 0, (*Router).retry},
		{stateUndecided, inputMaybeExecuted, stateMaybeExecuted, (*Router).retry},
		{stateUndecided, inputEndpointLost, 0, (*Router).replaceLostAttempt},
		{stateUndecided, inputRetryDue, 0, (*Router).startAttempt},
		{stateUndecided, inputStarted, stateStreaming, nil},
		{stateUndecided | stateStreaming, inputFinal, stateClosed, (*Router).closeRequest},
	}
}

// advance takes a request through one transition; nil is one that is unknown or closed.
func (r *Router) advance(req *request, input input) {
	if req == nil {
		return
	}
	for i := range transitions {
		row := &transitions[i]
		if row.from&req.state == 0 || row.input != input {
			continue
		}
		if row.next != 0 {
			req.state = row.next
		}
		if row.handler != nil {
			row.handler(r, req)
		}
		return
	}
}

// openRequest takes in a new request.
func (r *Router) openRequest(e *Event) {
	class := r.class(e)
	req := &request{
		id:       e.Request,
		class:    class,
		key:      hash(e.Object, uint64(e.Part)),
		object:   e.Object,
		group:    e.Group,
		deadline: r.now + e.Remaining,
		state:    stateNotExecuted,
	}
	r.setPriority(req, e.SizeKB)
	req.latencyObjective = class.requestObjective(req.transferTime)
	r.requests[req.id] = req
	r.open = append(r.open, req)
	if !class.write {
		r.countRequest(req.key)
	}
	r.advance(req, inputArrived)
}

// class returns a request's traffic class. One that the settings do not name is taken for unsafe.
func (r *Router) class(e *Event) *trafficClass {
	class := r.classes[e.Class]
	if class == nil {
		class = &trafficClass{idempotency: notIdempotent, latencyObjective: e.Remaining, write: e.Write}
		r.classes[e.Class] = class
	}
	return class
}

// setPriority works out a request's transfer time, and its priority: the class's weight for transfer time, where
// a small request counts as an eighth of its class's mean at least.
func (r *Router) setPriority(req *request, sizeKB float64) {
	const minTransferDivisor = 8
	class := req.class
	transfer := class.latencyObjective // where sizes are unknown
	if sizeKB > 0 && r.config.transferRate > 0 {
		req.transferTime = int64(sizeKB / r.config.transferRate)
		class.transferTimes = addRecent(class.transferTimes, req.transferTime)
		transfer = max(req.transferTime, mean(class.transferTimes, class.latencyObjective)/minTransferDivisor)
	}
	req.priority = class.priorityWeight / float64(transfer)
	r.priorities = addRecent(r.priorities, req.priority)
}

// setCost works out what an attempt takes of slow-start budgets.
func (req *request) setCost() {
	req.cost = req.transferTime
	req.costVariance = 0
	if req.transferTime == 0 {
		req.cost = mean(req.class.transferTimes, req.class.latencyObjective)
		req.costVariance = variance(req.class.transferTimes)
	}
}

// inFlight reports whether an attempt is in flight.
func (req *request) inFlight() bool {
	return slices.ContainsFunc(req.attempts, func(a attempt) bool { return a.inFlight })
}

// maybeExecuted reports whether an attempt may have been executed, or may yet be.
func (req *request) maybeExecuted() bool { return req.state == stateMaybeExecuted || req.inFlight() }

// rejectOrFail answers the request for good: rejected where its repetition by the client is harmless.
func (r *Router) rejectOrFail(req *request) {
	if r.now < req.deadline && (!req.maybeExecuted() || retryRules[req.class.idempotency].reject) {
		r.emit(Action{Kind: ActionReject, Request: req.id, RetryAfter: r.config.retryAfter})
	} else {
		r.emit(Action{Kind: ActionFail, Request: req.id})
	}
	r.advance(req, inputFinal)
}

// closeRequest withdraws what is in flight for a request that is answered. Ends of its attempts are only heard.
func (r *Router) closeRequest(req *request) {
	for i := range req.attempts {
		a := &req.attempts[i]
		if !a.inFlight {
			continue
		}
		a.release()
		if r.config.cancel {
			r.emit(Action{Kind: ActionCancel, Request: req.id, Attempt: i})
		}
	}
	delete(r.requests, req.id)
}
