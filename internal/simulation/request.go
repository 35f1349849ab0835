package simulation

import (
	"fmt"

	"quilldoor/internal/eventlog"
)

const (
	// routerDeathNoticed is for how long a router that was killed is still given requests, until its machine is known to
	// be down.
	routerDeathNoticed = 1 * second

	writeRequestKB = 1
)

// Request is one attempt of a client at a request, as it reaches a router: a router takes each attempt for a request of
// its own. The client's request, over all attempts, is a clientRequest.
type Request struct {
	Router    int
	ID        string // ID of the request, new for each of the client's attempts
	Class     int    // index of the traffic class
	Object    string
	Group     int64 // purge group of the object
	Part      int64
	SizeKB    float64
	Remaining int64 // how long the client still waits, microseconds
	Retry     bool  // marked as a client's retry
	Write     bool

	clientRequest *clientRequest
	deadline      int64
	open          bool // the router has it and has not answered
}

// Deadline is when the client stops waiting.
func (r *Request) Deadline() int64 { return r.deadline }

// clientRequest is a request as its client sees it, over all the client's attempts.
type clientRequest struct {
	office, class     int
	object, part      int64
	attempts          int
	startedAt         int64  // first attempt
	phase             string // of the run, at the first attempt
	timeLimit         int64  // of each attempt, microseconds
	honoursRetryAfter bool
}

// sendRequest sends a client's next attempt to a router of its office that is not known to be down.
func (s *Simulation) sendRequest(clientRequest *clientRequest) {
	candidates := s.routersInService(clientRequest.office)
	clientRequest.attempts++
	if len(candidates) == 0 {
		s.retryOrFail(clientRequest, 0, true)
		return
	}
	router := candidates[s.random.IntN(len(candidates))]
	request := s.newRequest(router, clientRequest)
	delay := s.clientDelay()
	s.schedule(delay, func() {
		if !router.up { // the connection is refused, so the request has not been executed
			s.schedule(delay, func() { s.retryOrFail(clientRequest, 0, true) })
			return
		}
		s.requestArrived(router, request)
	})
	s.schedule(clientRequest.timeLimit+2*delay+s.Slack, func() { s.clientTimedOut(router, request) })
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
func (s *Simulation) newRequest(router *router, clientRequest *clientRequest) *Request {
	s.clients.requestCount++
	request := &Request{
		Router:        router.id,
		ID:            fmt.Sprintf("%016x", s.clients.requestCount),
		Class:         clientRequest.class,
		Object:        s.catalogue.name(clientRequest.object),
		Group:         s.catalogue.group(clientRequest.object),
		Part:          clientRequest.part,
		SizeKB:        s.catalogue.size(clientRequest.object, clientRequest.part),
		Remaining:     clientRequest.timeLimit,
		Retry:         clientRequest.attempts > 1,
		Write:         s.classes[clientRequest.class].Write,
		clientRequest: clientRequest,
		deadline:      s.now + clientRequest.timeLimit,
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
	request.Remaining = request.deadline - s.now
	s.driver.RequestArrived(request)
}

// requestEntry is an event log entry that describes a request.
func (s *Simulation) requestEntry(kind eventlog.Kind, request *Request) Entry {
	return Entry{
		Kind: kind, Router: request.Router, Request: request.ID, Class: s.classes[request.Class].Name,
		Object: request.Object, Group: request.Group, Deadline: request.deadline,
	}
}
