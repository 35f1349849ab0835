package emulator

import (
	"container/heap"

	"quilldoor/internal/engine"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/gossip"
	"quilldoor/internal/policy"
)

// epochMicros is the time on the routers' clock at which a run begins, in microseconds. Servers
// that had started by then are reported with the start time 0.
const epochMicros = int64(1_000_000_000_000)

// seedSpacing is the distance between the router seeds of runs with consecutive seeds. A router's
// ID is added to its run's seed.
const seedSpacing = 1000

// virtualRouter is a router on the virtual clock.
type virtualRouter struct {
	id          int
	engine      *engine.Engine // nil: the router is down
	incarnation uint64         // number of starts
	nextTimer   int64          // when the engine's next timer is due
	heapIndex   int            // its index in virtualRun.timers; -1: none
	wakePending bool           // it is in virtualRun.wokenRouters
	requests    map[string]*virtualRequest

	gateway    *peerpolicy.Controller     // nil: no gateway, as there is one site
	forwarded  map[string]*virtualRequest // requests that it has forwarded, by ID
	heartbeats map[*virtualRouter]int64   // time of the last heartbeat from each peer

	replica *gossip.Replica // endpoint state shared with other routers; nil: not shared

	suspended   bool
	deferred    []func() // tasks that whenRunning has deferred until the router resumes
	suspendedAt int64
	resumedAt   int64 // when it last resumed; 0: never since its start
}

// whenRunning runs a task immediately, or when the router resumes if it is suspended.
func (r *virtualRouter) whenRunning(task func()) {
	if r.suspended {
		r.deferred = append(r.deferred, task)
		return
	}
	task()
}

// startEngine starts a new engine for a router with the given endpoint list.
func (v *virtualRun) startEngine(router *virtualRouter, endpoints []policy.Endpoint) {
	setup := v.scenario.Settings(v.simulation.Office(router.id), router.id)
	if v.options.Settings != nil {
		v.options.Settings(&setup)
	}
	settings := setup.PolicySettings()
	router.incarnation++
	router.requests = map[string]*virtualRequest{}
	router.wakePending = false
	// The engine of an earlier incarnation may still call its wake function, which must not wake
	// the current engine.
	var current *engine.Engine
	current = engine.New(&settings, v.options.Seed*seedSpacing+uint64(router.id)+router.incarnation<<32, func() {
		if router.engine == current && !router.wakePending {
			router.wakePending = true
			v.wokenRouters = append(v.wokenRouters, router)
		}
	})
	router.engine = current
	v.startGateway(router)
	if v.options.observer != nil {
		v.options.observer.endpointsChanged(router.id, v.now(), true, routerEndpoints(endpoints))
	}
	if v.scenario.Fleet.Membership {
		retention := int64(v.scenario.Fleet.PurgeCompleteMS*microsPerMilli) + maxRequestMicros
		router.replica = gossip.New(gossip.Settings{PurgeRetention: retention})
		router.engine.HoldSlowStart(v.now(), v.now()+settings.Contract.OverloadWindow)
	}
	router.engine.UpdateEndpoints(v.now(), policy.ScopeInitial, v.mergeEndpoints(router, true, routerEndpoints(endpoints)))
	v.runTimers(router)
}

// routerEndpoints converts simulated servers to the engine's type, with start times on the routers'
// clock.
func routerEndpoints(list []policy.Endpoint) (out []engine.Endpoint) {
	for _, endpoint := range list {
		if endpoint.StartedAt > 0 {
			endpoint.StartedAt += epochMicros
		}
		out = append(out, engine.Endpoint{Endpoint: endpoint, Address: endpoint.ID})
	}
	return out
}

// runTimers runs a router's due timers, and reorders it in the heap by its next timer. A suspended
// router has no next timer.
func (v *virtualRun) runTimers(router *virtualRouter) {
	if router.suspended {
		router.nextTimer = never
		heap.Fix(&v.timers, router.heapIndex)
		return
	}
	next, commands := router.engine.Run(v.now())
	for _, command := range commands {
		if command.Kind == engine.CommandDrop {
			v.simulation.Cancel(router.id, command.Attempt.Request.ID, command.Attempt.Number)
		}
	}
	router.nextTimer = next - epochMicros
	if router.heapIndex < 0 {
		heap.Push(&v.timers, router)
	} else {
		heap.Fix(&v.timers, router.heapIndex)
	}
}

// KillRouter kills a router.
func (v *virtualRun) KillRouter(routerID int) {
	router := v.routers[routerID]
	for _, request := range router.requests {
		request.finished = true
	}
	router.engine = nil
	router.requests = map[string]*virtualRequest{}
	router.suspended = false
	router.deferred = nil
	router.resumedAt = 0
	if v.fleet != nil {
		v.fleet.Kill(routerID)
	}
	v.stopGateway(router)
	if router.heapIndex >= 0 {
		heap.Remove(&v.timers, router.heapIndex)
	}
}

// StartRouter starts a router that was down.
func (v *virtualRun) StartRouter(routerID int, endpoints []policy.Endpoint) {
	v.startEngine(v.routers[routerID], endpoints)
	if v.fleet != nil {
		v.fleet.Start(routerID)
	}
}

// SuspendRouter suspends a router: events for it are deferred until it resumes.
func (v *virtualRun) SuspendRouter(routerID int) {
	router := v.routers[routerID]
	router.suspended = true
	router.suspendedAt = v.now()
	if v.fleet != nil {
		v.fleet.Pause(routerID)
	}
}

// ResumeRouter resumes a suspended router and runs its deferred tasks.
func (v *virtualRun) ResumeRouter(routerID int) {
	router := v.routers[routerID]
	router.suspended = false
	router.resumedAt = v.now()
	deferred := router.deferred
	router.deferred = nil
	for _, task := range deferred {
		task()
	}
	if router.engine != nil {
		v.runTimers(router)
	}
	if v.fleet != nil {
		v.fleet.Resume(routerID)
	}
}

// StarveRouter takes a share of the CPU from a router's membership; the router's requests need no
// CPU on the virtual clock.
func (v *virtualRun) StarveRouter(routerID int, share float64) {
	if v.fleet != nil {
		v.fleet.Throttle(routerID, share)
	}
}
