package simulation

import (
	"fmt"

	"quilldoor/internal/eventlog"
)

const (
	// routerDownDetectionTime is how long clients still send requests to a router that was killed, until they know
	// that its machine is down.
	routerDownDetectionTime = 1 * second

	writeRequestKB = 1
)

// Request is one attempt of a client at a request. A router handles each attempt as a separate request. The client's
// request over all its attempts is a clientRequest.
type Request struct {
	Router    int
	ID        string // ID of the request, new for each of the client's attempts
	Class     int    // index of the traffic class
	Object    string
	Group     int64 // purge group of the object
	Part      int64
	SizeKB    float64
	Remaining int64 // time until the client stops waiting, microseconds
	Retry     bool  // marked as a client's retry
	Write     bool

	clientRequest *clientRequest
	deadline      int64
	open          bool // its router has received it and has not answered
}

// Deadline is the time at which the client stops waiting.
func (r *Request) Deadline() int64 { return r.deadline }

// clientRequest is a client's request over all the client's attempts.
type clientRequest struct {
	office, class     int
	object, part      int64
	attempts          int    // sent so far
	startedAt         int64  // time of the first attempt
	phase             string // of the run, at the first attempt
	timeLimit         int64  // of each attempt, microseconds
	honoursRetryAfter bool
}

// sendRequest sends a client's next attempt to a random router of its office that is not known to be down.
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

// routersInService returns the routers of an office to which clients send requests.
func (s *Simulation) routersInService(office int) (candidates []*router) {
	perOffice := s.scenario.Fleet.Routers
	for _, router := range s.routers[office*perOffice : (office+1)*perOffice] {
		if router.up || s.now-router.downAt < routerDownDetectionTime {
			candidates = append(candidates, router)
		}
	}
	return candidates
}

// newRequest creates the Request for a client's next attempt, which goes to the given router.
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

// requestArrived handles the arrival of a request at its router.
func (s *Simulation) requestArrived(router *router, request *Request) {
	router.addRequest(request)
	s.Result.ClientAttempts++
	s.record(s.requestEntry(eventlog.KindReceived, request))
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
