package simulation

import (
	"fmt"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
)

const (
	// A router that was killed is still given requests for so long, until its machine is known to be down.
	routerDeathNoticed = 1 * second

	// lateTolerance is how long after its time limit an answer still reaches the client in time.
	lateTolerance = 50 * millisecond

	// maxBackoffDoublings bounds the growth of a client's wait between its attempts.
	maxBackoffDoublings = 6

	writeRequestKB = 1
)

// Outcomes of a request as Final takes them.
const (
	answerCompleted = "completed"
	answerRejected  = "rejected"
	answerLate      = "late" // completed too late to be of use
)

// Request is one attempt of a client at a request, as it reaches a router.
type Request struct {
	Router int
	ID     string // ID of the request, new for each of the client's attempts
	Class  int    // index of the traffic class
	Object string
	Group  int64 // purge group of the object
	Part   int64
	SizeKB float64
	Limit  int64 // how long the client still waits, microseconds
	Retry  bool  // marked as a client's retry
	Write  bool

	client   *client
	deadline int64
	open     bool // the router has it and has not answered
}

// Deadline is when the client stops waiting.
func (r *Request) Deadline() int64 { return r.deadline }

// client is a client with one request, over all its attempts.
type client struct {
	office, class     int
	object, part      int64
	attempts          int
	startedAt         int64  // first attempt
	phase             string // of the run, at the first attempt
	timeLimit         int64  // of each attempt, microseconds
	honoursRetryAfter bool
}

// sendRequest sends a client's next attempt to a router of its office that is not known to be down.
func (s *Simulation) sendRequest(client *client) {
	candidates := s.routersInService(client.office)
	client.attempts++
	if len(candidates) == 0 {
		s.retryOrFail(client, 0, true)
		return
	}
	router := candidates[s.random.IntN(len(candidates))]
	request := s.newRequest(router, client)
	delay := s.clientDelay()
	s.schedule(delay, func() {
		if !router.up { // the connection is refused, so the request has not been executed
			s.schedule(delay, func() { s.retryOrFail(client, 0, true) })
			return
		}
		s.requestArrived(router, request)
	})
	s.schedule(client.timeLimit+2*delay+s.Slack, func() { s.clientTimedOut(router, request) })
}

// routersInService are the routers of an office that clients are sent to.
func (s *Simulation) routersInService(office int) (candidates []*router) {
	perOffice := s.scenario.Fleet.Routers
	for _, router := range s.routers[office*perOffice : (office+1)*perOffice] {
		if router.up || s.now-router.downAt < routerDeathNoticed {
			candidates = append(candidates, router)
		}
	}
	return candidates
}

// newRequest makes a client's next attempt, for a router.
func (s *Simulation) newRequest(router *router, client *client) *Request {
	s.clients.requestCount++
	request := &Request{
		Router:   router.id,
		ID:       fmt.Sprintf("%016x", s.clients.requestCount),
		Class:    client.class,
		Object:   s.catalogue.name(client.object),
		Group:    s.catalogue.group(client.object),
		Part:     client.part,
		SizeKB:   s.catalogue.size(client.object, client.part),
		Limit:    client.timeLimit,
		Retry:    client.attempts > 1,
		Write:    s.classes[client.class].Write,
		client:   client,
		deadline: s.now + client.timeLimit,
	}
	if request.Write {
		request.SizeKB = writeRequestKB
	}
	return request
}

// clientDelay draws the network latency between a client and its router, one way, in microseconds.
func (s *Simulation) clientDelay() int64 { return s.jitter(s.scenario.Fleet.ClientMS * oneWay) }

// requestArrived hands a request to its router.
func (s *Simulation) requestArrived(router *router, request *Request) {
	router.addRequest(request)
	s.Result.ClientAttempts++
	s.record(s.requestEntry(eventlog.KindTaken, request))
	request.Limit = request.deadline - s.now
	s.driver.Request(request)
}

// requestEntry is an event log entry that describes a request.
func (s *Simulation) requestEntry(kind eventlog.Kind, request *Request) Entry {
	return Entry{
		Kind: kind, Router: request.Router, Request: request.ID, Class: s.classes[request.Class].Name,
		Object: request.Object, Group: request.Group, Deadline: request.deadline,
	}
}

// clientTimedOut makes a client leave whose time is over without an answer.
func (s *Simulation) clientTimedOut(router *router, request *Request) {
	if !request.open {
		return
	}
	router.closeRequest(request)
	s.record(Entry{Kind: eventlog.KindLeft, Router: router.id, Request: request.ID})
	s.Result.TimedOut++
	s.driver.Leave(router.id, request.ID)
	s.retryOrFail(request.client, 0, request.client.class != scenario.ClassAccept)
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
	s.retryOrFail(request.client, 0, true)
}

// Answered accepts a router's answer to a request: "completed", "rejected" or "aborted". issuedAt is the issue time of
// the copy it was answered with, retryAfter the wait in microseconds that the router asks of the client.
func (s *Simulation) Answered(routerID int, requestID, outcome string, issuedAt, retryAfter int64) {
	router := s.routers[routerID]
	request := router.openRequests[requestID]
	if request == nil {
		s.record(Entry{
			Kind: eventlog.KindAnswered, Router: routerID, Request: requestID,
			Outcome: outcome, Issued: issuedAt,
		})
		return
	}
	entry := s.requestEntry(eventlog.KindAnswered, request)
	entry.Outcome = outcome
	entry.Issued = issuedAt
	s.record(entry)
	router.closeRequest(request)
	s.schedule(s.clientDelay(), func() { s.answerArrived(request, outcome, issuedAt, retryAfter) })
}

// answerArrived is a router's answer at its client.
func (s *Simulation) answerArrived(request *Request, outcome string, issuedAt, retryAfter int64) {
	if s.now > request.deadline+lateTolerance+s.Slack {
		outcome = answerLate
	}
	client := request.client
	if outcome == answerCompleted {
		s.openRequests--
		s.Result.countCompleted(s, client, issuedAt)
		return
	}
	idempotent := s.classes[client.class].Effect == policy.EffectIdempotent
	s.retryOrFail(client, retryAfter, outcome == answerRejected || idempotent)
}

// retryOrFail decides what a client does that got no usable answer: it retries after a backoff if that is safe and
// it has attempts left.
func (s *Simulation) retryOrFail(client *client, retryAfter int64, retrySafe bool) {
	load := &s.scenario.Load
	if !retrySafe || client.attempts > load.Retries {
		s.openRequests--
		s.Result.countFailed(client, retrySafe)
		return
	}
	wait := int64(0)
	if load.RetryWaitMS > 0 {
		factor := int64(1) << min(client.attempts-1, maxBackoffDoublings)
		wait = s.jitter(load.RetryWaitMS * millisecond * float64(factor))
	}
	if client.honoursRetryAfter {
		wait = max(wait, retryAfter)
	}
	s.schedule(wait, func() { s.sendRequest(client) })
}
