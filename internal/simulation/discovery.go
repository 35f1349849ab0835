package simulation

import (
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// EndpointList is the endpoint list as it is, in a fixed order.
func (s *Simulation) EndpointList() (servers []Server) {
	add := func(server *server) {
		if server.listed != policy.EndpointGone {
			servers = append(servers, server.endpoint())
		}
	}
	for _, group := range slices.Concat(s.caches, s.parents) {
		for _, server := range group {
			add(server)
		}
	}
	add(s.origin)
	return servers
}

// setListed changes a server's state in the endpoint list. Routers are notified after a delay.
func (s *Simulation) setListed(server *server, state policy.EndpointState, delay int64) {
	server.listed = state
	endpoint := server.endpoint()
	s.record(Entry{Kind: eventlog.KindListed, Endpoint: server.id, State: string(state), Until: s.now + delay})
	s.schedule(delay, func() { s.announce(DiscoveryEvent{Servers: []Server{endpoint}}) })
}

// announce sends a notice to all routers. Each gets it a little later, after those announced before.
func (s *Simulation) announce(notice DiscoveryEvent) {
	for _, router := range s.routers {
		delay := s.jitter(s.scenario.Fleet.DiscoveryDelayMS * millisecond)
		due := max(router.notifiedAt, s.now+delay+s.discoveryDelay)
		router.notifiedAt = due
		s.schedule(due-s.now, func() { s.notify(router, notice) })
	}
}

// notify delivers a notice to a router. While the router cannot reach the discovery service, the notice is held.
func (s *Simulation) notify(router *router, notice DiscoveryEvent) {
	if !router.up {
		return // it gets the list as it is when it starts
	}
	if s.discoveryCut || router.discoveryCut {
		router.heldNotices = append(router.heldNotices, notice)
		return
	}
	for _, server := range notice.Servers {
		s.record(Entry{
			Kind: eventlog.KindNotified, Router: router.id,
			Endpoint: server.ID, State: string(server.State),
		})
	}
	if notice.Purge {
		s.record(Entry{
			Kind: eventlog.KindPurgeNotified, Router: router.id,
			Object: notice.Object, Group: notice.Group, Until: notice.At,
		})
	}
	s.driver.Notify(router.id, notice)
}

// restoreDiscovery ends a partition of the discovery service and delivers the notices that were held.
func (s *Simulation) restoreDiscovery() {
	s.discoveryCut = false
	for _, router := range s.routers {
		if router.discoveryCut {
			continue
		}
		held := router.heldNotices
		router.heldNotices = nil
		for _, notice := range held {
			s.notify(router, notice)
		}
	}
}
