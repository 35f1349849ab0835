package simulation

import (
	"quilldoor/internal/eventlog"
)

const (
	// lateTolerance is how long after the deadline of its request an answer still counts as in time.
	lateTolerance = 50 * millisecond

	// maxBackoffDoublings bounds the exponential growth of a client's backoff between its attempts.
	maxBackoffDoublings = 6
)

// Answer is a router's final answer to a request. Times are microseconds.
type Answer struct {
	Outcome    AnswerOutcome
	IssuedAt   int64 // issue time of the copy in the answer; 0: no copy
	RetryAfter int64 // minimum wait before a retry that the router requests of the client
}

// AnswerOutcome is the outcome of a router's answer, by its name in the event log.
type AnswerOutcome string

// The outcomes of an answer.
const (
	AnswerCompleted AnswerOutcome = "completed"
	AnswerRejected  AnswerOutcome = "rejected" // the request was not executed
	AnswerAborted   AnswerOutcome = "aborted"  // the request may have been executed
	answerLate      AnswerOutcome = "late"     // the answer reached the client after the deadline and the tolerance
)

// Answered handles a router's answer to a request. An answer to a request that is no longer open is only logged.
func (s *Simulation) Answered(routerID int, requestID string, answer Answer) {
	router := s.routers[routerID]
	request := router.openRequests[requestID]
	if request == nil {
		s.record(Entry{
			Kind: eventlog.KindAnswered, Router: routerID, Request: requestID,
			Outcome: string(answer.Outcome), Issued: answer.IssuedAt,
		})
		return
	}
	entry := s.requestEntry(eventlog.KindAnswered, request)
	entry.Outcome = string(answer.Outcome)
	entry.Issued = answer.IssuedAt
	s.record(entry)
	router.closeRequest(request)
	s.schedule(s.clientDelay(), func() { s.answerArrived(request, answer) })
}

// Refused handles a refused connection of a request to a router's machine: the router has not received the request.
// Only a driver on real sockets observes this; in the model a router that is up accepts every connection.
func (s *Simulation) Refused(routerID int, requestID string) {
	router := s.routers[routerID]
	request := router.openRequests[requestID]
	if request == nil {
		return
	}
	router.closeRequest(request)
	s.record(Entry{Kind: eventlog.KindRefused, Router: routerID, Request: requestID})
	s.retryOrFail(request.clientRequest, 0, true)
}

// answerArrived handles a router's answer at its client: it counts a completed request, and passes any other answer to
// retryOrFail.
func (s *Simulation) answerArrived(request *Request, answer Answer) {
	if s.now > request.deadline+lateTolerance+s.Slack {
		answer.Outcome = answerLate
	}
	clientRequest := request.clientRequest
	if answer.Outcome == AnswerCompleted {
		s.openRequests--
		s.Result.countCompleted(s, clientRequest, answer.IssuedAt)
		return
	}
	s.retryOrFail(clientRequest, answer.RetryAfter, answer.Outcome == AnswerRejected || s.idempotent(clientRequest.class))
}

// clientTimedOut closes a request that its router has not answered within the client's time limit.
func (s *Simulation) clientTimedOut(router *router, request *Request) {
	if !request.open {
		return
	}
	router.closeRequest(request)
	s.record(Entry{Kind: eventlog.KindClientTimedOut, Router: router.id, Request: request.ID})
	s.Result.TimedOut++
	s.driver.ClientDisconnected(router.id, request.ID)
	s.retryOrFail(request.clientRequest, 0, s.idempotent(request.Class))
}

// retryOrFail handles an attempt of a client that got no usable answer. The client retries after a backoff if a retry
// is safe and attempts are left; otherwise its request has failed.
func (s *Simulation) retryOrFail(clientRequest *clientRequest, retryAfter int64, retrySafe bool) {
	load := &s.scenario.Load
	if !retrySafe || clientRequest.attempts > load.Retries {
		s.openRequests--
		s.Result.countFailed(clientRequest, retrySafe)
		return
	}
	wait := int64(0)
	if load.RetryWaitMS > 0 {
		factor := int64(1) << min(clientRequest.attempts-1, maxBackoffDoublings)
		wait = s.jitter(load.RetryWaitMS * millisecond * float64(factor))
	}
	if clientRequest.honoursRetryAfter {
		wait = max(wait, retryAfter)
	}
	s.schedule(wait, func() { s.sendRequest(clientRequest) })
}
