package invariant

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"quilldoor/internal/policy"
)

// router follows the same discovery over its own connection, keeps the rules by what it
// has received, and reports its activity.
type router struct {
	ignoresDrains, ignoresPurges bool
	states                       map[string]policy.EndpointState
	purges                       []purge
}

// event is a change on its way from discovery to a follower.
type event struct {
	at    int64
	apply func(now int64)
}

// follower receives the events of discovery in order.
type follower struct{ events []event }

// add schedules an event that discovery sends now, or once it can be reached again.
func (f *follower) add(now, reachableFrom, delay int64, apply func(now int64)) {
	at := max(now, reachableFrom) + delay
	for _, e := range f.events {
		at = max(at, e.at)
	}
	f.events = append(f.events, event{at, apply})
}

func (f *follower) receive(now int64) {
	for len(f.events) > 0 && f.events[0].at <= now {
		f.events[0].apply(now)
		f.events = f.events[1:]
	}
}

// activity is what the router does at a time by what it has received.
func (r *router) activity(now int64, ids []string) *Activity {
	a := &Activity{}
	for _, id := range ids {
		if r.states[id] == policy.EndpointActive || r.ignoresDrains {
			a.Endpoints = append(a.Endpoints, EndpointUse{Endpoint: id, LastSentMicros: now})
		}
	}
	for group := range int64(3) {
		response := Response{Group: group, SentMicros: now, IssuedMicros: now - 10*second}
		for _, p := range r.purges {
			if p.group == group && !r.ignoresPurges {
				response.IssuedMicros = max(response.IssuedMicros, p.issuedAt)
			}
		}
		a.Responses = append(a.Responses, response)
	}
	return a
}

// playRandomEvents draws changes of discovery, which the router receives sooner or later
// than the monitor, with both cut off at times, and returns the monitor's finding.
func playRandomEvents(draw func(what string, low, high int64) int64, r *router) Violations {
	m := New(testSettings)
	ids := []string{"a", "b", "c"}
	var list []policy.Endpoint
	r.states = map[string]policy.EndpointState{}
	for _, id := range ids {
		list = append(list, listed(id, policy.EndpointActive, 0))
		r.states[id] = policy.EndpointActive
	}
	m.EndpointsChanged(epoch, true, list)
	var toMonitor, toRouter follower
	reachableFrom := int64(0)
	draining := map[string]bool{}
	disconnected := false
	for now := epoch; now < epoch+40*second; now += second / 10 {
		switch draw("event", 0, 30) {
		case 0, 1:
			id := ids[draw("endpoint", 0, 2)]
			draining[id] = !draining[id]
			state := policy.EndpointActive
			if draining[id] {
				state = policy.EndpointDraining
			}
			toMonitor.add(now, reachableFrom, draw("delay to the monitor", 0, 900*millisecond), func(now int64) {
				m.EndpointsChanged(now, false, []policy.Endpoint{listed(id, state, 0)})
			})
			toRouter.add(now, reachableFrom, draw("delay to the router", 0, 900*millisecond), func(int64) { r.states[id] = state })
		case 2, 3:
			group, issuedAt := draw("group", 0, 2), now
			toMonitor.add(now, reachableFrom, draw("delay to the monitor", 0, 900*millisecond), func(now int64) {
				m.Purged(now, "", group, issuedAt)
			})
			toRouter.add(now, reachableFrom, draw("delay to the router", 0, 900*millisecond), func(now int64) {
				r.purges = append(r.purges, purge{group: group, issuedAt: issuedAt, receivedAt: now})
			})
		case 4:
			if now >= reachableFrom {
				reachableFrom = now + draw("outage", second, 6*second)
			}
		}
		toMonitor.receive(now)
		toRouter.receive(now)
		if unreachable := now < reachableFrom; unreachable != disconnected {
			disconnected = unreachable
			m.SetDisconnected(now, disconnected)
		}
		m.Observe(now, 1, r.activity(now, ids))
		m.Tick(now)
	}
	m.Tick(epoch + 42*second)
	return m.Violations(1)
}

// A router that keeps the rules by what it has received is never accused, whatever
// happens when.
func TestRouterThatKeepsRulesIsNeverAccused(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(what string, low, high int64) int64 { return rapid.Int64Range(low, high).Draw(t, what) }
		if v := playRandomEvents(draw, &router{}); v.Rules != 0 {
			t.Fatalf("accused: %+v", v)
		}
	})
}

// A router that ignores drains or purges is mostly found, and accused of nothing else.
func TestRouterThatIgnoresEventsIsFound(t *testing.T) {
	const runs = 300
	for _, c := range []struct {
		want   Rule // 0: none
		router router
		least  int // endpoints return and discovery is cut off: then violations do not go on for long enough
	}{
		{0, router{}, 0},
		{RuleDrained, router{ignoresDrains: true}, runs / 3},
		{RuleStale, router{ignoresPurges: true}, runs * 9 / 10},
	} {
		found := 0
		for seed := range uint64(runs) {
			random := rand.New(rand.NewPCG(seed, 5))
			r := c.router
			v := playRandomEvents(func(_ string, low, high int64) int64 { return low + random.Int64N(high-low+1) }, &r)
			if v.Rules&^(1<<c.want) != 0 {
				t.Errorf("seed %d, %v: %+v", seed, c.want, v)
			}
			if v.Rules != 0 {
				found++
			}
		}
		if t.Logf("%v: found in %d of %d", c.want, found, runs); found < c.least {
			t.Errorf("%v: found in %d of %d", c.want, found, runs)
		}
	}
}
