package emulator

import (
	"container/heap"

	"quilldoor/internal/engine"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/gossip"
	"quilldoor/internal/policy"
)

// epochMicros is the routers' time when a run begins, in microseconds. A server that had
// started by then is reported with the start time 0.
const epochMicros = int64(1_000_000_000_000)

// seedSpacing leaves the seeds of different runs room for the routers' numbers.
const seedSpacing = 1000

// virtualRouter is a router on the virtual clock.
type virtualRouter struct {
	id          int
	engine      *engine.Engine // nil: it is down
	incarnation uint64         // how often it has been started
	nextTimer   int64          // when the engine's next timer is due
	heapIndex   int            // its place in virtualRun.timers; -1: none
	wakePending bool           // it is in virtualRun.woken
	requests    map[string]*virtualRequest

	gateway    *peerpolicy.Controller     // nil: its site is alone
	forwarded  map[string]*virtualRequest // requests that it has forwarded, by id
	heartbeats map[*virtualRouter]int64   // when it last heard of each peer

	replica *gossip.Replica // endpoint state shared with other routers; nil: not shared

	stopped   bool
	deferred  []func() // what happened to it while it was stopped
	stoppedAt int64
	resumedAt int64 // 0: it was never stopped
}

// whenRunning runs a task at once, or when the router goes on if it is stopped.
func (r *virtualRouter) whenRunning(task func()) {
	if r.stopped {
		r.deferred = append(r.deferred, task)
		return
	}
	task()
}

// startEngine gives a router a new engine with the endpoint list as it is.
func (v *virtualRun) startEngine(router *virtualRouter, known []policy.Endpoint) {
	setup := v.scenario.Settings(v.simulation.Office(router.id), router.id)
	if v.options.Settings != nil {
		v.options.Settings(&setup)
	}
	settings := setup.PolicySettings()
	router.incarnation++
	router.requests = map[string]*virtualRequest{}
	router.wakePending = false
	// The engine of an earlier incarnation may still call its wake function. It must not wake
	// this one.
	var current *engine.Engine
	current = engine.New(&settings, v.options.Seed*seedSpacing+uint64(router.id)+router.incarnation<<32, func() {
		if router.engine == current && !router.wakePending {
			router.wakePending = true
			v.woken = append(v.woken, router)
		}
	})
	router.engine = current
	v.joinSites(router)
	if v.options.observer != nil {
		v.options.observer.endpointsChanged(router.id, v.now(), true, routerEndpoints(known))
	}
	if v.scenario.Fleet.Membership {
		retention := int64(v.scenario.Fleet.PurgeCompleteMS*microsPerMilli) + maxRequestMicros
		router.replica = gossip.New(gossip.Settings{PurgeRetention: retention})
		router.engine.HoldSlowStart(v.now(), v.now()+settings.Contract.OverloadWindow)
	}
	router.engine.UpdateEndpoints(v.now(), policy.ScopeInitial, v.mergeEndpoints(router, true, routerEndpoints(known)))
	v.runTimers(router)
}

// routerEndpoints is the simulated servers as routers get them, in the routers' time.
func routerEndpoints(list []policy.Endpoint) (out []engine.Endpoint) {
	for _, endpoint := range list {
		if endpoint.StartedAt > 0 {
			endpoint.StartedAt += epochMicros
		}
		out = append(out, engine.Endpoint{Endpoint: endpoint, Address: endpoint.ID})
	}
	return out
}

// runTimers runs a router's due timers, and moves it to its next one.
func (v *virtualRun) runTimers(router *virtualRouter) {
	if router.stopped {
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
	router.stopped = false
	router.deferred = nil
	router.resumedAt = 0
	if v.fleet != nil {
		v.fleet.Kill(routerID)
	}
	v.leaveSites(router)
	if router.heapIndex >= 0 {
		heap.Remove(&v.timers, router.heapIndex)
	}
}

// StartRouter starts a router that was down.
func (v *virtualRun) StartRouter(routerID int, known []policy.Endpoint) {
	v.startEngine(v.routers[routerID], known)
	if v.fleet != nil {
		v.fleet.Start(routerID)
	}
}

// SuspendRouter pauses a router: what happens to it waits until it goes on.
func (v *virtualRun) SuspendRouter(routerID int) {
	router := v.routers[routerID]
	router.stopped = true
	router.stoppedAt = v.now()
	if v.fleet != nil {
		v.fleet.Pause(routerID)
	}
}

// ResumeRouter lets a paused router go on.
func (v *virtualRun) ResumeRouter(routerID int) {
	router := v.routers[routerID]
	router.stopped = false
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

// StarveRouter takes CPU from a router's membership. Requests take no CPU on the virtual clock.
func (v *virtualRun) StarveRouter(routerID int, share float64) {
	if v.fleet != nil {
		v.fleet.Throttle(routerID, share)
	}
}
