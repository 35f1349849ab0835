package emulator

import (
	"container/heap"

	"quilldoor/internal/engine"
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/gossip"
	"quilldoor/internal/policy"
	"quilldoor/internal/simulation"
)

// epoch is the routers' time at the world's zero: births before are told as 0.
const epoch = int64(1_000_000_000_000)

// vrouter is a router: its core, and the time of its next timer.
type vrouter struct {
	id     int
	core   *engine.Engine
	starts uint64
	next   int64
	place  int
	kick   bool
	open   map[string]*vtxn
	gate   *peerpolicy.Controller // nil: its site is alone
	from   map[string]*vtxn       // txns that it has handed over
	beats  map[*vrouter]int64     // when peers were heard

	book *gossip.Replica // nil: routers don't know each other

	stopped   bool
	held      []func() // what waits for it to go on
	stoppedAt int64
	wokeAt    int64 // 0: it never stood still
}

// act does something at a router, or keeps it until the router has woken.
func (r *vrouter) act(do func()) {
	if r.stopped {
		r.held = append(r.held, do)
		return
	}
	do()
}

// start makes a router's core from nothing.
func (v *virtual) start(r *vrouter, known []simulation.Server) {
	setup := v.set.Settings(v.world.Office(r.id), r.id)
	if v.opt.Settings != nil {
		v.opt.Settings(&setup)
	}
	set := setup.PolicySettings()
	r.starts++
	r.open = map[string]*vtxn{}
	// A core of before may still call its kick; it must not wake the new one.
	var self *engine.Engine
	r.kick = false
	self = engine.New(&set, v.opt.Seed*1000+uint64(r.id)+r.starts<<32, func() {
		if r.core == self && !r.kick {
			r.kick = true
			v.kicked = append(v.kicked, r)
		}
	})
	r.core = self
	v.join(r)
	if v.opt.looks != nil {
		v.opt.looks.listed(r.id, v.now(), true, servers(known))
	}
	if v.set.Fleet.Membership {
		r.book = gossip.New(gossip.Settings{PurgeRetention: int64(v.set.Fleet.PurgeCompleteMS*1000) + longest})
		r.core.HoldSlowStart(v.now(), v.now()+set.Contract.OverloadWindow)
	}
	r.core.UpdateEndpoints(v.now(), policy.ScopeDisk, v.known(r, true, servers(known)))
	v.run(r)
}

func servers(list []simulation.Server) (out []engine.Endpoint) {
	for _, s := range list {
		e := s.Endpoint
		if e.StartedAt > 0 {
			e.StartedAt += epoch
		}
		out = append(out, engine.Endpoint{Endpoint: e, Address: e.ID})
	}
	return out
}

// run does what has fallen due at a router, and sets its next time.
func (v *virtual) run(r *vrouter) {
	if r.stopped {
		r.next = 1 << 62
		heap.Fix(&v.due, r.place)
		return
	}
	next, errands := r.core.Run(v.now())
	for _, o := range errands {
		if o.Kind == engine.CommandDrop {
			v.world.Cancel(r.id, o.Attempt.Request.ID, o.Attempt.Number)
		}
	}
	r.next = next - epoch
	if r.place < 0 {
		heap.Push(&v.due, r)
	} else {
		heap.Fix(&v.due, r.place)
	}
}

// Down kills a router.
func (v *virtual) Down(router int) {
	r := v.routers[router]
	for _, t := range r.open {
		t.over = true
	}
	r.core, r.open = nil, map[string]*vtxn{}
	r.stopped, r.held, r.wokeAt = false, nil, 0
	if v.roster != nil {
		v.roster.Kill(router)
	}
	v.part(r)
	if r.place >= 0 {
		heap.Remove(&v.due, r.place)
	}
}

// Up starts it from nothing.
func (v *virtual) Up(router int, known []simulation.Server) {
	v.start(v.routers[router], known)
	if v.roster != nil {
		v.roster.Start(router)
	}
}

// Stop lets a router stand still: what comes waits for it.
func (v *virtual) Stop(router int) {
	r := v.routers[router]
	r.stopped, r.stoppedAt = true, v.now()
	if v.roster != nil {
		v.roster.Pause(router)
	}
}

// Wake lets it go on as it was.
func (v *virtual) Wake(router int) {
	r := v.routers[router]
	r.stopped, r.wokeAt = false, v.now()
	held := r.held
	r.held = nil
	for _, do := range held {
		do()
	}
	if r.core != nil {
		v.run(r)
	}
	if v.roster != nil {
		v.roster.Resume(router)
	}
}

// Starve takes CPU from what the router knows of the others; txns cost none here.
func (v *virtual) Starve(router int, share float64) {
	if v.roster != nil {
		v.roster.Throttle(router, share)
	}
}
