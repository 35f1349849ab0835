package membership_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"quilldoor/internal/membership"
)

// networkEvent is an event in a testNetwork: time that passes, messages that are delivered or lost, or a change of a
// process.
type networkEvent struct {
	name  string
	apply func(network *testNetwork)
}

// networkEvents returns the events of a network with that many nodes.
func networkEvents(nodes int) []networkEvent {
	events := []networkEvent{
		{"wait", func(network *testNetwork) { network.advance(7) }},
		{"wait long", func(network *testNetwork) { network.advance(30) }},
		{"deliver all", func(network *testNetwork) { network.deliver(-1, -1) }},
		{"lose all", func(network *testNetwork) { network.inFlight = nil }},
	}
	for i := range nodes {
		events = append(events,
			networkEvent{fmt.Sprint("deliver from ", i), func(network *testNetwork) { network.deliver(i, -1) }},
			networkEvent{fmt.Sprint("deliver to ", i), func(network *testNetwork) { network.deliver(-1, i) }},
			networkEvent{fmt.Sprint("kill or start ", i), func(network *testNetwork) { network.killOrStart(i) }},
			networkEvent{fmt.Sprint("pause or resume ", i), func(network *testNetwork) {
				network.paused[i] = !network.paused[i]
			}})
	}
	return events
}

// instanceMonitor records, for each node, the latest instance of each member in the node's view.
type instanceMonitor struct {
	nodes  []*membership.Node
	latest map[viewEntry]membership.InstanceID
}

// viewEntry identifies a member in the view of a node.
type viewEntry struct {
	viewer int
	member string
}

func newInstanceMonitor(nodes int) *instanceMonitor {
	return &instanceMonitor{
		nodes:  make([]*membership.Node, nodes),
		latest: map[viewEntry]membership.InstanceID{},
	}
}

// check describes a node whose view goes back to an earlier instance of a member; "": none does. It clears the record
// of a node whose process was replaced.
func (monitor *instanceMonitor) check(network *testNetwork) string {
	for i, n := range network.nodes {
		if monitor.nodes[i] != n {
			monitor.nodes[i] = n
			maps.DeleteFunc(monitor.latest, func(key viewEntry, _ membership.InstanceID) bool { return key.viewer == i })
		}
		if n == nil {
			continue
		}
		for _, m := range n.View().Members {
			key := viewEntry{i, m.Name}
			if m.State != membership.StateUnknown && m.ID.Compare(monitor.latest[key]) < 0 {
				return fmt.Sprintf("%s goes back from instance %v of %s to %v", network.names[i], monitor.latest[key], m.Name, m.ID)
			}
			monitor.latest[key] = m.ID
		}
	}
	return ""
}

// eventSearch runs sequences of events, each on a new network, and does not extend a sequence that ends in a state that
// another one has reached before.
type eventSearch struct {
	t       *testing.T
	events  []networkEvent
	depth   int
	visited map[string]bool // by fingerprint
}

// explore runs a sequence of events, and all longer ones that begin with it.
func (s *eventSearch) explore(sequence []int) {
	const nodes = 3
	network := newTestNetwork("a", "b", "c")
	network.runFor(2 * second)
	monitor := newInstanceMonitor(nodes)
	for _, e := range sequence {
		s.events[e].apply(network)
		if reason := monitor.check(network); reason != "" {
			s.t.Fatalf("%v: %s", s.names(sequence), reason)
		}
	}
	key := network.fingerprint()
	if s.visited[key] {
		return
	}
	s.visited[key] = true
	network.paused = make([]bool, nodes)
	network.runFor(8 * second)
	if reason := network.disagreement(); reason != "" {
		s.t.Fatalf("%v: %s", s.names(sequence), reason)
	}
	if len(sequence) == s.depth {
		return
	}
	for e := range s.events {
		s.explore(append(slices.Clone(sequence), e))
	}
}

func (s *eventSearch) names(sequence []int) (names []string) {
	for _, e := range sequence {
		names = append(names, s.events[e].name)
	}
	return names
}

// Runs every sequence of events in a network of three nodes up to a depth: time passes, messages are delivered or lost,
// processes are killed, started, paused and resumed. No view may go back to an earlier instance of a member, and after
// the last event all views converge.
func TestEveryOrderOfEvents(t *testing.T) {
	depth := 4
	if testing.Short() {
		depth = 3
	}
	search := &eventSearch{t: t, events: networkEvents(3), depth: depth, visited: map[string]bool{}}
	search.explore(nil)
	t.Logf("%d states, each of which converged within eight seconds", len(search.visited))
}
