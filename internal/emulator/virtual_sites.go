package emulator

import (
	"fmt"
	"slices"
	"strings"

	"quilldoor/internal/gateway/peerpolicy"
)

// Sites joined on the virtual clock: the gates are the router's, the wire between
// them is written out here: a way of some milliseconds, and bytes at ten flows.

const (
	heartbeatMicros  = 250_000
	siteFlows        = 10 // flows that one txn's bytes cross at
	siteLocalReserve = 0.5
	maxForwarded     = 256
)

func routerName(router int) string { return fmt.Sprint("n", router) }

func (v *virtualRun) siteOf(r *virtualRouter) int { return v.scenario.Fleet.Site(v.world.Office(r.id)) }

// joinSites gives a starting router its gate.
func (v *virtualRun) joinSites(r *virtualRouter) {
	site := v.siteOf(r)
	if site < 0 {
		return
	}
	peers := map[string]string{}
	for i := range v.world.Routers() {
		if s := v.scenario.Fleet.Site(v.world.Office(i)); s != site {
			peers[routerName(i)] = fmt.Sprint(s)
		}
	}
	r.forwarded, r.heartbeats = map[string]*virtualRequest{}, map[*virtualRouter]int64{}
	r.gateway = peerpolicy.New(peerpolicy.Settings{
		Name: routerName(r.id), Site: fmt.Sprint(site), MaxRequests: maxForwarded, LocalReserve: siteLocalReserve,
		HeartbeatInterval: heartbeatMicros,
	}, peers)
	current := r.engine
	var heartbeat func()
	ticks := 0
	heartbeat = func() {
		if r.engine != current {
			return
		}
		now := v.now()
		r.gateway.Tick(now)
		v.runGatewayActions(r)
		v.withdrawSilent(r, now)
		v.world.After(heartbeatMicros/4, heartbeat)
		if ticks++; ticks%4 != 0 {
			return
		}
		offer := r.gateway.OfferedCapacity(now)
		for _, peer := range v.peers(r) {
			v.acrossSites(func() {
				if peer.gateway == nil || peer.engine == nil || r.engine != current {
					return
				}
				if link := peer.gateway.Peer(routerName(r.id)); link.State == peerpolicy.StateDisconnected || link.Incarnation < r.incarnation {
					peer.gateway.Connected(v.now(), routerName(r.id), r.incarnation)
				}
				peer.gateway.Heartbeat(v.now(), routerName(r.id), offer, false, int64(2*v.scenario.Fleet.SiteMS*1000))
				peer.heartbeats[r] = v.now()
				v.runGatewayActions(peer)
			})
		}
	}
	v.world.After(int64(r.id%8)*heartbeatMicros/8, heartbeat)
}

// withdrawSilent gives up what came from a peer that has said nothing for long, as the end of
// its connection does.
func (v *virtualRun) withdrawSilent(r *virtualRouter, now int64) {
	var silent []*virtualRequest
	for _, request := range r.requests {
		if request.forwardedBy != nil && now-r.heartbeats[request.forwardedBy] > peerpolicy.MaxSilentHeartbeats*heartbeatMicros {
			silent = append(silent, request)
		}
	}
	slices.SortFunc(silent, func(a, b *virtualRequest) int { return strings.Compare(a.ask.Txn, b.ask.Txn) })
	for _, request := range silent {
		v.withdraw(r, request)
	}
}

// acrossSites takes something to the other site, unless the way is cut when it begins or
// ends.
func (v *virtualRun) acrossSites(task func()) {
	if v.world.SitesCut() {
		return
	}
	v.world.After(int64(v.scenario.Fleet.SiteMS*1000), func() {
		if !v.world.SitesCut() {
			task()
		}
	})
}

func (v *virtualRun) peers(r *virtualRouter) (out []*virtualRouter) {
	for _, peer := range v.routers {
		if peer.gateway != nil && peer.engine != nil && v.siteOf(peer) != v.siteOf(r) {
			out = append(out, peer)
		}
	}
	return out
}

// leaveSites is a router's death: peers lose its connection.
func (v *virtualRun) leaveSites(r *virtualRouter) {
	if r.gateway == nil {
		return
	}
	r.gateway, r.forwarded = nil, nil
	for _, peer := range v.peers(r) {
		v.acrossSites(func() {
			if peer.gateway != nil {
				peer.gateway.Disconnected(routerName(r.id))
				v.runGatewayActions(peer)
			}
		})
	}
}
