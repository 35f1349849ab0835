package emulator

import (
	"quilldoor/internal/gossip"
	"quilldoor/internal/policy"
	"quilldoor/internal/simulation"
)

// Notify delivers a discovery notice to a router: a change of the endpoint list, or a purge.
func (v *virtualRun) Notify(routerID int, notice simulation.DiscoveryEvent) {
	v.routers[routerID].whenRunning(func() { v.notify(routerID, notice) })
}

// notify applies a notice to a router, unless the router is to miss it.
func (v *virtualRun) notify(routerID int, notice simulation.DiscoveryEvent) {
	router := v.routers[routerID]
	if v.options.observer != nil {
		if notice.Purge {
			v.options.observer.purged(routerID, v.now(), notice.Object, notice.Group, notice.At+epochMicros)
		} else {
			v.options.observer.endpointsChanged(routerID, v.now(), false, routerEndpoints(notice.Servers))
		}
	}
	if v.options.MissesUpdate != nil && v.options.MissesUpdate(routerID, notice) {
		return
	}
	if !notice.Purge {
		endpoints := v.mergeEndpoints(router, false, routerEndpoints(notice.Servers))
		router.engine.UpdateEndpoints(v.now(), policy.ScopeDiff, endpoints)
		return
	}
	at := notice.At + epochMicros
	if router.gateway != nil {
		v.seenPurges[routerID] = append(v.seenPurges[routerID], notice)
	}
	if router.replica != nil {
		router.replica.ApplyLocalPurge(v.now(), gossip.Purge{Object: notice.Object, Group: notice.Group, At: at})
	}
	router.engine.Purge(v.now(), notice.Object, notice.Group, at)
}
