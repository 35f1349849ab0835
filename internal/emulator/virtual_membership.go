package emulator

import (
	"math/rand/v2"

	"quilldoor/internal/engine"
	"quilldoor/internal/gossip"
	"quilldoor/internal/membership"
	"quilldoor/internal/membership/transport"
	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simfleet"
)

// startMembership starts the routers' membership, if the scenario has one, and schedules the
// comparison of their views.
func (v *virtualRun) startMembership() {
	if !v.scenario.Fleet.Membership {
		return
	}
	count := v.simulation.Routers()
	v.fleet = simfleet.New(count, v.options.Seed, v.simulation.Network, v.newDetector)
	v.fleet.Payloads = payloadHandler{v}
	for i := range count {
		v.fleet.Start(i)
	}
	v.scheduleComparison()
}

// newDetector returns the failure detector of a router that starts. All routers are its seeds.
func (v *virtualRun) newDetector(host *simfleet.Host, now int64) simfleet.Detector {
	router := v.routers[host.ID]
	random := rand.New(rand.NewPCG(v.options.Seed, uint64(host.ID)<<32|router.incarnation))
	return membership.New(membership.Settings{
		Name:  host.Name,
		Zone:  scenario.Zone(v.simulation.Office(host.ID)),
		Addr:  simfleet.Addr(host.ID),
		Seeds: simfleet.Seeds(v.simulation.Routers()),
		Epoch: 1,
	}, random, now)
}

// scheduleComparison schedules the next comparison of the routers' views.
func (v *virtualRun) scheduleComparison() {
	v.simulation.After(viewIntervalMicros, func() {
		v.compareViews()
		v.scheduleComparison()
	})
}

// compareViews compares the views of the routers that are up. Those of suspended routers are
// missing, as they can't answer a query.
func (v *virtualRun) compareViews() {
	views := map[string]*membership.View{}
	var up []string
	for _, host := range v.fleet.Hosts {
		v.membership.recordReachable(v.simulation.Now(), host.Name, reachable(v.simulation, host.ID))
		if host.Detector == nil {
			continue
		}
		up = append(up, host.Name)
		if !v.routers[host.ID].suspended {
			views[host.Name] = host.Detector.(*membership.Node).View()
		}
	}
	v.membership.observe(v.simulation.Now(), v.simulation.LastFaultChange(), up, views)
}

// maxRequestMicros is the longest request time limit of all traffic classes.
const maxRequestMicros = 5_000_000

// payloadHandler exchanges endpoint state between the routers' replicas in the payloads of
// membership messages. It implements simfleet.PayloadHandler.
type payloadHandler struct{ *virtualRun }

// Digest is the digest of a router's replica.
func (p payloadHandler) Digest(host *simfleet.Host) uint32 {
	return p.routers[host.ID].replica.Digest()
}

// HandlePayload applies a payload to a router and returns the replies.
func (p payloadHandler) HandlePayload(host *simfleet.Host, payload membership.Payload) [][]byte {
	router := p.routers[host.ID]
	result := router.replica.HandlePayload(
		p.now(), p.now(), payload.From, payload.Digest, payload.Body, transport.MaxPayloadBytes,
	)
	p.applyEndpoints(router, result.Endpoints)
	for _, purge := range result.Purges {
		router.engine.Purge(p.now(), purge.Object, purge.Group, purge.At)
	}
	p.runPending()
	return result.Replies
}

// applyEndpoints updates the endpoint list of a router's engine with changes from its replica.
func (p payloadHandler) applyEndpoints(router *virtualRouter, list []gossip.Endpoint) {
	if len(list) > 0 {
		router.engine.UpdateEndpoints(p.now(), policy.ScopeDiff, engineEndpoints(list))
	}
}

// Tick runs the timers of a router's replica.
func (p payloadHandler) Tick(host *simfleet.Host) {
	router := p.routers[host.ID]
	node := host.Detector.(*membership.Node)
	router.replica.SetSingleConfirmation(node.Connectivity().Known < gossip.MembersForConfirmation)
	p.applyEndpoints(router, router.replica.Tick(p.now(), p.now()))
	p.runPending()
}

// mergeEndpoints merges an update from the discovery service with later changes that the router's
// replica has received from other routers. Without a replica it returns the update as it is.
func (v *virtualRun) mergeEndpoints(router *virtualRouter, complete bool, list []engine.Endpoint) []engine.Endpoint {
	if router.replica == nil {
		return list
	}
	out := make([]gossip.Endpoint, len(list))
	for i, endpoint := range list {
		out[i] = gossip.Endpoint{Endpoint: endpoint.Endpoint, Address: endpoint.Address}
	}
	return engineEndpoints(router.replica.ApplyLocal(v.now(), complete, out))
}

// engineEndpoints converts a replica's endpoints to the engine's type.
func engineEndpoints(list []gossip.Endpoint) (out []engine.Endpoint) {
	for _, endpoint := range list {
		out = append(out, engine.Endpoint{Endpoint: endpoint.Endpoint, Address: endpoint.Address})
	}
	return out
}
