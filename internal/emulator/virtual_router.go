package emulator

import (
	"container/heap"

	"quilldoor/internal/engine"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/gossip"
	"quilldoor/internal/policy"
	"quilldoor/internal/simulation"
)

// epochMicros is the routers' time at the world's zero: births before are told as 0.
const epochMicros = int64(1_000_000_000_000)

// virtualRouter is a router: its core, and the time of its next timer.
type virtualRouter struct {
	id          int
	engine      *engine.Engine
	incarnation uint64
	nextTimer   int64
	heapIndex   int
	wakePending bool
	requests    map[string]*virtualRequest
	gateway     *peerpolicy.Controller     // nil: its site is alone
	forwarded   map[string]*virtualRequest // txns that it has handed over
	heartbeats  map[*virtualRouter]int64   // when peers were heard

	replica *gossip.Replica // nil: routers don't know each other

	stopped   bool
	deferred  []func() // what waits for it to go on
	stoppedAt int64
	resumedAt int64 // 0: it never stood still
}

// whenRunning does something at a router, or keeps it until the router has woken.
func (r *virtualRouter) whenRunning(task func()) {
	if r.stopped {
		r.deferred = append(r.deferred, task)
		return
	}
	task()
}

// startRouter makes a router's core from nothing.
func (v *virtualRun) startRouter(r *virtualRouter, known []simulation.Server) {
	setup := v.scenario.Settings(v.world.Office(r.id), r.id)
	if v.options.Settings != nil {
		v.options.Settings(&setup)
	}
	settings := setup.PolicySettings()
	r.incarnation++
	r.requests = map[string]*virtualRequest{}
	// A core of before may still call its kick; it must not wake the new one.
	var current *engine.Engine
	r.wakePending = false
	current = engine.New(&settings, v.options.Seed*1000+uint64(r.id)+r.incarnation<<32, func() {
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
		r.replica = gossip.New(gossip.Settings{PurgeRetention: int64(v.scenario.Fleet.PurgeCompleteMS*1000) + maxRequestMicros})
		r.engine.HoldSlowStart(v.now(), v.now()+settings.Contract.OverloadWindow)
	}
	r.engine.UpdateEndpoints(v.now(), policy.ScopeInitial, v.mergeEndpoints(r, true, routerEndpoints(known)))
	v.runTimers(r)
}

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

// runTimers does what has fallen due at a router, and sets its next time.
func (v *virtualRun) runTimers(r *virtualRouter) {
	if r.stopped {
		r.nextTimer = 1 << 62
		heap.Fix(&v.timers, r.heapIndex)
		return
	}
	next, commands := r.engine.Run(v.now())
	for _, command := range commands {
		if command.Kind == engine.CommandDrop {
			v.world.Cancel(r.id, command.Attempt.Request.ID, command.Attempt.Number)
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
	r.engine, r.requests = nil, map[string]*virtualRequest{}
	r.stopped, r.deferred, r.resumedAt = false, nil, 0
	if v.fleet != nil {
		v.fleet.Kill(router)
	}
	v.leaveSites(r)
	if r.heapIndex >= 0 {
		heap.Remove(&v.timers, r.heapIndex)
	}
}

// Up starts it from nothing.
func (v *virtualRun) Up(router int, known []simulation.Server) {
	v.startRouter(v.routers[router], known)
	if v.fleet != nil {
		v.fleet.Start(router)
	}
}

// Stop lets a router stand still: what comes waits for it.
func (v *virtualRun) Stop(router int) {
	r := v.routers[router]
	r.stopped, r.stoppedAt = true, v.now()
	if v.fleet != nil {
		v.fleet.Pause(router)
	}
}

// Wake lets it go on as it was.
func (v *virtualRun) Wake(router int) {
	r := v.routers[router]
	r.stopped, r.resumedAt = false, v.now()
	held := r.deferred
	r.deferred = nil
	for _, task := range held {
		task()
	}
	if r.engine != nil {
		v.runTimers(r)
	}
	if v.fleet != nil {
		v.fleet.Resume(router)
	}
}

// Starve takes CPU from what the router knows of the others; txns cost none here.
func (v *virtualRun) Starve(router int, share float64) {
	if v.fleet != nil {
		v.fleet.Throttle(router, share)
	}
}
