package simulation

import (
	"cmp"
	"slices"

	"quilldoor/internal/eventlog"
)

// router is what the simulation knows of a router: its process and the requests it has not answered. The router's own
// state belongs to the driver.
type router struct {
	id           int
	office       int
	up           bool
	incarnation  int  // counts deaths
	suspensions  int  // faults that suspend it
	discoveryCut bool // it cannot reach the discovery service
	downAt       int64
	notifiedAt   int64            // when the last discovery event arrives; later ones arrive after it
	heldEvents   []DiscoveryEvent // that it gets once it reaches the discovery service again
	openRequests map[string]*Request
	arrivalOrder []string // of requests, open ones among them: gives a router's death a fixed order
}

// minCompactedArrivals keeps short lists of arrivals from being compacted.
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

// closeRequest removes a request that was answered or whose client has gone.
func (r *router) closeRequest(request *Request) {
	request.open = false
	delete(r.openRequests, request.ID)
}

// compactArrivalOrder drops requests that are closed.
func (r *router) compactArrivalOrder() {
	r.arrivalOrder = slices.DeleteFunc(r.arrivalOrder, func(id string) bool { return r.openRequests[id] == nil })
}

// killRouter ends a router's process: connections of its attempts end, and its clients see a reset.
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

// attemptsOf are the attempts that a router waits for, in a fixed order.
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

// startRouter starts a router's process with the endpoint list as it is.
func (s *Simulation) startRouter(router *router) {
	if router.up {
		return
	}
	router.up = true
	router.notifiedAt = s.now
	s.record(Entry{Kind: eventlog.KindRouterUp, Router: router.id})
	s.driver.StartRouter(router.id, s.EndpointList())
}
