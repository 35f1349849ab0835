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

// startMembership gives the routers of the virtual clock their knowledge of each other.
func (v *virtualRun) startMembership() {
	if !v.scenario.Fleet.Membership {
		return
	}
	count := v.world.Routers()
	v.fleet = simfleet.New(count, v.options.Seed, v.world.Ways, func(host *simfleet.Host, now int64) simfleet.Detector {
		r := v.routers[host.ID]
		return membership.New(membership.Settings{
			Name: host.Name, Zone: scenario.Zone(v.world.Office(host.ID)), Addr: simfleet.Addr(host.ID),
			Seeds: simfleet.Seeds(count), Epoch: 1,
		}, rand.New(rand.NewPCG(v.options.Seed, uint64(host.ID)<<32|r.incarnation)), now)
	})
	v.fleet.Payloads = payloadHandler{v}
	for i := range count {
		v.fleet.Start(i)
	}
	var observe func()
	observe = func() {
		views := map[string]*membership.View{}
		var up []string
		for _, host := range v.fleet.Hosts {
			v.membership.recordReachable(v.world.Now(), host.Name, reachable(v.world, host.ID))
			if host.Detector != nil {
				up = append(up, host.Name)
				if !v.routers[host.ID].stopped {
					views[host.Name] = host.Detector.(*membership.Node).View()
				}
			}
		}
		v.membership.observe(v.world.Now(), v.world.LastTurn(), up, views)
		v.world.After(viewIntervalMicros, observe)
	}
	v.world.After(viewIntervalMicros, observe)
}

// maxRequestMicros is the longest time limit of the rules.
const maxRequestMicros = 5_000_000

// payloadHandler is what virtual routers do with what they know, as the router does it.
type payloadHandler struct{ *virtualRun }

func (m payloadHandler) Digest(host *simfleet.Host) uint32 {
	return m.routers[host.ID].replica.Digest()
}

func (m payloadHandler) HandlePayload(host *simfleet.Host, payload membership.Payload) [][]byte {
	router := m.routers[host.ID]
	result := router.replica.HandlePayload(m.now(), m.now(), payload.From, payload.Digest, payload.Body, transport.MaxPayloadBytes)
	m.applyEndpoints(router, result.Endpoints)
	for _, purge := range result.Purges {
		router.engine.Purge(m.now(), purge.Object, purge.Group, purge.At)
	}
	m.settle()
	return result.Replies
}

func (m payloadHandler) applyEndpoints(r *virtualRouter, list []gossip.Endpoint) {
	if len(list) > 0 {
		r.engine.UpdateEndpoints(m.now(), policy.ScopeDiff, engineEndpoints(list))
	}
}

func (m payloadHandler) Tick(host *simfleet.Host) {
	router, node := m.routers[host.ID], host.Detector.(*membership.Node)
	router.replica.SetSingleConfirmation(node.Connectivity().Known < 3)
	m.applyEndpoints(router, router.replica.Tick(m.now(), m.now()))
	m.settle()
}

// mergeEndpoints passes what the board tells, with what other routers know better.
func (v *virtualRun) mergeEndpoints(r *virtualRouter, complete bool, list []engine.Endpoint) []engine.Endpoint {
	if r.replica == nil {
		return list
	}
	out := make([]gossip.Endpoint, len(list))
	for i, endpoint := range list {
		out[i] = gossip.Endpoint{Endpoint: endpoint.Endpoint, Address: endpoint.Address}
	}
	return engineEndpoints(r.replica.ApplyLocal(v.now(), complete, out))
}

func engineEndpoints(list []gossip.Endpoint) (out []engine.Endpoint) {
	for _, endpoint := range list {
		out = append(out, engine.Endpoint{Endpoint: endpoint.Endpoint, Address: endpoint.Address})
	}
	return out
}
