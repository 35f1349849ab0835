package membership_test

import (
	"fmt"
	"slices"
	"testing"

	"quilldoor/internal/membership"
)

// In every order of events for three members up to a depth (time passes, messages are delivered or lost, processes die,
// start, pause and resume) no view goes back to an earlier instance, and after the last event all agree.
func TestEveryOrderOfEvents(t *testing.T) {
	depth := 4
	if testing.Short() {
		depth = 3
	}
	type event struct {
		name string
		do   func(x *testNetwork)
	}
	events := []event{
		{"time", func(x *testNetwork) { x.advance(7) }},
		{"long", func(x *testNetwork) { x.advance(30) }},
		{"all", func(x *testNetwork) { x.deliver(-1, -1) }},
		{"lost", func(x *testNetwork) { x.inFlight = nil }},
	}
	for i := range 3 {
		events = append(events,
			event{fmt.Sprint("from", i), func(x *testNetwork) { x.deliver(i, -1) }},
			event{fmt.Sprint("to", i), func(x *testNetwork) { x.deliver(-1, i) }},
			event{fmt.Sprint("process", i), func(x *testNetwork) {
				if x.paused[i] = false; x.nodes[i] != nil {
					x.nodes[i] = nil
				} else {
					x.start(i)
				}
			}},
			event{fmt.Sprint("pause", i), func(x *testNetwork) { x.paused[i] = !x.paused[i] }})
	}
	seen := map[string]bool{}
	states := 0
	var walk func(path []int)
	walk = func(path []int) {
		x := newTestNetwork("a", "b", "c")
		x.runFor(2 * second)
		type pair struct{ by, of int }
		shown := map[pair]membership.InstanceID{}
		node := [3]*membership.Node{}
		for _, e := range path {
			events[e].do(x)
			for i, n := range x.nodes {
				if node[i] != n {
					node[i] = n
					for j := range 3 {
						delete(shown, pair{i, j})
					}
				}
				if n == nil {
					continue
				}
				for _, s := range n.View().Members {
					key := pair{i, slices.Index(x.names, s.Name)}
					if s.State != membership.StateUnknown && s.ID.Compare(shown[key]) < 0 {
						t.Fatalf("%v: %s goes back to an earlier instance of %s", path, x.names[i], s.Name)
					}
					shown[key] = s.ID
				}
			}
		}
		key := x.fingerprint()
		if seen[key] {
			return
		}
		seen[key] = true
		states++
		x.paused = make([]bool, 3)
		x.runFor(8 * second)
		if why := x.disagreement(); why != "" {
			var names []string
			for _, e := range path {
				names = append(names, events[e].name)
			}
			t.Fatalf("%v: %s", names, why)
		}
		if len(path) < depth {
			for e := range events {
				walk(append(slices.Clone(path), e))
			}
		}
	}
	walk(nil)
	t.Logf("%d states, each of which converged within eight seconds", states)
}
