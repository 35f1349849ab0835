package policy

import (
	"fmt"
	"slices"
	"testing"
)

// slowStartZone models three routers of a zone with one cache in slow start, and all work that they send to the cache.
type slowStartZone struct {
	now          int64
	routers      []*Router     // nil: killed
	stopped      []bool        // by router: it receives no events until it continues
	starts       uint64        // number of router starts, the seed of the last
	requests     int           // number of requests so far
	reservations []reservation // work sent to the cache within the last window
	fault        slowStartFault
}

// slowStartFault is a fault that is injected to check that the search detects it.
type slowStartFault uint8

const (
	noFault          slowStartFault = iota
	reserveAtRestart                // a restarted router uses its share of the budget at once
	countRunning                    // the budget is divided among the running routers only
)

const (
	workPerRequest = 200 * millisecond // the latency objective of its class, since sizes are unknown
	cacheWeight    = 30
	// startBudget is the work that the cache tolerates within a window at its start.
	startBudget = 0.2 * 2 * cacheWeight * float64(second)
)

func slowStartZoneSettings() Settings {
	return Settings{
		Routers: 3, Zone: "z", Zones: []string{"z"}, EndpointKinds: []string{"box", "hub", "ledger"},
		Classes: []TrafficClass{{
			Name: "read", Effect: EffectIdempotent, LatencyObjective: workPerRequest, Timeout: 5 * second, PriorityWeight: 1,
			FreshFor: second,
		}},
		Contract: Contract{
			SlowStartFor: 60 * second, SlowStartFrom: 0.2, OverloadWindow: second, OverloadMultiple: 2,
		},
		Limits:    Limits{MaxAttempts: 1, Cancel: true},
		Hierarchy: Hierarchy{ParentKind: 1, OriginKind: 2, RoutersByZone: []int{3}},
	}
}

// newSlowStartZone returns a zone one second after its cache and three routers started.
func newSlowStartZone(fault slowStartFault) *slowStartZone {
	z := &slowStartZone{
		now: 10 * second, routers: make([]*Router, 3), stopped: make([]bool, 3), fault: fault,
	}
	for i := range z.routers {
		z.start(i)
	}
	z.now += second
	return z
}

// start starts a router with an initial endpoint list: the cache in slow start and an origin.
func (z *slowStartZone) start(i int) {
	z.starts++
	r := New(slowStartZoneSettings(), z.starts)
	z.routers[i], z.stopped[i] = r, false
	r.Handle(z.now, Event{Kind: EventEndpoints, Scope: ScopeInitial, Endpoints: []Endpoint{
		{ID: "cold", Zone: "z", Kind: "box", State: EndpointActive, Weight: cacheWeight, StartedAt: 10 * second},
		{ID: "o", Zone: "z", Kind: "ledger", State: EndpointActive, Weight: 1},
	}}, nil)
	if z.fault == reserveAtRestart {
		r.slowStartHoldUntil = 0
	}
}

// killOrStart kills a router that is running or stopped, and starts one that was killed.
func (z *slowStartZone) killOrStart(i int) {
	if z.routers[i] != nil {
		z.routers[i] = nil
	} else {
		z.start(i)
	}
}

// running returns the number of routers that are started and not stopped.
func (z *slowStartZone) running() (count int) {
	for i, r := range z.routers {
		if r != nil && !z.stopped[i] {
			count++
		}
	}
	return count
}

// sendUntilRefused passes up to 60 requests to a running router, until one is not sent to the cache.
func (z *slowStartZone) sendUntilRefused(i int) {
	r := z.routers[i]
	if r == nil || z.stopped[i] {
		return
	}
	if z.fault == countRunning {
		r.config.slowStart[roleCache].routers = float64(z.running())
	}
	for range 60 {
		if !z.request(r) {
			return
		}
	}
}

// request passes one request to a router and reports whether it was sent to the cache. The attempt succeeds at once, so
// that only the budget prevents the next one.
func (z *slowStartZone) request(r *Router) (sent bool) {
	z.requests++
	id := fmt.Sprint(z.requests)
	for _, a := range r.Handle(z.now, Event{
		Kind: EventRequest, Request: id, Class: "read", Object: id, Remaining: 5 * second,
	}, nil) {
		if a.Kind == ActionSend && a.Endpoint == "cold" {
			z.reservations = append(z.reservations, reservation{at: z.now, work: workPerRequest})
			sent = true
		}
	}
	r.Handle(z.now, Event{
		Kind: EventAttemptEnded, Request: id, Endpoint: "cold", Outcome: OutcomeDone, Final: true, RTT: workPerRequest,
	}, nil)
	return sent
}

// overBudget reports whether the cache was sent more than startBudget within the last window.
func (z *slowStartZone) overBudget() bool {
	z.reservations = slices.DeleteFunc(z.reservations, func(reserved reservation) bool { return reserved.at <= z.now-second })
	sum := int64(0)
	for _, reserved := range z.reservations {
		sum += reserved.work
	}
	return float64(sum) > startBudget
}

// key identifies the state, so that no state is searched twice.
func (z *slowStartZone) key() string {
	key := fmt.Sprint(z.now, z.stopped, z.reservations)
	for _, r := range z.routers {
		key += fmt.Sprint(r == nil)
		if r != nil {
			key += fmt.Sprint(r.slowStartHoldUntil, r.endpoints["cold"].reservations)
		}
	}
	return key
}

// searchEvent is one step of a sequence.
type searchEvent struct {
	name string
	do   func(z *slowStartZone)
}

func searchEvents() []searchEvent {
	events := []searchEvent{
		{"advance 300 ms", func(z *slowStartZone) { z.now += 300 * millisecond }},
		{"advance 1 s", func(z *slowStartZone) { z.now += second }},
		{"send with all", func(z *slowStartZone) {
			z.sendUntilRefused(0)
			z.sendUntilRefused(1)
			z.sendUntilRefused(2)
		}},
	}
	for i := range 3 {
		events = append(events,
			searchEvent{fmt.Sprint("send with ", i), func(z *slowStartZone) { z.sendUntilRefused(i) }},
			searchEvent{fmt.Sprint("stop or continue ", i), func(z *slowStartZone) { z.stopped[i] = !z.stopped[i] }},
			searchEvent{fmt.Sprint("kill or start ", i), func(z *slowStartZone) { z.killOrStart(i) }})
	}
	return events
}

// searchSlowStart tries every sequence of up to depth searchEvents. It returns the number of states, and the names of
// the events of the first sequence that exceeds the budget, nil if none does.
func searchSlowStart(depth int, fault slowStartFault) (states int, violation []string) {
	events := searchEvents()
	seen := map[string]bool{}
	var walk func(path []int) bool
	walk = func(path []int) bool {
		z := newSlowStartZone(fault)
		for _, e := range path {
			events[e].do(z)
			if !z.overBudget() {
				continue
			}
			for _, e := range path {
				violation = append(violation, events[e].name)
			}
			return true
		}
		key := z.key()
		if seen[key] {
			return false
		}
		seen[key] = true
		states++
		if len(path) == depth {
			return false
		}
		for e := range events {
			if walk(append(slices.Clone(path), e)) {
				return true
			}
		}
		return false
	}
	walk(nil)
	return states, violation
}

// Checks that in any sequence of requests, stops, continuations, kills and starts all routers together, including their
// earlier processes, never send a cache in slow start more than its budget within a window.
func TestSlowStartBudgetAddsUpOverRouters(t *testing.T) {
	states, violation := searchSlowStart(5, noFault)
	if violation != nil {
		t.Fatalf("budget exceeded by %v", violation)
	}
	t.Logf("%d states", states)
	for name, fault := range map[string]slowStartFault{
		"budget divided among running routers": countRunning,
		"no hold after a restart":              reserveAtRestart,
	} {
		if _, violation := searchSlowStart(5, fault); violation == nil {
			t.Errorf("%s: fault not detected", name)
		} else {
			t.Logf("%s: %v", name, violation)
		}
	}
}
