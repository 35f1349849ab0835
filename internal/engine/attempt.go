package engine

import (
	"sync/atomic"

	"quilldoor/internal/policy"
)

// Attempt is one attempt to serve a request from an endpoint. Times and durations
// are in microseconds.
type Attempt struct {
	Request       *Request
	Number        int // index among the request's attempts, from 0
	Endpoint      *Endpoint
	Source        string // id of the endpoint that a miss is filled from; "": a miss is not filled
	CachePriority int    // priority at which a cache keeps the copy; 0: it does not keep it
	MaxAge        int64  // greatest age of a copy; 0: the class's freshness time
	FillMode      policy.FillMode
	DecidedAt     int64     // when the policy decided to send it
	Deadline      int64     // when the router stops waiting for the response
	SendBefore    int64     // time from which it must not be written; 0: Deadline
	Unsafe        bool      // the request is unsafe, and another attempt of it may have been executed
	Transport     Transport // set by the reader of the command queue; nil: not passed to a transport

	timer *timer // at Deadline
	ended bool
	state atomic.Uint32
}

// Transport carries an attempt on the sockets. Drop abandons the attempt; timedOut
// reports that it timed out without a response.
type Transport interface{ Drop(timedOut bool) }

// The states of an attempt.
const (
	attemptWaiting   uint32 = iota // no byte has been written
	attemptBegun                   // the endpoint may have received all of it
	attemptWithdrawn               // it will never be written
)

// Drop abandons the attempt on the sockets, if it was passed to a transport.
func (a *Attempt) Drop(timedOut bool) {
	if a.Transport != nil {
		a.Transport.Drop(timedOut)
	}
}

// Begin claims the attempt for writing. It returns false if the attempt was
// withdrawn or has begun already.
func (a *Attempt) Begin() bool { return a.state.CompareAndSwap(attemptWaiting, attemptBegun) }

// Withdraw keeps the attempt from ever being written. It returns false if the
// attempt has begun.
func (a *Attempt) Withdraw() bool {
	return a.state.CompareAndSwap(attemptWaiting, attemptWithdrawn) || a.Withdrawn()
}

// Withdrawn reports whether the attempt was withdrawn before it began.
func (a *Attempt) Withdrawn() bool { return a.state.Load() == attemptWithdrawn }

// MayBeSent reports whether the attempt may still be written: neither Deadline nor
// SendBefore has passed, and the decision is at most maxAge microseconds old. The
// bound on its age ensures that no drain or purge since the decision forbids it.
func (a *Attempt) MayBeSent(now, maxAge int64) bool {
	inSendWindow := a.SendBefore == 0 || now < a.SendBefore
	return now < a.Deadline && inSendWindow && now-a.DecidedAt <= maxAge
}

// Result describes how an attempt ended.
type Result struct {
	Outcome    policy.Outcome
	Reason     policy.Reason
	OriginWait int64              // microseconds for which the fill waited for the origin
	Load       map[string]float64 // the endpoint's load report, by the protocol's keys; see policy.Event
	Response   Response           // set with OutcomeDone
	IssuedAt   int64              // when the origin issued the copy in Response; 0: no copy
	// NotModified means that Response confirms a copy that the client or this router holds, and carries none.
	NotModified bool
}

// AttemptEnded reports an attempt's result. Only the first result of an attempt
// counts. The response of a later result is released, and so is one that no client
// waits for.
func (e *Engine) AttemptEnded(now int64, attempt *Attempt, result Result) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.endAttempt(now, attempt, result)
	e.dispatch(now)
}

func (e *Engine) endAttempt(now int64, attempt *Attempt, result Result) {
	if attempt.ended {
		if result.Response != nil {
			result.Response.Release()
		}
		return
	}
	request := attempt.Request
	attempt.ended = true
	e.stopTimer(attempt.timer)
	request.pendingAttempts--
	e.rejectPurgedCopy(attempt, &result)
	request.endedMaybeExecuted = request.endedMaybeExecuted || !result.Outcome.NeverExecuted()
	if result.Outcome == policy.OutcomeDone && !request.closed {
		request.post(Command{Kind: CommandRespond, Attempt: attempt, Response: result.Response})
		e.closeRequest(now, request)
	} else if result.Response != nil {
		result.Response.Release()
	}
	e.events = append(e.events, policy.Event{
		Kind: policy.EventAttemptEnded, Request: request.ID, Endpoint: attempt.Endpoint.ID, Attempt: attempt.Number,
		Outcome: result.Outcome, Reason: result.Reason, Final: request.closed, RTT: now - attempt.DecidedAt,
		OriginWait: result.OriginWait, Load: result.Load, NotModified: result.NotModified,
	})
	e.removeIfDone(request)
}

// rejectPurgedCopy turns a response that carries a purged copy into an error, so that
// the request is sent again.
func (e *Engine) rejectPurgedCopy(attempt *Attempt, result *Result) {
	request := attempt.Request
	if request.closed || result.Outcome != policy.OutcomeDone || result.IssuedAt == 0 ||
		!e.policy.RejectPurgedCopy(request.ID, attempt.Number, result.IssuedAt) {
		return
	}
	e.purgedCopies++
	result.Outcome = policy.OutcomeError
	result.Reason = policy.ReasonNone
}

// startAttempt creates the attempt that the policy decided on. An attempt that
// can't be sent ends at once with an outcome that proves it was not executed.
func (e *Engine) startAttempt(now int64, request *Request, action policy.Action) {
	attempt := e.newAttempt(now, request, action)
	request.attempts = append(request.attempts, attempt)
	request.pendingAttempts++
	overAttemptLimit := e.limits.MaxAttempts > 0 && attempt.Number >= e.limits.MaxAttempts
	if request.closed || attempt.Deadline <= now || overAttemptLimit || !attempt.Endpoint.Active() {
		attempt.Withdraw()
		e.endAttempt(now, attempt, Result{Outcome: policy.OutcomeSkipped})
		return
	}
	attempt.timer = e.setTimer(now, &timer{due: attempt.Deadline, attempt: attempt})
	request.post(Command{Kind: CommandSend, Attempt: attempt})
}

func (e *Engine) newAttempt(now int64, request *Request, action policy.Action) *Attempt {
	attempt := &Attempt{
		Request:       request,
		Number:        len(request.attempts),
		Endpoint:      e.endpoints[action.Endpoint],
		CachePriority: action.CachePriority,
		MaxAge:        action.MaxAge,
		FillMode:      action.FillMode,
		DecidedAt:     now,
		Deadline:      attemptDeadline(now, request, action.Timeout),
		SendBefore:    action.SendBefore,
		Unsafe:        request.unsafe && request.maybeExecuted(),
	}
	if attempt.Endpoint == nil {
		attempt.Endpoint = &Endpoint{Endpoint: policy.Endpoint{ID: action.Endpoint}}
	}
	if action.Source != action.Endpoint {
		attempt.Source = action.Source
	}
	return attempt
}

// attemptDeadline returns the earlier of the request's deadline and the end of the
// policy's timeout. A timeout of 0 means none; a negative one has passed already.
func attemptDeadline(now int64, request *Request, timeout int64) int64 {
	switch {
	case timeout > 0:
		return min(request.deadline, now+timeout)
	case timeout < 0:
		return now
	}
	return request.deadline
}

// cancel ends an attempt that the policy has cancelled.
func (e *Engine) cancel(now int64, request *Request, number int) {
	if request == nil || number < 0 || number >= len(request.attempts) || request.attempts[number].ended {
		return
	}
	attempt := request.attempts[number]
	outcome := policy.OutcomeCancelled
	if attempt.Withdraw() {
		outcome = policy.OutcomeSkipped
	}
	request.post(Command{Kind: CommandDrop, Attempt: attempt})
	e.endAttempt(now, attempt, Result{Outcome: outcome})
}

// timeOut ends an attempt whose deadline has passed. If none of it was written,
// the outcome proves that it was not executed.
func (e *Engine) timeOut(now int64, attempt *Attempt) {
	outcome := policy.OutcomeTimeout
	if attempt.Withdraw() {
		outcome = policy.OutcomeConnectionRefused
	}
	attempt.Request.post(Command{Kind: CommandDrop, Attempt: attempt, TimedOut: true})
	e.endAttempt(now, attempt, Result{Outcome: outcome})
}
