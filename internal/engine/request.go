package engine

import (
	"errors"

	"quilldoor/internal/policy"
)

// Errors of Open. The request was not opened.
var (
	ErrFull      = errors.New("too many open requests")
	ErrDuplicate = errors.New("a request with this id is already open")
	ErrExecuted  = errors.New("a request with this id may have been executed")
)

// Request is one open request of a client or peer.
type Request struct {
	ID                 string
	engine             *Engine
	deadline           int64  // microseconds
	failTimer          *timer // fails the request if the policy has not ended it
	closed             bool   // the client was answered or has disconnected
	unsafe             bool   // it must not be executed twice
	executedOnce       bool   // a second execution may have a further effect, at once or after its dedup window
	attempts           []*Attempt
	pendingAttempts    int  // attempts that have not ended
	endedMaybeExecuted bool // an attempt that has ended may have been executed
	commandQueue       []Command
	notify             func() // nil after Detach
}

// Open opens a request. The event has the fields of a policy.EventRequest, among
// them Remaining, the microseconds until the deadline; Open sets Kind. The engine
// calls notify, with the lock held, when it has added a command to the command
// queue. The error is ErrFull if Limits.MaxOpenRequests is reached, ErrExecuted if a
// request with the id event.Request may have been executed, or may still be, and its
// class is not idempotent, or ErrDuplicate if any other request with this id is open or
// has attempts that have not ended.
func (e *Engine) Open(now int64, event policy.Event, notify func()) (*Request, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limits.MaxOpenRequests > 0 && e.openRequests >= e.limits.MaxOpenRequests {
		return nil, ErrFull
	}
	if err := e.checkID(event.Request); err != nil {
		return nil, err
	}
	effect := e.classes[event.Class].Effect
	request := &Request{
		ID:       event.Request,
		engine:   e,
		deadline: now + event.Remaining,
		notify:   notify,
		unsafe:   effect == policy.EffectUnsafe,

		executedOnce: effect != policy.EffectIdempotent,
	}
	e.requests[request.ID] = request
	e.openRequests++
	request.failTimer = e.setTimer(now, &timer{due: request.deadline + e.answerSlack, request: request})
	event.Kind = policy.EventRequest
	e.handle(now, event)
	return request, nil
}

// checkID returns the error with which a request with this id is not opened; nil: none.
func (e *Engine) checkID(id string) error {
	open := e.requests[id]
	switch {
	case e.executed.contains(id), open != nil && open.executedOnce:
		return ErrExecuted
	case open != nil:
		return ErrDuplicate
	}
	return nil
}

// ReserveID marks a request's id as one that may have been executed, before the request is
// passed to another site. It returns false if the id is marked already, or open.
func (e *Engine) ReserveID(id string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.checkID(id) != nil {
		return false
	}
	e.executed.add(idNumber(id))
	return true
}

// ReleaseID takes back ReserveID: the request was not executed.
func (e *Engine) ReleaseID(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.executed.remove(id)
}

// ExecutedIDs returns the ids of requests that may have been executed, or may still be, and
// must not be executed again, for the other generation of this router. The oldest is first.
func (e *Engine) ExecutedIDs() []uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	ids := e.executed.all()
	for id, request := range e.requests {
		if request.executedOnce && !e.executed.contains(id) {
			ids = append(ids, idNumber(id))
		}
	}
	return ids
}

// AddExecutedIDs adds ids that the other generation of this router returned from ExecutedIDs.
func (e *Engine) AddExecutedIDs(ids []uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, id := range ids {
		e.executed.add(id)
	}
}

// ForgottenIDs returns how many ids of requests that may have been executed were forgotten,
// since too many later ones followed.
func (e *Engine) ForgottenIDs() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.executed.forgotten
}

// ClientDisconnected reports that the client disconnected before it was answered. It has no
// effect on a request that was answered.
func (e *Engine) ClientDisconnected(now int64, request *Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !request.closed {
		e.closeRequest(now, request)
		e.handle(now, policy.Event{Kind: policy.EventRequestClosed, Request: request.ID})
	}
}

// Attempts returns the number of attempts that the request has had so far.
func (r *Request) Attempts() int {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	return len(r.attempts)
}

// maybeExecuted reports whether an attempt may have been executed, or may still be.
func (r *Request) maybeExecuted() bool { return r.endedMaybeExecuted || r.pendingAttempts > 0 }

// closeRequest closes a request whose client was answered or has disconnected.
// Attempts that have begun still get their outcomes. Attempts that have not begun are
// withdrawn, even where the site does not permit cancelling: no attempt may begin for
// a closed request.
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
	if request.executedOnce && request.maybeExecuted() {
		e.executed.add(idNumber(request.ID))
	}
	e.removeIfDone(request)
}

// removeIfDone removes a request that is closed and whose attempts have all ended.
func (e *Engine) removeIfDone(request *Request) {
	if request.closed && request.pendingAttempts == 0 {
		delete(e.requests, request.ID)
	}
}

// failOverdue fails a request that the policy has not ended in time.
func (e *Engine) failOverdue(now int64, request *Request) {
	request.post(Command{Kind: CommandFail, MaybeExecuted: true})
	e.closeRequest(now, request)
	e.events = append(e.events, policy.Event{Kind: policy.EventRequestClosed, Request: request.ID})
}
