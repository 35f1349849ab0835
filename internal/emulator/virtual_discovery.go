package emulator

import (
	"quilldoor/internal/gossip"
	"quilldoor/internal/policy"
	"quilldoor/internal/simulation"
)

// Told tells a router of servers, or of a purge.
func (v *virtual) Told(router int, n simulation.Notice) {
	v.routers[router].act(func() { v.told(router, n) })
}

func (v *virtual) told(router int, n simulation.Notice) {
	r := v.routers[router]
	if v.opt.looks != nil {
		if n.Purge {
			v.opt.looks.purged(router, v.now(), n.Object, n.Group, n.At+epoch)
		} else {
			v.opt.looks.listed(router, v.now(), false, servers(n.Servers))
		}
	}
	if v.opt.Deaf != nil && v.opt.Deaf(router, n) {
		return
	}
	if n.Purge {
		if r.gate != nil {
			v.purges[router] = append(v.purges[router], n)
		}
		if r.book != nil {
			r.book.ApplyLocalPurge(v.now(), gossip.Purge{Object: n.Object, Group: n.Group, At: n.At + epoch})
		}
		r.core.Purge(v.now(), n.Object, n.Group, n.At+epoch)
		return
	}
	r.core.UpdateEndpoints(v.now(), policy.ScopeDiff, v.known(r, false, servers(n.Servers)))
}
