package membership_test

import (
	"strings"
	"testing"

	"quilldoor/internal/membership"
	"quilldoor/internal/simfleet"
)

// A router that restarts without stored state and with a clock that is behind is admitted again, and updates about its
// earlier instances are ignored.
func TestRestartWithoutState(t *testing.T) {
	f := newFleet(6, 3, "", 0)
	mustConverge(t, f, 10*second)
	latest := map[string]membership.InstanceID{}
	f.OnChange = func(h *simfleet.Host, c membership.Change) {
		key := h.Name + c.Name
		if c.To == membership.StateAlive && c.ID.Compare(latest[key]) < 0 {
			t.Errorf("%s holds %s alive in instance %v after %v", h.Name, c.Name, c.ID, latest[key])
		}
		latest[key] = c.ID
	}
	for i := range 12 { // restarts at once, after 1.5 s, and after 3 s, when it is dead
		host := 1 + i%5
		f.Kill(host)
		for key := range latest {
			if strings.HasPrefix(key, simfleet.Name(host)+"n") {
				delete(latest, key) // the new process has an empty view
			}
		}
		f.RunUntil(f.Now + int64(i%3)*1500*millisecond)
		f.Start(host)
		f.RunUntil(f.Now + second)
	}
	mustConverge(t, f, 10*second)
	if id := f.Hosts[1].Detector.(*membership.Node).Self().ID; id.Epoch < 3 {
		t.Errorf("epoch of a router after three restarts is %d, want at least 3", id.Epoch)
	}
	// All seeds have failed and do not restart: the other members stay alive, and admit a router that restarts.
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
			t.Errorf("%s holds the leaving router %v", h.Name, s)
		}
	}
	f.Send(2, n.Depart(f.Now))
	f.Kill(2)
	f.RunUntil(f.Now + 3*second)
	for _, h := range f.Hosts {
		if h.ID != 2 && h.Detector.State(simfleet.Name(2)) != membership.StateLeft {
			t.Errorf("%s holds the router that left %v", h.Name, h.Detector.State(simfleet.Name(2)))
		}
	}
	f.OnChange = nil
	f.Start(2)
	mustConverge(t, f, 10*second)
}

// Of two processes with the same name one keeps it. The other one detects the conflict, yields the name, and reclaims
// it once the first has failed.
func TestNameConflict(t *testing.T) {
	network := newTestNetwork("a", "b", "c")
	network.runFor(2 * second)
	network.names, network.addrs = append(network.names, "c"), append(network.addrs, simfleet.Addr(3))
	network.nodes, network.paused = append(network.nodes, nil), append(network.paused, false)
	network.start(3)
	network.runFor(20 * second)
	stateOf2, stateOf3 := network.nodes[2].Self().State, network.nodes[3].Self().State
	if (stateOf2 == membership.StateNameConflict) == (stateOf3 == membership.StateNameConflict) {
		t.Fatalf("the processes named c have states %v and %v, want one name conflict", stateOf2, stateOf3)
	}
	yielded, holder := 2, 3
	if stateOf3 == membership.StateNameConflict {
		yielded, holder = 3, 2
	}
	if s := network.nodes[yielded].Connectivity(); s.Majority {
		t.Errorf("the node that yielded its name reports a majority: %+v", s)
	}
	for i := range 2 {
		if s := network.nodes[i].State("c"); s != membership.StateAlive {
			t.Errorf("%s holds c %v", network.names[i], s)
		}
	}
	network.nodes[holder] = nil
	network.runFor(80 * second)
	if s := network.nodes[yielded].Self().State; s != membership.StateAlive {
		t.Errorf("the node whose name is free again is %v", s)
	}
	for i := range 2 {
		if s := network.nodes[i].State("c"); s != membership.StateAlive {
			t.Errorf("%s holds c %v after the name is free again", network.names[i], s)
		}
	}
}
