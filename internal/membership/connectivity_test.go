package membership_test

import (
	"testing"

	"quilldoor/internal/membership"
	"quilldoor/internal/netsim"
	"quilldoor/internal/simfleet"
)

// In a partition each side knows how many members it reaches and since when; the partition's end is found without a
// seed. A member that is reached by indirect pings alone is alive.
func TestConnectivity(t *testing.T) {
	f := newFleet(9, 5, "", 0)
	mustConverge(t, f, 10*second)
	f.RunUntil(f.Now + 3*second)
	connectivity := func(i int) membership.Connectivity {
		return f.Hosts[i].Detector.(*membership.Node).Connectivity()
	}
	if s := connectivity(0); !s.Majority || s.Known != 9 || s.Reachable != 9 {
		t.Fatalf("before the partition: %+v", s)
	}
	heal := f.Network.Partition([]int{0, 1, 2}, []int{3, 4, 5, 6, 7, 8})
	cut := f.Now
	f.RunUntil(f.Now + 8*second)
	s := connectivity(0)
	if s.Majority || s.Known != 9 || s.Reachable != 3 || s.MajoritySince < cut || s.MajoritySince > cut+6*second {
		t.Errorf("the minority: %+v, partitioned at %d", s, cut)
	}
	if s := connectivity(5); !s.Majority || s.Known != 9 || s.Reachable != 6 {
		t.Errorf("the majority: %+v", s)
	}
	heal()
	mustConverge(t, f, 5*second)
	f.RunUntil(f.Now + 3*second)
	if s := connectivity(0); !s.Majority {
		t.Errorf("healed: %+v", s)
	}
	// Isolated: the silence is noticed before any member is declared dead.
	end := f.Network.AddFault(&netsim.Fault{From: []int{0}, Bidirectional: true, Partitioned: true})
	f.RunUntil(f.Now + 1500*millisecond)
	if s := connectivity(0); s.Majority || s.Silence < second {
		t.Errorf("isolated: %+v", s)
	}
	end()
	// A reaches B, B reaches C, A does not reach C: nobody is declared dead.
	mustConverge(t, f, 10*second)
	f.OnChange = func(h *simfleet.Host, c membership.Change) {
		if c.To == membership.StateDead {
			t.Errorf("%s declares %s dead that others reach", h.Name, c.Name)
		}
	}
	f.Network.Partition([]int{0}, []int{1})
	f.RunUntil(f.Now + 20*second)
	for _, s := range f.Hosts[0].Detector.(*membership.Node).View().Members {
		if s.Name == simfleet.Name(1) && s.Reach != membership.ReachRelayed {
			t.Errorf("reached by indirect pings, and its reach is %v", s.Reach)
		}
	}
}
