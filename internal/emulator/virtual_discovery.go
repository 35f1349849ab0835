package emulator

import (
	"quilldoor/internal/gossip"
	"quilldoor/internal/policy"
	"quilldoor/internal/simulation"
)

// Notify delivers a discovery notice to a router: a change of the endpoint list, or a purge.
func (v *virtualRun) Notify(router int, notice simulation.DiscoveryEvent) {
	v.routers[router].whenRunning(func() { v.notify(router, notice) })
}

// notify applies a notice to a router, unless the router is to miss it.
func (v *virtualRun) notify(router int, notice simulation.DiscoveryEvent) {
	r := v.routers[router]
	if v.options.observer != nil {
		if notice.Purge {
			v.options.observer.purged(router, v.now(), notice.Object, notice.Group, notice.At+epochMicros)
		} else {
			v.options.observer.endpointsChanged(router, v.now(), false, routerEndpoints(notice.Servers))
		}
	}
	if v.options.MissesUpdate != nil && v.options.MissesUpdate(router, notice) {
		return
	}
	if !notice.Purge {
		endpoints := v.mergeEndpoints(r, false, routerEndpoints(notice.Servers))
		r.engine.UpdateEndpoints(v.now(), policy.ScopeDiff, endpoints)
		return
	}
	at := notice.At + epochMicros
	if r.gateway != nil {
		v.seenPurges[router] = append(v.seenPurges[router], notice)
	}
	if r.replica != nil {
		r.replica.ApplyLocalPurge(v.now(), gossip.Purge{Object: notice.Object, Group: notice.Group, At: at})
	}
	r.engine.Purge(v.now(), notice.Object, notice.Group, at)
}
