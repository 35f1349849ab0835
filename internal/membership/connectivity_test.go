package membership_test

import (
	"testing"

	"quilldoor/internal/membership"
	"quilldoor/internal/netsim"
	"quilldoor/internal/simfleet"
)

// In a partition each side reports how many members it reaches, and since when it has or lacks a majority. The sides
// reconnect after the partition, although all seeds are on one of them. A member that only indirect pings reach stays
// alive.
func TestConnectivity(t *testing.T) {
	f := newFleet(9, 5, "", 0)
	mustConverge(t, f, 10*second)
	f.RunUntil(f.Now + 3*second)
	connectivity := func(i int) membership.Connectivity {
		return f.Hosts[i].Detector.(*membership.Node).Connectivity()
	}
	if s := connectivity(0); !s.Majority || s.Known != 9 || s.Reachable != 9 {
		t.Fatalf("connectivity of a router before the partition: %+v", s)
	}
	heal := f.Network.Partition([]int{0, 1, 2}, []int{3, 4, 5, 6, 7, 8})
	partitionedAt := f.Now
	f.RunUntil(f.Now + 8*second)
	s := connectivity(0)
	if s.Majority || s.Known != 9 || s.Reachable != 3 || s.MajoritySince < partitionedAt ||
		s.MajoritySince > partitionedAt+6*second {
		t.Errorf("connectivity in the minority: %+v, partitioned at %d", s, partitionedAt)
	}
	if s := connectivity(5); !s.Majority || s.Known != 9 || s.Reachable != 6 {
		t.Errorf("connectivity in the majority: %+v", s)
	}
	heal()
	mustConverge(t, f, 5*second)
	f.RunUntil(f.Now + 3*second)
	if s := connectivity(0); !s.Majority {
		t.Errorf("connectivity after the partition: %+v", s)
	}
	// An isolated node loses the majority by its silence, before it declares any member dead.
	endIsolation := f.Network.AddFault(&netsim.Fault{From: []int{0}, Bidirectional: true, Partitioned: true})
	f.RunUntil(f.Now + 1500*millisecond)
	if s := connectivity(0); s.Majority || s.Silence < second {
		t.Errorf("connectivity of an isolated router: %+v", s)
	}
	endIsolation()
	// Two members don't reach each other, but all others reach both: no member is declared dead.
	mustConverge(t, f, 10*second)
	f.OnChange = func(h *simfleet.Host, c membership.Change) {
		if c.To == membership.StateDead {
			t.Errorf("%s declares %s dead, which other members reach", h.Name, c.Name)
		}
	}
	f.Network.Partition([]int{0}, []int{1})
	f.RunUntil(f.Now + 20*second)
	for _, s := range f.Hosts[0].Detector.(*membership.Node).View().Members {
		if s.Name == simfleet.Name(1) && s.Reach != membership.ReachRelayed {
			t.Errorf("reach of %s is %v, want %v", s.Name, s.Reach, membership.ReachRelayed)
		}
	}
}
