package policy

import "slices"

// trafficClass holds the fields of a TrafficClass that decisions use, and recent transfer times.
type trafficClass struct {
	idempotency      idempotency
	dedupWindow      int64
	latencyObjective int64
	objectiveStretch float64
	freshFor         int64
	staleGrace       int64
	write            bool
	priorityWeight   float64
	transferTimes    []int64 // of the last requests, see recordOutcome and setPriority
	objectTimes      []objectTime
}

// objectTime is the last transfer time of a copy of an object.
type objectTime struct {
	object       string
	transferTime int64
}

// learnTransferTime records the transfer time of a copy whose size the request did not tell.
func (c *trafficClass) learnTransferTime(object string, transferTime int64) {
	c.transferTimes = addRecent(c.transferTimes, transferTime)
	c.objectTimes = slices.DeleteFunc(c.objectTimes, func(known objectTime) bool { return known.object == object })
	c.objectTimes = addRecent(c.objectTimes, objectTime{object, transferTime})
}

// meanTransferTime returns the mean of the last transfer times. While few are known, they may be small by chance: the
// latency objective counts as one more.
func (c *trafficClass) meanTransferTime() int64 {
	times := c.transferTimes
	if len(times) < minSamples {
		times = append([]int64{c.latencyObjective}, times...)
	}
	return mean(times, 0)
}

// transferVariance returns the variance of the transfer times around a mean. It counts each object once, since many
// requests may be for one of them, and while few objects are known the latency objective as one more.
func (c *trafficClass) transferVariance(mean int64) float64 {
	times := make([]int64, 0, maxRecent+1)
	if len(c.objectTimes) < minSamples {
		times = append(times, c.latencyObjective)
	}
	for _, known := range c.objectTimes {
		times = append(times, known.transferTime)
	}
	return variance(times, mean)
}

// request is the state of an open request.
type request struct {
	id       string
	class    *trafficClass
	key      uint64 // hash of the object and its part
	object   string
	group    int64
	deadline int64
	priority float64 // class's weight per transfer time, see setPriority

	transferTime     int64   // from its size; 0: unknown
	latencyObjective int64   // see requestObjective
	cost             int64   // use of slow-start budgets by an attempt: the transfer time, or its mean in the class
	costVariance     float64 // of the transfer times in the class; 0 where the request's own is known

	state         requestState
	retryAt       int64       // time of the next attempt; 0: none is scheduled
	fallback      attemptKind // last kind without an origin fill that avoidOverload considered; attemptFill: none yet
	sheddingDraw  float64     // random number for load shedding, drawn once; 0: not drawn yet
	firstExecuted int         // index of the first attempt that may have been executed
	attempts      []attempt
	failed        []*endpoint // endpoints and fill sources that failed the request
}

// requestState is a state of an open request.
type requestState uint8

const (
	stateNotExecuted   requestState = 1 << iota // every ended attempt is proven not to have been executed
	stateMaybeExecuted                          // an ended attempt may have been executed
	stateStreaming                              // the response has started
	stateClosed
	stateUndecided = stateNotExecuted | stateMaybeExecuted
)

// input is an input of the state machine of a request.
type input uint8

const (
	inputArrived       input = iota
	inputNotExecuted         // an attempt ended that is proven not to have been executed
	inputMaybeExecuted       // an attempt ended that may have been executed
	inputEndpointLost        // an attempt in flight is lost, see Router.lost
	inputRetryDue            // the pause before the next attempt is over
	inputStarted             // the response starts
	inputFinal               // the request is answered, or its client disconnected
)

// transition is one row of the state machine of a request.
type transition struct {
	from    requestState
	input   input
	next    requestState // 0: unchanged
	handler func(*Router, *request)
}

var transitions []transition

// The table is filled by init, since an initializer of the variable would be an initialization cycle: the handlers call
// advance, which reads the table.
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

// advance applies one input to a request, which is nil if unknown or closed. An input without a matching transition is
// ignored.
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

// openRequest opens a new request and starts its first attempt.
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

// class returns a request's traffic class. A class that the settings do not contain is treated as not idempotent.
func (r *Router) class(e *Event) *trafficClass {
	class := r.classes[e.Class]
	if class == nil {
		class = &trafficClass{idempotency: notIdempotent, latencyObjective: e.Remaining, write: e.Write}
		r.classes[e.Class] = class
	}
	return class
}

// setPriority computes a request's transfer time and its priority: the class's weight divided by the transfer time,
// for which a small request counts as at least an eighth of its class's mean.
func (r *Router) setPriority(req *request, sizeKB float64) {
	const minTransferDivisor = 8
	class := req.class
	transfer := class.latencyObjective // if the size is unknown
	if sizeKB > 0 && r.config.transferRate > 0 {
		req.transferTime = int64(sizeKB / r.config.transferRate)
		class.transferTimes = addRecent(class.transferTimes, req.transferTime)
		transfer = max(req.transferTime, mean(class.transferTimes, class.latencyObjective)/minTransferDivisor)
	}
	req.priority = class.priorityWeight / float64(transfer)
	r.priorities = addRecent(r.priorities, req.priority)
}

// setCost computes how much of a slow-start budget an attempt of the request uses.
func (req *request) setCost() {
	req.cost = req.transferTime
	req.costVariance = 0
	if req.transferTime == 0 {
		req.cost = req.class.meanTransferTime()
		req.costVariance = req.class.transferVariance(req.cost)
	}
}

// inFlight reports whether an attempt of the request is in flight.
func (req *request) inFlight() bool {
	return slices.ContainsFunc(req.attempts, func(a attempt) bool { return a.inFlight })
}

// maybeExecuted reports whether an attempt may have been executed, or one in flight may still be.
func (req *request) maybeExecuted() bool { return req.state == stateMaybeExecuted || req.inFlight() }

// rejectOrFail ends the request without a response. It is rejected if its deadline has not passed and the client can
// safely repeat it, else failed.
func (r *Router) rejectOrFail(req *request) {
	if r.now < req.deadline && (!req.maybeExecuted() || retryRules[req.class.idempotency].reject) {
		r.emit(Action{Kind: ActionReject, Request: req.id, RetryAfter: r.config.retryAfter})
	} else {
		r.emit(Action{Kind: ActionFail, Request: req.id})
	}
	r.advance(req, inputFinal)
}

// closeRequest closes a request that was answered or whose client disconnected. Where the site permits that, it cancels
// the attempts in flight. Their later ends only update the state of endpoints.
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
