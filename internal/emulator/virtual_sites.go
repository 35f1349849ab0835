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
	beatEvery  = 250_000
	sitePace   = 10 // flows that one txn's bytes cross at
	siteRatio  = 0.5
	mostAcross = 256
)

func nameOf(router int) string { return fmt.Sprint("n", router) }

func (v *virtual) siteOf(r *vrouter) int { return v.set.Fleet.Site(v.world.Office(r.id)) }

// join gives a starting router its gate.
func (v *virtual) join(r *vrouter) {
	site := v.siteOf(r)
	if site < 0 {
		return
	}
	peers := map[string]string{}
	for i := range v.world.Routers() {
		if s := v.set.Fleet.Site(v.world.Office(i)); s != site {
			peers[nameOf(i)] = fmt.Sprint(s)
		}
	}
	r.from, r.beats = map[string]*vtxn{}, map[*vrouter]int64{}
	r.gate = peerpolicy.New(peerpolicy.Settings{
		Name: nameOf(r.id), Site: fmt.Sprint(site), MaxRequests: mostAcross, LocalReserve: siteRatio,
		HeartbeatInterval: beatEvery,
	}, peers)
	self := r.core
	var beat func()
	n := 0
	beat = func() {
		if r.core != self {
			return
		}
		now := v.now()
		r.gate.Tick(now)
		v.crossed(r)
		v.silent(r, now)
		v.world.After(beatEvery/4, beat)
		if n++; n%4 != 0 {
			return
		}
		offer := r.gate.OfferedCapacity(now)
		for _, p := range v.peers(r) {
			v.over(func() {
				if p.gate == nil || p.core == nil || r.core != self {
					return
				}
				if q := p.gate.Peer(nameOf(r.id)); q.State == peerpolicy.StateDisconnected || q.Incarnation < r.starts {
					p.gate.Connected(v.now(), nameOf(r.id), r.starts)
				}
				p.gate.Heartbeat(v.now(), nameOf(r.id), offer, false, int64(2*v.set.Fleet.SiteMS*1000))
				p.beats[r] = v.now()
				v.crossed(p)
			})
		}
	}
	v.world.After(int64(r.id%8)*beatEvery/8, beat)
}

// silent gives up what came from a peer that has said nothing for long, as the end of
// its connection does.
func (v *virtual) silent(r *vrouter, now int64) {
	var gone []*vtxn
	for _, x := range r.open {
		if x.home != nil && now-r.beats[x.home] > peerpolicy.MaxSilentHeartbeats*beatEvery {
			gone = append(gone, x)
		}
	}
	slices.SortFunc(gone, func(a, b *vtxn) int { return strings.Compare(a.ask.Txn, b.ask.Txn) })
	for _, x := range gone {
		v.giveUp(r, x)
	}
}

// over takes something to the other site, unless the way is cut when it begins or
// ends.
func (v *virtual) over(do func()) {
	if v.world.SitesCut() {
		return
	}
	v.world.After(int64(v.set.Fleet.SiteMS*1000), func() {
		if !v.world.SitesCut() {
			do()
		}
	})
}

func (v *virtual) peers(r *vrouter) (out []*vrouter) {
	for _, p := range v.routers {
		if p.gate != nil && p.core != nil && v.siteOf(p) != v.siteOf(r) {
			out = append(out, p)
		}
	}
	return out
}

// part is a router's death: peers lose its connection.
func (v *virtual) part(r *vrouter) {
	if r.gate == nil {
		return
	}
	r.gate, r.from = nil, nil
	for _, p := range v.peers(r) {
		v.over(func() {
			if p.gate != nil {
				p.gate.Disconnected(nameOf(r.id))
				v.crossed(p)
			}
		})
	}
}
