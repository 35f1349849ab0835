package emulator

import (
	"fmt"
	"slices"
	"strings"

	"quilldoor/internal/engine"
	"quilldoor/internal/gateway/peerpolicy"
)

// The settings of the gateways and of the simulated network between sites. On the virtual clock the
// routers use their real gateway policy, and the network has a latency and a transfer rate.
const (
	// heartbeatMicros is the interval between a gateway's heartbeats, which hold its capacity.
	heartbeatMicros = 250_000
	// ticksPerHeartbeat is the number of gateway ticks in a heartbeat interval.
	ticksPerHeartbeat = 4
	// heartbeatPhases is the number of offsets in a heartbeat interval over which the routers'
	// heartbeats are spread.
	heartbeatPhases = 8
	// siteRateMultiple is the rate at which a forwarded response crosses between sites, as a
	// multiple of the rate of a flow.
	siteRateMultiple = 10
	// siteLocalReserve is the share of a router's capacity that is reserved for its own site.
	siteLocalReserve = 0.5
	// maxForwarded is the maximum number of open forwarded requests of a router.
	maxForwarded = 256
)

// routerName is a router's name in the membership and at the gateways, and in the names of its
// files. It counts from 0, as the event log does; platformName counts from 1.
func routerName(router int) string { return fmt.Sprint("n", router) }

// siteOf is the index of a router's site; negative: the scenario has one site.
func (v *virtualRun) siteOf(router *virtualRouter) int {
	return v.scenario.Fleet.Site(v.simulation.Office(router.id))
}

// startGateway starts the gateway of a router that starts, if there are several sites.
func (v *virtualRun) startGateway(router *virtualRouter) {
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

// scheduleGatewayTick schedules a tick of a gateway after a delay, in microseconds. The tick does
// nothing if the router's engine is no longer the given one, as the router has been killed since.
func (v *virtualRun) scheduleGatewayTick(delay int64, router *virtualRouter, current *engine.Engine, tick int) {
	v.simulation.After(delay, func() {
		if router.engine != current {
			return
		}
		now := v.now()
		router.gateway.Tick(now)
		v.runGatewayActions(router)
		v.withdrawFromSilentPeers(router, now)
		v.scheduleGatewayTick(heartbeatMicros/ticksPerHeartbeat, router, current, tick+1)
		if tick%ticksPerHeartbeat == 0 {
			v.sendHeartbeats(router, now)
		}
	})
}

// sendHeartbeats sends the offered capacity of a router to all its peers.
func (v *virtualRun) sendHeartbeats(router *virtualRouter, now int64) {
	current := router.engine
	offer := router.gateway.OfferedCapacity(now)
	name := routerName(router.id)
	roundTrip := int64(2 * v.scenario.Fleet.SiteMS * microsPerMilli)
	for _, peer := range v.peers(router) {
		v.deliverAcrossSites(func() {
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

// withdrawFromSilentPeers withdraws the requests that were forwarded by a peer whose heartbeats are
// missing, as the end of its connection would. It sorts the requests, because the order of a map
// differs between runs.
func (v *virtualRun) withdrawFromSilentPeers(router *virtualRouter, now int64) {
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

// deliverAcrossSites runs a task, the receipt of a message at another site, after the latency
// between sites. The message is lost if the sites are cut when it is sent or when it arrives.
func (v *virtualRun) deliverAcrossSites(task func()) {
	if v.simulation.SitesPartitioned() {
		return
	}
	v.simulation.After(int64(v.scenario.Fleet.SiteMS*microsPerMilli), func() {
		if !v.simulation.SitesPartitioned() {
			task()
		}
	})
}

// peers returns the routers of other sites that are up.
func (v *virtualRun) peers(router *virtualRouter) (out []*virtualRouter) {
	for _, peer := range v.routers {
		if peer.gateway != nil && peer.engine != nil && v.siteOf(peer) != v.siteOf(router) {
			out = append(out, peer)
		}
	}
	return out
}

// stopGateway stops the gateway of a router that goes down, and notifies its peers of the lost
// connection.
func (v *virtualRun) stopGateway(router *virtualRouter) {
	if router.gateway == nil {
		return
	}
	router.gateway = nil
	router.forwarded = nil
	for _, peer := range v.peers(router) {
		v.deliverAcrossSites(func() {
			if peer.gateway != nil {
				peer.gateway.Disconnected(routerName(router.id))
				v.runGatewayActions(peer)
			}
		})
	}
}
