package invariant

import (
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"quilldoor/internal/policy"
)

// router models a process that follows the same discovery as the monitor over its own
// connection, and reports its activity. Unless it ignores drains or purges, it keeps the
// rules as far as it has received changes.
type router struct {
	ignoresDrains, ignoresPurges bool
	states                       map[string]policy.EndpointState
	purges                       []purge
}

// event is a change that discovery has sent and a follower has not received yet.
type event struct {
	at    int64 // when the follower receives it
	apply func(now int64)
}

// follower receives the events of discovery in order.
type follower struct{ events []event }

// add schedules an event that discovery sends now, or at reachableFrom if it can't be
// reached before, and that arrives after the delay and after all earlier events.
func (f *follower) add(now, reachableFrom, delay int64, apply func(now int64)) {
	at := max(now, reachableFrom) + delay
	for _, earlier := range f.events {
		at = max(at, earlier.at)
	}
	f.events = append(f.events, event{at, apply})
}

func (f *follower) receive(now int64) {
	for len(f.events) > 0 && f.events[0].at <= now {
		f.events[0].apply(now)
		f.events = f.events[1:]
	}
}

// activity returns the attempts and responses of the router at a time, as the changes that
// it has received permit them.
func (r *router) activity(now int64, ids []string) *Activity {
	activity := &Activity{}
	for _, id := range ids {
		if r.states[id] == policy.EndpointActive || r.ignoresDrains {
			activity.Endpoints = append(activity.Endpoints, EndpointUse{Endpoint: id, LastSentMicros: now})
		}
	}
	for group := range int64(3) {
		response := Response{Group: group, SentMicros: now, IssuedMicros: now - 10*second}
		for _, p := range r.purges {
			if p.group == group && !r.ignoresPurges {
				response.IssuedMicros = max(response.IssuedMicros, p.issuedAt)
			}
		}
		activity.Responses = append(activity.Responses, response)
	}
	return activity
}

// simulateRandomEvents draws changes of discovery, which the router receives earlier or
// later than the monitor, and outages that disconnect both from discovery. It returns the
// violations that the monitor has proven.
func simulateRandomEvents(draw func(label string, low, high int64) int64, r *router) Violations {
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
		case 0, 1: // an endpoint begins or ends its drain
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
		case 2, 3: // a purge of a group
			group, issuedAt := draw("group", 0, 2), now
			toMonitor.add(now, reachableFrom, draw("delay to the monitor", 0, 900*millisecond), func(now int64) {
				m.Purged(now, "", group, issuedAt)
			})
			toRouter.add(now, reachableFrom, draw("delay to the router", 0, 900*millisecond), func(now int64) {
				r.purges = append(r.purges, purge{group: group, issuedAt: issuedAt, receivedAt: now})
			})
		case 4: // discovery can't be reached
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

// Guards against a false positive: whatever the order and delays of changes and outages, a
// router that keeps the rules as far as it has received changes is never reported.
func TestRouterThatKeepsRulesIsNeverReported(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string, low, high int64) int64 { return rapid.Int64Range(low, high).Draw(t, label) }
		if violations := simulateRandomEvents(draw, &router{}); violations.Rules != 0 {
			t.Fatalf("a router that keeps the rules is reported: %+v", violations)
		}
	})
}

// Guards against a router that ignores drains or purges and goes unreported in most runs,
// or is reported for another rule.
func TestRouterThatIgnoresEventsIsReported(t *testing.T) {
	const runs = 300
	for _, c := range []struct {
		want   Rule // 0: none
		router router
		// minReported is below the number of runs: where endpoints return or discovery is
		// unreachable, violations may not go on for long enough to be proven.
		minReported int
	}{
		{0, router{}, 0},
		{RuleDrained, router{ignoresDrains: true}, runs / 3},
		{RuleStale, router{ignoresPurges: true}, runs * 9 / 10},
	} {
		reported := 0
		for seed := range uint64(runs) {
			random := rand.New(rand.NewPCG(seed, 5))
			r := c.router
			violations := simulateRandomEvents(func(_ string, low, high int64) int64 { return low + random.Int64N(high-low+1) }, &r)
			if violations.Rules&^(1<<c.want) != 0 {
				t.Errorf("seed %d, %v: other rules reported: %+v", seed, c.want, violations)
			}
			if violations.Rules != 0 {
				reported++
			}
		}
		if t.Logf("%v: reported in %d of %d runs", c.want, reported, runs); reported < c.minReported {
			t.Errorf("%v: reported in %d of %d runs, want at least %d", c.want, reported, runs, c.minReported)
		}
	}
}
