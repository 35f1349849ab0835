package simulation

import (
	"cmp"
	"slices"

	"quilldoor/internal/eventlog"
)

// router is the simulation's state of a router: its process and the requests that it has not answered. The driver owns
// the router's own state.
type router struct {
	id           int
	office       int
	up           bool
	incarnation  int  // counts kills of its process
	suspensions  int  // faults in force that suspend it
	discoveryCut bool // it cannot reach the discovery service
	downAt       int64
	notifiedAt   int64            // time at which the last announced discovery event arrives
	heldEvents   []DiscoveryEvent // delivered once it reaches the discovery service again
	openRequests map[string]*Request
	arrivalOrder []string // IDs of requests, also of closed ones; the order in which a kill ends the open ones
}

// minCompactedArrivals is the length up to which the list of arrivals is not compacted.
const minCompactedArrivals = 64

// addRequest adds a request that has arrived.
func (r *router) addRequest(request *Request) {
	request.open = true
	r.openRequests[request.ID] = request
	r.arrivalOrder = append(r.arrivalOrder, request.ID)
	if len(r.arrivalOrder) > minCompactedArrivals && len(r.arrivalOrder) > 2*len(r.openRequests) {
		r.compactArrivalOrder()
	}
}

// closeRequest removes a request that was answered or whose connection was closed.
func (r *router) closeRequest(request *Request) {
	request.open = false
	delete(r.openRequests, request.ID)
}

// compactArrivalOrder drops requests that are closed.
func (r *router) compactArrivalOrder() {
	r.arrivalOrder = slices.DeleteFunc(r.arrivalOrder, func(id string) bool { return r.openRequests[id] == nil })
}

// killRouter kills a router's process. The servers cancel its attempts one network latency later, and the connections
// of its clients are reset.
func (s *Simulation) killRouter(router *router) {
	router.up = false
	router.downAt = s.now
	router.heldEvents = nil
	router.suspensions = 0
	router.incarnation++
	s.record(Entry{Kind: eventlog.KindRouterDown, Router: router.id})
	s.driver.KillRouter(router.id)
	for _, attempt := range s.attemptsOf(router.id) {
		delete(s.attempts, attempt.key())
		s.detachLater(attempt)
	}
	for _, id := range router.arrivalOrder {
		request := router.openRequests[id]
		if request == nil {
			continue
		}
		router.closeRequest(request)
		s.schedule(s.clientDelay(), func() {
			s.retryOrFail(request.clientRequest, 0, s.idempotent(request.Class))
		})
	}
	router.arrivalOrder = nil
}

// attemptsOf returns the attempts that a router waits for, in a fixed order.
func (s *Simulation) attemptsOf(routerID int) (attempts []*Attempt) {
	for key, attempt := range s.attempts {
		if key.router == routerID {
			attempts = append(attempts, attempt)
		}
	}
	slices.SortFunc(attempts, func(a, b *Attempt) int {
		return cmp.Or(cmp.Compare(a.RequestID, b.RequestID), cmp.Compare(a.Number, b.Number))
	})
	return attempts
}

// startRouter starts a router's process with the current endpoint list.
func (s *Simulation) startRouter(router *router) {
	if router.up {
		return
	}
	router.up = true
	router.notifiedAt = s.now
	s.record(Entry{Kind: eventlog.KindRouterUp, Router: router.id})
	s.driver.StartRouter(router.id, s.EndpointList())
}
