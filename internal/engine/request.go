package engine

import (
	"errors"

	"quilldoor/internal/policy"
)

// Errors of Open. The request was not opened.
var (
	ErrFull      = errors.New("too many open requests")
	ErrDuplicate = errors.New("a request with this id is open already")
)

// Request is one open request of a client or peer.
type Request struct {
	ID              string
	engine          *Engine
	deadline        int64
	failTimer       *timer // fails the request if the policy has not ended it
	closed          bool   // the client got its answer or left
	unsafe          bool   // its effect must not happen twice
	attempts        []*Attempt
	pendingAttempts int  // attempts that have not ended
	maybeExecuted   bool // an attempt that ended may have run
	commandQueue    []Command
	wake            func() // nil once nobody reads the command queue
}

// Open takes a request; event has the fields of a policy.EventRequest, with
// Remaining, the microseconds until its deadline; Kind is set here. Wake is
// called, with the lock held, when the command queue has something new. The
// error is ErrFull (Limits.MaxOpenRequests) or ErrDuplicate (event.Request).
func (e *Engine) Open(now int64, event policy.Event, wake func()) (*Request, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limits.MaxOpenRequests > 0 && e.openRequests >= e.limits.MaxOpenRequests {
		return nil, ErrFull
	}
	if e.requests[event.Request] != nil {
		return nil, ErrDuplicate
	}
	request := &Request{
		ID:       event.Request,
		engine:   e,
		deadline: now + event.Remaining,
		wake:     wake,
		unsafe:   e.classes[event.Class].Effect == policy.EffectUnsafe,
	}
	e.requests[request.ID] = request
	e.openRequests++
	request.failTimer = e.setTimer(now, &timer{due: request.deadline + e.answerSlack, request: request})
	event.Kind = policy.EventRequest
	e.handle(now, event)
	return request, nil
}

// ClientGone says that the client left without an answer. It changes nothing for
// a request that has been answered.
func (e *Engine) ClientGone(now int64, request *Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !request.closed {
		e.closeRequest(now, request)
		e.handle(now, policy.Event{Kind: policy.EventClientGone, Request: request.ID})
	}
}

// Attempts returns how many attempts the request has had so far.
func (r *Request) Attempts() int {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	return len(r.attempts)
}

// mayHaveRun reports whether an attempt ran, or could still run.
func (r *Request) mayHaveRun() bool { return r.maybeExecuted || r.pendingAttempts > 0 }

// closeRequest ends the request for the client. Its attempts still get their
// outcomes. One that has not begun is withdrawn, also where the site permits no
// cancelling: nothing may begin for a client that has its answer or left.
func (e *Engine) closeRequest(now int64, request *Request) {
	request.closed = true
	e.stopTimer(request.failTimer)
	e.openRequests--
	for _, attempt := range request.attempts {
		if !attempt.ended && attempt.Withdraw() {
			request.post(Command{Kind: CommandDrop, Attempt: attempt})
			e.endAttempt(now, attempt, Result{Outcome: policy.OutcomeSkipped})
		}
	}
	e.removeIfDone(request)
}

// removeIfDone forgets a request that nothing can happen to any more.
func (e *Engine) removeIfDone(request *Request) {
	if request.closed && request.pendingAttempts == 0 {
		delete(e.requests, request.ID)
	}
}

// failOverdue answers a request that the policy has not ended in time.
func (e *Engine) failOverdue(now int64, request *Request) {
	request.post(Command{Kind: CommandFail, MaybeExecuted: true})
	e.closeRequest(now, request)
	e.events = append(e.events, policy.Event{Kind: policy.EventClientGone, Request: request.ID})
}
