package simulation

import (
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// EndpointList is the current endpoint list, in a fixed order.
func (s *Simulation) EndpointList() (endpoints []policy.Endpoint) {
	add := func(server *server) {
		if server.listedState != policy.EndpointRemoved {
			endpoints = append(endpoints, server.endpoint())
		}
	}
	for _, group := range slices.Concat(s.caches, s.parents) {
		for _, server := range group {
			add(server)
		}
	}
	add(s.origin)
	return endpoints
}

// setListed changes a server's state in the endpoint list. Routers are notified after a delay.
func (s *Simulation) setListed(server *server, state policy.EndpointState, delay int64) {
	server.listedState = state
	endpoint := server.endpoint()
	s.record(Entry{
		Kind: eventlog.KindListed, Endpoint: server.id, State: string(state), StartedAt: endpoint.StartedAt,
		Until: s.now + delay,
	})
	s.schedule(delay, func() { s.announce(DiscoveryEvent{Endpoints: []policy.Endpoint{endpoint}}) })
}

// announce sends a discovery event to all routers. Each router receives it after a random delay, and never before an
// event that was announced earlier.
func (s *Simulation) announce(event DiscoveryEvent) {
	announcer, _ := s.driver.(Announcer)
	for _, router := range s.routers {
		if announcer != nil && router.up {
			announcer.Announced(router.id, event)
		}
		delay := s.jitter(s.scenario.Fleet.DiscoveryDelayMS * millisecond)
		due := max(router.notifiedAt, s.now+delay+s.discoveryDelay)
		router.notifiedAt = due
		s.schedule(due-s.now, func() { s.notify(router, event) })
	}
}

// notify delivers a discovery event to a router, or holds it while the router cannot reach the discovery service.
func (s *Simulation) notify(router *router, event DiscoveryEvent) {
	if !router.up {
		return // a router receives the current list when it starts
	}
	if s.discoveryCut || router.discoveryCut {
		router.heldEvents = append(router.heldEvents, event)
		return
	}
	for _, endpoint := range event.Endpoints {
		s.record(Entry{
			Kind: eventlog.KindNotified, Router: router.id,
			Endpoint: endpoint.ID, State: string(endpoint.State), StartedAt: endpoint.StartedAt,
		})
	}
	if event.Purge {
		s.record(Entry{
			Kind: eventlog.KindPurgeNotified, Router: router.id,
			Object: event.Object, Group: event.Group, Until: event.At,
		})
	}
	s.driver.Notify(router.id, event)
}

// restoreDiscovery ends a partition of the discovery service and delivers the events that were held, except to routers
// that are still cut off by another fault.
func (s *Simulation) restoreDiscovery() {
	s.discoveryCut = false
	for _, router := range s.routers {
		if router.discoveryCut {
			continue
		}
		held := router.heldEvents
		router.heldEvents = nil
		for _, event := range held {
			s.notify(router, event)
		}
	}
}
