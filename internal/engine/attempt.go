package engine

import (
	"sync/atomic"

	"quilldoor/internal/policy"
)

// Attempt is one attempt of a request at an endpoint. Times and durations are
// microseconds.
type Attempt struct {
	Request       *Request
	Number        int // from 0, within the request
	Endpoint      *Endpoint
	Source        string // where a miss is filled from; "": it is not filled
	CachePriority int    // at which a cache keeps the copy; 0: not at all
	MaxAge        int64  // greatest age of a copy; 0: the class's freshness time
	FillMode      policy.FillMode
	DecidedAt     int64     // when the policy decided on it
	Deadline      int64     // when the router stops waiting
	SendBefore    int64     // when it may no more be written; 0: Deadline
	Unsafe        bool      // another attempt of its unsafe request may have run
	Transport     Transport // set by the reader of the command queue; nil: not on the sockets

	timer *timer // at Deadline
	ended bool
	state atomic.Uint32
}

// Transport has an attempt on the sockets. Drop gives it up; silent says that
// it timed out without an answer.
type Transport interface{ Drop(silent bool) }

// The states of an attempt.
const (
	attemptWaiting   uint32 = iota // not a byte of it is on a connection
	attemptBegun                   // all of it may have been received
	attemptWithdrawn               // it will not be written
)

// Drop gives the attempt up on the sockets, if it came there.
func (a *Attempt) Drop(silent bool) {
	if a.Transport != nil {
		a.Transport.Drop(silent)
	}
}

// Begin claims the attempt for being written; false: it was withdrawn.
func (a *Attempt) Begin() bool { return a.state.CompareAndSwap(attemptWaiting, attemptBegun) }

// Withdraw claims the attempt for never being written; false: it has begun.
func (a *Attempt) Withdraw() bool {
	return a.state.CompareAndSwap(attemptWaiting, attemptWithdrawn) || a.Withdrawn()
}

// Withdrawn reports whether the attempt was withdrawn before it began.
func (a *Attempt) Withdrawn() bool { return a.state.Load() == attemptWithdrawn }

// MayBeSent reports whether the decision still holds at the moment of writing:
// the deadline and the window for a retry have not passed, and the decision is
// no older than maxAge microseconds, so that no drain or purge since then binds it.
func (a *Attempt) MayBeSent(now, maxAge int64) bool {
	inWindow := a.SendBefore == 0 || now < a.SendBefore
	return now < a.Deadline && inWindow && now-a.DecidedAt <= maxAge
}

// Result is how an attempt ended.
type Result struct {
	Outcome    policy.Outcome
	Reason     policy.Reason
	OriginWait int64              // microseconds that the fill waited for the origin
	Load       map[string]float64 // the endpoint's load report by the protocol's keys; see policy.Event
	Response   Response           // of OutcomeDone
}

// AttemptEnded takes an attempt's result. The first one counts; the response of
// a later one, or of one that no client waits for, is released.
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
	request.maybeExecuted = request.maybeExecuted || !result.Outcome.NeverExecuted()
	if result.Outcome == policy.OutcomeDone && !request.closed {
		request.post(Command{Kind: CommandRespond, Attempt: attempt, Response: result.Response})
		e.closeRequest(now, request)
	} else if result.Response != nil {
		result.Response.Release()
	}
	e.events = append(e.events, policy.Event{
		Kind: policy.EventAttemptEnded, Request: request.ID, Endpoint: attempt.Endpoint.ID, Attempt: attempt.Number,
		Outcome: result.Outcome, Reason: result.Reason, Final: request.closed, RTT: now - attempt.DecidedAt,
		OriginWait: result.OriginWait, Load: result.Load,
	})
	e.removeIfDone(request)
}

// startAttempt makes the attempt that the policy decided on. One that can't be
// sent ends at once, proven not to have run.
func (e *Engine) startAttempt(now int64, request *Request, action policy.Action) {
	attempt := e.newAttempt(now, request, action)
	request.attempts = append(request.attempts, attempt)
	request.pendingAttempts++
	tooMany := e.limits.MaxAttempts > 0 && attempt.Number >= e.limits.MaxAttempts
	if request.closed || attempt.Deadline <= now || tooMany || !attempt.Endpoint.Active() {
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
		Unsafe:        request.unsafe && request.mayHaveRun(),
	}
	if attempt.Endpoint == nil {
		attempt.Endpoint = &Endpoint{Endpoint: policy.Endpoint{ID: action.Endpoint}}
	}
	if action.Source != action.Endpoint {
		attempt.Source = action.Source
	}
	return attempt
}

// attemptDeadline is the request's deadline, or the policy's timeout where that
// is sooner. A timeout of 0 means none; a negative one has passed already.
func attemptDeadline(now int64, request *Request, timeout int64) int64 {
	switch {
	case timeout > 0:
		return min(request.deadline, now+timeout)
	case timeout < 0:
		return now
	}
	return request.deadline
}

// cancel gives up an attempt that the policy wants no longer.
func (e *Engine) cancel(now int64, request *Request, number int) {
	if request == nil || number < 0 || number >= len(request.attempts) || request.attempts[number].ended {
		return
	}
	attempt := request.attempts[number]
	outcome := policy.OutcomeCanceled
	if attempt.Withdraw() {
		outcome = policy.OutcomeSkipped
	}
	request.post(Command{Kind: CommandDrop, Attempt: attempt})
	e.endAttempt(now, attempt, Result{Outcome: outcome})
}

// timeOut ends an attempt whose deadline has passed. One that never got a
// connection is proven not to have run.
func (e *Engine) timeOut(now int64, attempt *Attempt) {
	outcome := policy.OutcomeTimeout
	if attempt.Withdraw() {
		outcome = policy.OutcomeConnectionRefused
	}
	attempt.Request.post(Command{Kind: CommandDrop, Attempt: attempt, Silent: true})
	e.endAttempt(now, attempt, Result{Outcome: outcome})
}
