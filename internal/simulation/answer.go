package simulation

import (
	"quilldoor/internal/eventlog"
)

const (
	// lateTolerance is how long after its time limit an answer still reaches the client in time.
	lateTolerance = 50 * millisecond

	// maxBackoffDoublings bounds the growth of a client's wait between its attempts.
	maxBackoffDoublings = 6
)

// Answer is a router's final answer to a request. Times are microseconds.
type Answer struct {
	Outcome    AnswerOutcome
	IssuedAt   int64 // issue time of the copy it was answered with; 0: none
	RetryAfter int64 // how long the router asks the client to wait before a retry
}

// AnswerOutcome is how a router answered a request, as the event log names it.
type AnswerOutcome string

// The outcomes of an answer.
const (
	AnswerCompleted AnswerOutcome = "completed"
	AnswerRejected  AnswerOutcome = "rejected" // it was not executed
	AnswerFailed    AnswerOutcome = "aborted"  // it may have been executed
	answerLate      AnswerOutcome = "late"     // an answer that reaches the client too late to be of use
)

// Answered accepts a router's answer to a request.
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

// Refused accepts that a router's machine refused the connection of a request: the router has not received it. Only
// a driver on real sockets can tell; in the model a router that is up accepts every connection.
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

// answerArrived is a router's answer at its client.
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

// clientTimedOut makes a client leave whose time is over without an answer.
func (s *Simulation) clientTimedOut(router *router, request *Request) {
	if !request.open {
		return
	}
	router.closeRequest(request)
	s.record(Entry{Kind: eventlog.KindLeft, Router: router.id, Request: request.ID})
	s.Result.TimedOut++
	s.driver.ClientGone(router.id, request.ID)
	s.retryOrFail(request.clientRequest, 0, s.idempotent(request.Class))
}

// retryOrFail decides what a client does that got no usable answer: it retries after a backoff if that is safe and
// it has attempts left.
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
