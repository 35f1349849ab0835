package simulation

import (
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// heldNotice waits at a board that can't be reached.
type heldNotice struct{ n Notice }

// setListed changes what the board tells of a server, some time from now.
func (w *World) setListed(server *server, state policy.EndpointState, delay int64) {
	server.listed = state
	endpoint := server.endpoint()
	w.record(Entry{Kind: eventlog.KindListed, Endpoint: server.id, State: string(state), Until: w.now + delay})
	w.schedule(delay, func() { w.announce(Notice{Servers: []Server{endpoint}}) })
}

// announce puts an event on the board. Each router has it a little later, in order.
func (w *World) announce(notice Notice) {
	fleet := &w.scenario.Fleet
	for _, router := range w.routers {
		due := max(router.notifiedAt, w.now+w.jitter(fleet.DiscoveryDelayMS*1000)+w.discoveryDelay)
		router.notifiedAt = due
		w.schedule(due-w.now, func() { w.notify(router, notice) })
	}
}

func (w *World) notify(router *router, notice Notice) {
	if !router.up {
		return // it has the list as it is when it starts
	}
	if w.discoveryCut || router.discoveryCut {
		router.heldNotices = append(router.heldNotices, heldNotice{notice})
		return
	}
	for _, server := range notice.Servers {
		w.record(Entry{Kind: eventlog.KindNotified, Router: router.id, Endpoint: server.ID, State: string(server.State)})
	}
	if notice.Purge {
		w.record(Entry{Kind: eventlog.KindPurgeNotified, Router: router.id, Object: notice.Object, Group: notice.Group, Until: notice.At})
	}
	w.driver.Told(router.id, notice)
}

// restoreDiscovery lets a board that was cut be reached again.
func (w *World) restoreDiscovery() {
	w.discoveryCut = false
	for _, router := range w.routers {
		if router.discoveryCut {
			continue
		}
		held := router.heldNotices
		router.heldNotices = nil
		for _, notice := range held {
			w.notify(router, notice.n)
		}
	}
}

// Known is the list as it is, in order.
func (w *World) Known() (servers []Server) {
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
