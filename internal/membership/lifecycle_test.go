package membership_test

import (
	"strings"
	"testing"

	"quilldoor/internal/membership"
	"quilldoor/internal/simfleet"
)

// A router restarts without stored state and with a clock that is behind: it is admitted again, and what was said of
// its earlier instances no longer counts.
func TestRestartWithoutState(t *testing.T) {
	f := newFleet(6, 3, "", 0)
	mustConverge(t, f, 10*second)
	last := map[string]membership.InstanceID{}
	f.OnChange = func(h *simfleet.Host, c membership.Change) {
		key := h.Name + c.Name
		if c.To == membership.StateAlive && c.ID.Compare(last[key]) < 0 {
			t.Errorf("%s holds %s alive in instance %v after %v", h.Name, c.Name, c.ID, last[key])
		}
		last[key] = c.ID
	}
	for i := range 12 { // at once, soon, and after it was declared dead
		at := 1 + i%5
		f.Kill(at)
		for key := range last {
			if strings.HasPrefix(key, simfleet.Name(at)+"n") {
				delete(last, key) // its view starts anew
			}
		}
		f.RunUntil(f.Now + int64(i%3)*1500*millisecond)
		f.Start(at)
		f.RunUntil(f.Now + second)
	}
	mustConverge(t, f, 10*second)
	if id := f.Hosts[1].Detector.(*membership.Node).Self().ID; id.Epoch < 3 {
		t.Errorf("after three restarts its epoch is %d", id.Epoch)
	}
	// All seeds are gone for good: the others go on, and admit a router that restarts.
	for i := range 3 {
		f.Kill(i)
	}
	f.Kill(4)
	f.RunUntil(f.Now + 5*second)
	f.Start(4)
	mustConverge(t, f, 10*second)
}

// A router that announces its departure is never declared dead.
func TestAnnouncedDepartureIsNoFailure(t *testing.T) {
	f := newFleet(6, 4, "", 0.05)
	mustConverge(t, f, 10*second)
	f.OnChange = func(h *simfleet.Host, c membership.Change) {
		if c.To == membership.StateDead {
			t.Errorf("%s declares %s dead", h.Name, c.Name)
		}
	}
	n := f.Hosts[2].Detector.(*membership.Node)
	n.Leave(f.Now)
	f.RunUntil(f.Now + second)
	for _, h := range f.Hosts {
		if s := h.Detector.State(simfleet.Name(2)); s != membership.StateLeaving {
			t.Errorf("%s holds the leaving member %v", h.Name, s)
		}
	}
	f.Send(2, n.Depart(f.Now))
	f.Kill(2)
	f.RunUntil(f.Now + 3*second)
	for _, h := range f.Hosts {
		if h.ID != 2 && h.Detector.State(simfleet.Name(2)) != membership.StateLeft {
			t.Errorf("%s holds the member that left %v", h.Name, h.Detector.State(simfleet.Name(2)))
		}
	}
	f.OnChange = nil
	f.Start(2)
	mustConverge(t, f, 10*second)
}

// Two processes with one name: one keeps it, the other detects the conflict and keeps quiet, and gets the name once the
// first has gone.
func TestNameConflict(t *testing.T) {
	x := newTestNetwork("a", "b", "c")
	x.runFor(2 * second)
	x.names, x.addrs = append(x.names, "c"), append(x.addrs, simfleet.Addr(3))
	x.nodes, x.paused = append(x.nodes, nil), append(x.paused, false)
	x.start(3)
	x.runFor(20 * second)
	stateOf2, stateOf3 := x.nodes[2].Self().State, x.nodes[3].Self().State
	if (stateOf2 == membership.StateNameConflict) == (stateOf3 == membership.StateNameConflict) {
		t.Fatalf("one has state %v, the other %v", stateOf2, stateOf3)
	}
	quiet, other := 2, 3
	if stateOf3 == membership.StateNameConflict {
		quiet, other = 3, 2
	}
	if s := x.nodes[quiet].Connectivity(); s.Majority {
		t.Errorf("the node without its name counts on a majority: %+v", s)
	}
	for i := range 2 {
		if s := x.nodes[i].State("c"); s != membership.StateAlive {
			t.Errorf("%s holds c %v", x.names[i], s)
		}
	}
	x.nodes[other] = nil
	x.runFor(80 * second)
	if s := x.nodes[quiet].Self().State; s != membership.StateAlive {
		t.Errorf("its name is free, and it is %v", s)
	}
	for i := range 2 {
		if s := x.nodes[i].State("c"); s != membership.StateAlive {
			t.Errorf("%s holds c %v in the end", x.names[i], s)
		}
	}
}
