package emulator

import (
	"fmt"
	"slices"
	"strings"

	"quilldoor/internal/engine"
	"quilldoor/internal/gateway/peerpolicy"
)

// The gateways' settings. On the virtual clock the gateways are the router's own, and the
// network between them is in this file: a latency, and bytes at the rate of some flows.
const (
	// heartbeatMicros is how often a gateway tells its peers of its capacity.
	heartbeatMicros = 250_000
	// ticksPerHeartbeat is how often a gateway's timers run between heartbeats.
	ticksPerHeartbeat = 4
	// heartbeatPhases is over how many moments of an interval the routers' heartbeats are spread.
	heartbeatPhases = 8
	// siteFlows is how many times a flow's rate a forwarded response crosses at.
	siteFlows = 10
	// siteLocalReserve is the share of a router's capacity that is kept for its own site.
	siteLocalReserve = 0.5
	// maxForwarded is how many forwarded requests a router has open at most.
	maxForwarded = 256
)

// routerName is a router's name among members and gateways, and of the files for them. It counts
// from 0, as the event log does; platformName counts from 1.
func routerName(router int) string { return fmt.Sprint("n", router) }

func (v *virtualRun) siteOf(router *virtualRouter) int {
	return v.scenario.Fleet.Site(v.simulation.Office(router.id))
}

// joinSites gives a starting router its gateway, where there are several sites.
func (v *virtualRun) joinSites(router *virtualRouter) {
	site := v.siteOf(router)
	if site < 0 {
		return
	}
	peers := map[string]string{}
	for i := range v.simulation.Routers() {
		if peerSite := v.scenario.Fleet.Site(v.simulation.Office(i)); peerSite != site {
			peers[routerName(i)] = fmt.Sprint(peerSite)
		}
	}
	router.forwarded = map[string]*virtualRequest{}
	router.heartbeats = map[*virtualRouter]int64{}
	router.gateway = peerpolicy.New(peerpolicy.Settings{
		Name:              routerName(router.id),
		Site:              fmt.Sprint(site),
		MaxRequests:       maxForwarded,
		LocalReserve:      siteLocalReserve,
		HeartbeatInterval: heartbeatMicros,
	}, peers)
	firstDelay := int64(router.id%heartbeatPhases) * heartbeatMicros / heartbeatPhases
	v.scheduleGatewayTick(firstDelay, router, router.engine, 1)
}

// scheduleGatewayTick runs a gateway's timers after a delay, in microseconds. The engine tells
// whether the router has been restarted by then.
func (v *virtualRun) scheduleGatewayTick(delay int64, router *virtualRouter, current *engine.Engine, tick int) {
	v.simulation.After(delay, func() {
		if router.engine != current {
			return
		}
		now := v.now()
		router.gateway.Tick(now)
		v.runGatewayActions(router)
		v.withdrawSilent(router, now)
		v.scheduleGatewayTick(heartbeatMicros/ticksPerHeartbeat, router, current, tick+1)
		if tick%ticksPerHeartbeat == 0 {
			v.sendHeartbeats(router, now)
		}
	})
}

// sendHeartbeats tells all peers of a router's capacity.
func (v *virtualRun) sendHeartbeats(router *virtualRouter, now int64) {
	current := router.engine
	offer := router.gateway.OfferedCapacity(now)
	name := routerName(router.id)
	roundTrip := int64(2 * v.scenario.Fleet.SiteMS * microsPerMilli)
	for _, peer := range v.peers(router) {
		v.acrossSites(func() {
			if peer.gateway == nil || peer.engine == nil || router.engine != current {
				return
			}
			link := peer.gateway.Peer(name)
			if link.State == peerpolicy.StateDisconnected || link.Incarnation < router.incarnation {
				peer.gateway.Connected(v.now(), name, router.incarnation)
			}
			peer.gateway.Heartbeat(v.now(), name, offer, false, roundTrip)
			peer.heartbeats[router] = v.now()
			v.runGatewayActions(peer)
		})
	}
}

// withdrawSilent withdraws what came from a peer that has been silent for long, as the end of
// its connection would. They are sorted, as the order of a map would not repeat.
func (v *virtualRun) withdrawSilent(router *virtualRouter, now int64) {
	var silent []*virtualRequest
	for _, request := range router.requests {
		peer := request.forwardedBy
		if peer != nil && now-router.heartbeats[peer] > peerpolicy.MaxSilentHeartbeats*heartbeatMicros {
			silent = append(silent, request)
		}
	}
	slices.SortFunc(silent, func(a, b *virtualRequest) int { return strings.Compare(a.ID, b.ID) })
	for _, request := range silent {
		v.withdraw(router, request)
	}
}

// acrossSites runs a task at the other site after the latency between sites, unless they are
// cut when the message leaves or arrives.
func (v *virtualRun) acrossSites(task func()) {
	if v.simulation.SitesCut() {
		return
	}
	v.simulation.After(int64(v.scenario.Fleet.SiteMS*microsPerMilli), func() {
		if !v.simulation.SitesCut() {
			task()
		}
	})
}

// peers are the routers of other sites that are up.
func (v *virtualRun) peers(router *virtualRouter) (out []*virtualRouter) {
	for _, peer := range v.routers {
		if peer.gateway != nil && peer.engine != nil && v.siteOf(peer) != v.siteOf(router) {
			out = append(out, peer)
		}
	}
	return out
}

// leaveSites ends the gateway of a router that goes down: its peers lose the connection.
func (v *virtualRun) leaveSites(router *virtualRouter) {
	if router.gateway == nil {
		return
	}
	router.gateway = nil
	router.forwarded = nil
	for _, peer := range v.peers(router) {
		v.acrossSites(func() {
			if peer.gateway != nil {
				peer.gateway.Disconnected(routerName(router.id))
				v.runGatewayActions(peer)
			}
		})
	}
}
