package membership_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"quilldoor/internal/membership"
)

// networkEvent is something that happens in a testNetwork.
type networkEvent struct {
	name string
	do   func(x *testNetwork)
}

// networkEvents are those of a network with so many nodes.
func networkEvents(nodes int) []networkEvent {
	events := []networkEvent{
		{"time", func(x *testNetwork) { x.advance(7) }},
		{"long", func(x *testNetwork) { x.advance(30) }},
		{"all", func(x *testNetwork) { x.deliver(-1, -1) }},
		{"lost", func(x *testNetwork) { x.inFlight = nil }},
	}
	for i := range nodes {
		events = append(events,
			networkEvent{fmt.Sprint("from", i), func(x *testNetwork) { x.deliver(i, -1) }},
			networkEvent{fmt.Sprint("to", i), func(x *testNetwork) { x.deliver(-1, i) }},
			networkEvent{fmt.Sprint("process", i), func(x *testNetwork) { x.killOrStart(i) }},
			networkEvent{fmt.Sprint("pause", i), func(x *testNetwork) { x.paused[i] = !x.paused[i] }})
	}
	return events
}

// instanceWatch remembers the latest instance of each member that each node has shown.
type instanceWatch struct {
	nodes []*membership.Node
	shown map[shownMember]membership.InstanceID
}

type shownMember struct {
	by     int
	member string
}

func newInstanceWatch(nodes int) *instanceWatch {
	return &instanceWatch{
		nodes: make([]*membership.Node, nodes),
		shown: map[shownMember]membership.InstanceID{},
	}
}

// check says which node goes back to an earlier instance of a member; "": none. A node that has started anew remembers
// nothing.
func (w *instanceWatch) check(x *testNetwork) string {
	for i, n := range x.nodes {
		if w.nodes[i] != n {
			w.nodes[i] = n
			maps.DeleteFunc(w.shown, func(key shownMember, _ membership.InstanceID) bool { return key.by == i })
		}
		if n == nil {
			continue
		}
		for _, m := range n.View().Members {
			key := shownMember{i, m.Name}
			if m.State != membership.StateUnknown && m.ID.Compare(w.shown[key]) < 0 {
				return fmt.Sprintf("%s goes back to an earlier instance of %s", x.names[i], m.Name)
			}
			w.shown[key] = m.ID
		}
	}
	return ""
}

// eventSearch tries sequences of events, each from the start, and goes no further from a state that it has seen.
type eventSearch struct {
	t      *testing.T
	events []networkEvent
	depth  int
	seen   map[string]bool // by fingerprint
}

// tryFrom tries a sequence, and all longer ones that begin with it.
func (s *eventSearch) tryFrom(sequence []int) {
	const nodes = 3
	x := newTestNetwork("a", "b", "c")
	x.runFor(2 * second)
	watch := newInstanceWatch(nodes)
	for _, e := range sequence {
		s.events[e].do(x)
		if why := watch.check(x); why != "" {
			s.t.Fatalf("%v: %s", s.names(sequence), why)
		}
	}
	key := x.fingerprint()
	if s.seen[key] {
		return
	}
	s.seen[key] = true
	x.paused = make([]bool, nodes)
	x.runFor(8 * second)
	if why := x.disagreement(); why != "" {
		s.t.Fatalf("%v: %s", s.names(sequence), why)
	}
	if len(sequence) == s.depth {
		return
	}
	for e := range s.events {
		s.tryFrom(append(slices.Clone(sequence), e))
	}
}

func (s *eventSearch) names(sequence []int) (names []string) {
	for _, e := range sequence {
		names = append(names, s.events[e].name)
	}
	return names
}

// In every order of events for three members up to a depth (time passes, messages are delivered or lost, processes die,
// start, pause and resume) no view goes back to an earlier instance, and after the last event all agree.
func TestEveryOrderOfEvents(t *testing.T) {
	depth := 4
	if testing.Short() {
		depth = 3
	}
	search := &eventSearch{t: t, events: networkEvents(3), depth: depth, seen: map[string]bool{}}
	search.tryFrom(nil)
	t.Logf("%d states, each of which converged within eight seconds", len(search.seen))
}
