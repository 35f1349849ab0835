package policy

import (
	"fmt"
	"slices"
	"testing"
)

// coldSite is three routers of one location before one cold cache: real modules,
// events of the platform, and all the work that was sent there.
type coldSite struct {
	now          int64
	routers      []*Router
	asleep       []bool
	lives        uint64
	txns         int
	reservations []reservation
	careful      bool // else wrong: a new life spends at once
	counts       bool // wrong: the budget is divided by the living
}

const budgetWork = 200 * millisecond // of a txn, by the rule's SLA time: sizes are not told

func (c *coldSite) settings() Settings {
	return Settings{
		Routers: 3, Zone: "z", Zones: []string{"z"}, EndpointKinds: []string{"box", "hub", "ledger"},
		Classes:  []TrafficClass{{Name: "read", Effect: EffectIdempotent, LatencyObjective: budgetWork, Timeout: 5 * second, PriorityWeight: 1, FreshFor: second}},
		Contract: Contract{SlowStartFor: 60 * second, SlowStartFrom: 0.2, OverloadWindow: second, OverloadMultiple: 2},
		Limits:   Limits{MaxAttempts: 1, Cancel: true}, Hierarchy: Hierarchy{ParentKind: 1, OriginKind: 2, RoutersByZone: []int{3}},
	}
}

// budget is what the cache takes within a window at its start.
const budgetMost = 0.2 * 2 * 30 * float64(second)

func (c *coldSite) start(i int) {
	c.lives++
	r := New(c.settings(), c.lives)
	c.routers[i], c.asleep[i] = r, false
	r.Handle(c.now, Event{Kind: EventEndpoints, Scope: ScopeDisk, Endpoints: []Endpoint{
		{ID: "cold", Zone: "z", Kind: "box", State: EndpointActive, Weight: 30, StartedAt: 10 * second},
		{ID: "o", Zone: "z", Kind: "ledger", State: EndpointActive, Weight: 1},
	}}, nil)
	if !c.careful {
		r.slowStartHoldUntil = 0
	}
}

func newColdSite(careful, counts bool) *coldSite {
	c := &coldSite{now: 10 * second, routers: make([]*Router, 3), asleep: make([]bool, 3), careful: careful, counts: counts}
	for i := range c.routers {
		c.start(i)
	}
	c.now += second
	return c
}

// use lets a router take txns until the cache is given nothing more.
func (c *coldSite) use(i int) {
	r := c.routers[i]
	if r == nil || c.asleep[i] {
		return
	}
	if c.counts {
		living := 0
		for k, x := range c.routers {
			if x != nil && !c.asleep[k] {
				living++
			}
		}
		r.config.slowStart[roleCache].routers = float64(living)
	}
	for range 60 {
		c.txns++
		sent := false
		for _, a := range r.Handle(c.now, Event{Kind: EventRequest, Request: fmt.Sprint(c.txns), Class: "read", Object: fmt.Sprint(c.txns), Remaining: 5 * second}, nil) {
			if a.Kind == ActionSend && a.Endpoint == "cold" {
				c.reservations = append(c.reservations, reservation{at: c.now, work: budgetWork})
				sent = true
			}
		}
		// It ends at once and well, so that only the budget holds the next one back.
		r.Handle(c.now, Event{Kind: EventAttemptEnded, Request: fmt.Sprint(c.txns), Endpoint: "cold", Outcome: OutcomeDone, Final: true, RTT: budgetWork}, nil)
		if !sent {
			return
		}
	}
}

func (c *coldSite) over() bool {
	c.reservations = slices.DeleteFunc(c.reservations, func(s reservation) bool { return s.at <= c.now-second })
	sum := int64(0)
	for _, s := range c.reservations {
		sum += s.work
	}
	return float64(sum) > budgetMost
}

// searchBudget plays every order of use, time, stops, wakings, deaths and starts to
// a depth; what it finds above the budget is a path of names.
func searchBudget(depth int, careful, counts bool) (states int, broken []string) {
	type event struct {
		name string
		do   func(c *coldSite)
	}
	events := []event{
		{"soon", func(c *coldSite) { c.now += 300 * millisecond }},
		{"later", func(c *coldSite) { c.now += second }},
		{"use all", func(c *coldSite) { c.use(0); c.use(1); c.use(2) }},
	}
	for i := range 3 {
		events = append(events, event{fmt.Sprint("use ", i), func(c *coldSite) { c.use(i) }},
			event{fmt.Sprint("stop or wake ", i), func(c *coldSite) { c.asleep[i] = !c.asleep[i] }},
			event{fmt.Sprint("kill or start ", i), func(c *coldSite) {
				if c.routers[i] != nil {
					c.routers[i] = nil
				} else {
					c.start(i)
				}
			}})
	}
	seen := map[string]bool{}
	var walk func(path []int) bool
	walk = func(path []int) bool {
		c := newColdSite(careful, counts)
		for _, e := range path {
			events[e].do(c)
			if c.over() {
				for _, e := range path {
					broken = append(broken, events[e].name)
				}
				return true
			}
		}
		key := fmt.Sprint(c.now, c.asleep, c.reservations)
		for _, r := range c.routers {
			key += fmt.Sprint(r == nil)
			if r != nil {
				key += fmt.Sprint(r.slowStartHoldUntil, r.endpoints["cold"].reservations)
			}
		}
		if seen[key] {
			return false
		}
		seen[key] = true
		if states++; len(path) == depth {
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
	return states, broken
}

// Whatever order use, stops, wakings, deaths and starts come in: all routers, with
// their earlier lives, never send a cold cache more than its budget in a window.
func TestColdBudgetAddsUp(t *testing.T) {
	states, broken := searchBudget(5, true, false)
	if broken != nil {
		t.Fatalf("above the budget by %v", broken)
	}
	t.Logf("%d states", states)
	for name, wrong := range map[string][2]bool{"the living counted": {true, true}, "a new life that holds nothing back": {false, false}} {
		if _, broken := searchBudget(5, wrong[0], wrong[1]); broken == nil {
			t.Errorf("%s: not caught", name)
		} else {
			t.Logf("%s: %v", name, broken)
		}
	}
}
