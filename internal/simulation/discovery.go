package simulation

import (
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// Known is the endpoint list as it is, in a fixed order.
func (w *Simulation) Known() (servers []Server) {
	add := func(server *server) {
		if server.listed != policy.EndpointGone {
			servers = append(servers, server.endpoint())
		}
	}
	for _, group := range slices.Concat(w.caches, w.parents) {
		for _, server := range group {
			add(server)
		}
	}
	add(w.origin)
	return servers
}

// setListed changes a server's state in the endpoint list. Routers are notified after a delay.
func (w *Simulation) setListed(server *server, state policy.EndpointState, delay int64) {
	server.listed = state
	endpoint := server.endpoint()
	w.record(Entry{Kind: eventlog.KindListed, Endpoint: server.id, State: string(state), Until: w.now + delay})
	w.schedule(delay, func() { w.announce(DiscoveryEvent{Servers: []Server{endpoint}}) })
}

// announce sends a notice to all routers. Each gets it a little later, after those announced before.
func (w *Simulation) announce(notice DiscoveryEvent) {
	for _, router := range w.routers {
		delay := w.jitter(w.scenario.Fleet.DiscoveryDelayMS * millisecond)
		due := max(router.notifiedAt, w.now+delay+w.discoveryDelay)
		router.notifiedAt = due
		w.schedule(due-w.now, func() { w.notify(router, notice) })
	}
}

// notify delivers a notice to a router. While the router cannot reach the discovery service, the notice is held.
func (w *Simulation) notify(router *router, notice DiscoveryEvent) {
	if !router.up {
		return // it gets the list as it is when it starts
	}
	if w.discoveryCut || router.discoveryCut {
		router.heldNotices = append(router.heldNotices, notice)
		return
	}
	for _, server := range notice.Servers {
		w.record(Entry{
			Kind: eventlog.KindNotified, Router: router.id,
			Endpoint: server.ID, State: string(server.State),
		})
	}
	if notice.Purge {
		w.record(Entry{
			Kind: eventlog.KindPurgeNotified, Router: router.id,
			Object: notice.Object, Group: notice.Group, Until: notice.At,
		})
	}
	w.driver.Notify(router.id, notice)
}

// restoreDiscovery ends a partition of the discovery service and delivers the notices that were held.
func (w *Simulation) restoreDiscovery() {
	w.discoveryCut = false
	for _, router := range w.routers {
		if router.discoveryCut {
			continue
		}
		held := router.heldNotices
		router.heldNotices = nil
		for _, notice := range held {
			w.notify(router, notice)
		}
	}
}
