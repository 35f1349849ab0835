package emulator

import (
	"quilldoor/internal/gossip"
	"quilldoor/internal/policy"
	"quilldoor/internal/simulation"
)

// Notify delivers a discovery event to a router: a change of the endpoint list, or a purge.
func (v *virtualRun) Notify(routerID int, event simulation.DiscoveryEvent) {
	v.routers[routerID].whenRunning(func() { v.notify(routerID, event) })
}

// notify applies a discovery event to a router, unless Options.MissesUpdate makes the router miss
// it. The observer is notified in either case.
func (v *virtualRun) notify(routerID int, event simulation.DiscoveryEvent) {
	router := v.routers[routerID]
	if v.options.observer != nil {
		if event.Purge {
			v.options.observer.purged(routerID, v.now(), event.Object, event.Group, event.At+epochMicros)
		} else {
			v.options.observer.endpointsChanged(routerID, v.now(), false, routerEndpoints(event.Endpoints))
		}
	}
	if v.options.MissesUpdate != nil && v.options.MissesUpdate(routerID, event) {
		return
	}
	if !event.Purge {
		endpoints := v.mergeEndpoints(router, false, routerEndpoints(event.Endpoints))
		router.engine.UpdateEndpoints(v.now(), policy.ScopeDiff, endpoints)
		return
	}
	at := event.At + epochMicros
	if router.gateway != nil {
		v.seenPurges[routerID] = append(v.seenPurges[routerID], event)
	}
	if router.replica != nil {
		router.replica.ApplyLocalPurge(v.now(), gossip.Purge{Object: event.Object, Group: event.Group, At: at})
	}
	router.engine.Purge(v.now(), event.Object, event.Group, at)
}
