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

// know gives the routers of the virtual clock their knowledge of each other.
func (v *virtual) know() {
	if !v.set.Fleet.Membership {
		return
	}
	count := v.world.Routers()
	v.roster = simfleet.New(count, v.opt.Seed, v.world.Ways, func(h *simfleet.Host, now int64) simfleet.Detector {
		r := v.routers[h.ID]
		return membership.New(membership.Settings{
			Name: h.Name, Zone: scenario.Zone(v.world.Office(h.ID)), Addr: simfleet.Addr(h.ID),
			Seeds: simfleet.Seeds(count), Epoch: 1,
		}, rand.New(rand.NewPCG(v.opt.Seed, uint64(h.ID)<<32|r.starts)), now)
	})
	v.roster.Payloads = mailer{v}
	for i := range count {
		v.roster.Start(i)
	}
	var look func()
	look = func() {
		views := map[string]*membership.View{}
		var up []string
		for _, h := range v.roster.Hosts {
			v.knows.inTouch(v.world.Now(), h.Name, canTalk(v.world, h.ID))
			if h.Detector != nil {
				up = append(up, h.Name)
				if !v.routers[h.ID].stopped {
					views[h.Name] = h.Detector.(*membership.Node).View()
				}
			}
		}
		v.knows.look(v.world.Now(), v.world.LastTurn(), up, views)
		v.world.After(lookEvery, look)
	}
	v.world.After(lookEvery, look)
}

// longest is the longest time limit of the rules.
const longest = 5_000_000

// mailer is what virtual routers do with what they know, as the router does it.
type mailer struct{ *virtual }

func (m mailer) Digest(h *simfleet.Host) uint32 { return m.routers[h.ID].book.Digest() }

func (m mailer) HandlePayload(h *simfleet.Host, l membership.Payload) [][]byte {
	r := m.routers[h.ID]
	t := r.book.HandlePayload(m.now(), m.now(), l.From, l.Digest, l.Body, transport.MaxPayloadBytes)
	m.apply(r, t.Endpoints)
	for _, p := range t.Purges {
		r.core.Purge(m.now(), p.Object, p.Group, p.At)
	}
	m.settle()
	return t.Replies
}

func (m mailer) apply(r *vrouter, list []gossip.Endpoint) {
	if len(list) > 0 {
		r.core.UpdateEndpoints(m.now(), policy.ScopeDiff, coreServers(list))
	}
}

func (m mailer) Tick(h *simfleet.Host) {
	r, n := m.routers[h.ID], h.Detector.(*membership.Node)
	r.book.SetSingleConfirmation(n.Connectivity().Known < 3)
	m.apply(r, r.book.Tick(m.now(), m.now()))
	m.settle()
}

// known passes what the board tells, with what other routers know better.
func (v *virtual) known(r *vrouter, whole bool, list []engine.Endpoint) []engine.Endpoint {
	if r.book == nil {
		return list
	}
	out := make([]gossip.Endpoint, len(list))
	for i, s := range list {
		out[i] = gossip.Endpoint{Endpoint: s.Endpoint, Address: s.Address}
	}
	return coreServers(r.book.ApplyLocal(v.now(), whole, out))
}

func coreServers(list []gossip.Endpoint) (out []engine.Endpoint) {
	for _, s := range list {
		out = append(out, engine.Endpoint{Endpoint: s.Endpoint, Address: s.Address})
	}
	return out
}
