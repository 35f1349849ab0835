package emulator

import (
	"container/heap"

	"quilldoor/internal/engine"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/gossip"
	"quilldoor/internal/policy"
	"quilldoor/internal/simulation"
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

// startRouter gives a router a new engine with the endpoint list as it is.
func (v *virtualRun) startRouter(r *virtualRouter, known []simulation.Server) {
	setup := v.scenario.Settings(v.simulation.Office(r.id), r.id)
	if v.options.Settings != nil {
		v.options.Settings(&setup)
	}
	settings := setup.PolicySettings()
	r.incarnation++
	r.requests = map[string]*virtualRequest{}
	r.wakePending = false
	// The engine of an earlier incarnation may still call its wake function. It must not wake
	// this one.
	var current *engine.Engine
	current = engine.New(&settings, v.options.Seed*seedSpacing+uint64(r.id)+r.incarnation<<32, func() {
		if r.engine == current && !r.wakePending {
			r.wakePending = true
			v.woken = append(v.woken, r)
		}
	})
	r.engine = current
	v.joinSites(r)
	if v.options.observer != nil {
		v.options.observer.endpointsChanged(r.id, v.now(), true, routerEndpoints(known))
	}
	if v.scenario.Fleet.Membership {
		retention := int64(v.scenario.Fleet.PurgeCompleteMS*microsPerMilli) + maxRequestMicros
		r.replica = gossip.New(gossip.Settings{PurgeRetention: retention})
		r.engine.HoldSlowStart(v.now(), v.now()+settings.Contract.OverloadWindow)
	}
	r.engine.UpdateEndpoints(v.now(), policy.ScopeInitial, v.mergeEndpoints(r, true, routerEndpoints(known)))
	v.runTimers(r)
}

// routerEndpoints is the simulated servers as routers get them, in the routers' time.
func routerEndpoints(list []simulation.Server) (out []engine.Endpoint) {
	for _, server := range list {
		endpoint := server.Endpoint
		if endpoint.StartedAt > 0 {
			endpoint.StartedAt += epochMicros
		}
		out = append(out, engine.Endpoint{Endpoint: endpoint, Address: endpoint.ID})
	}
	return out
}

// runTimers runs a router's due timers, and moves it to its next one.
func (v *virtualRun) runTimers(r *virtualRouter) {
	if r.stopped {
		r.nextTimer = never
		heap.Fix(&v.timers, r.heapIndex)
		return
	}
	next, commands := r.engine.Run(v.now())
	for _, command := range commands {
		if command.Kind == engine.CommandDrop {
			v.simulation.Cancel(r.id, command.Attempt.Request.ID, command.Attempt.Number)
		}
	}
	r.nextTimer = next - epochMicros
	if r.heapIndex < 0 {
		heap.Push(&v.timers, r)
	} else {
		heap.Fix(&v.timers, r.heapIndex)
	}
}

// Down kills a router.
func (v *virtualRun) Down(router int) {
	r := v.routers[router]
	for _, request := range r.requests {
		request.finished = true
	}
	r.engine = nil
	r.requests = map[string]*virtualRequest{}
	r.stopped = false
	r.deferred = nil
	r.resumedAt = 0
	if v.fleet != nil {
		v.fleet.Kill(router)
	}
	v.leaveSites(r)
	if r.heapIndex >= 0 {
		heap.Remove(&v.timers, r.heapIndex)
	}
}

// Up starts a router that was down.
func (v *virtualRun) Up(router int, known []simulation.Server) {
	v.startRouter(v.routers[router], known)
	if v.fleet != nil {
		v.fleet.Start(router)
	}
}

// Stop pauses a router: what happens to it waits until it goes on.
func (v *virtualRun) Stop(router int) {
	r := v.routers[router]
	r.stopped = true
	r.stoppedAt = v.now()
	if v.fleet != nil {
		v.fleet.Pause(router)
	}
}

// Wake lets a paused router go on.
func (v *virtualRun) Wake(router int) {
	r := v.routers[router]
	r.stopped = false
	r.resumedAt = v.now()
	deferred := r.deferred
	r.deferred = nil
	for _, task := range deferred {
		task()
	}
	if r.engine != nil {
		v.runTimers(r)
	}
	if v.fleet != nil {
		v.fleet.Resume(router)
	}
}

// Starve takes CPU from a router's membership. Requests take no CPU on the virtual clock.
func (v *virtualRun) Starve(router int, share float64) {
	if v.fleet != nil {
		v.fleet.Throttle(router, share)
	}
}
