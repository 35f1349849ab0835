package netsim

import (
	"math/rand/v2"
	"testing"
)

// Each kind of fault acts on its paths alone, and ends when it is removed.
func TestFaultsActOnTheirPaths(t *testing.T) {
	n := New(1000, 0, rand.New(rand.NewPCG(1, 1)))
	if at := n.Transmit(5, 0, 1, 100); len(at) != 1 || at[0] != 1005 {
		t.Fatalf("without a fault: %v", at)
	}
	remove := n.AddFault(&Fault{From: []int{0}, Partitioned: true})
	if n.Transmit(5, 0, 1, 100) != nil || n.Reachable(0, 1) {
		t.Error("partitioned, and it arrives")
	}
	if n.Transmit(5, 1, 0, 100) == nil || !n.Reachable(1, 0) {
		t.Error("one direction is partitioned, and the other one does not arrive")
	}
	remove()
	remove = n.Partition([]int{0}, []int{1, 2}, []int{3})
	for _, c := range [][3]int{{0, 1, 0}, {1, 2, 1}, {2, 1, 1}, {2, 3, 0}, {3, 0, 0}, {0, 4, 1}, {4, 3, 1}} {
		if got := len(n.Transmit(0, c[0], c[1], 1)); got != c[2] {
			t.Errorf("partition: %d to %d: %d", c[0], c[1], got)
		}
	}
	remove()
	remove = n.AddFault(&Fault{From: []int{2}, Bidirectional: true, Duplicate: 1, Delay: 50})
	if at := n.Transmit(0, 1, 2, 1); len(at) != 2 || at[0] != 1050 || at[1] <= at[0] {
		t.Errorf("duplicated: %v", at)
	}
	remove()
	remove = n.AddFault(&Fault{Reorder: 0.5})
	late := 0
	for i := range int64(1000) {
		if n.Transmit(i, 0, 1, 1)[0] > i+1000 {
			late++
		}
	}
	if late < 400 || late > 600 {
		t.Errorf("reordered: %d of 1000", late)
	}
	remove()
	remove = n.AddFault(&Fault{BytesPerSecond: 1000})
	first, second := n.Transmit(0, 0, 1, 100), n.Transmit(0, 0, 1, 100)
	if first[0] != 101_000 || second[0] != 201_000 {
		t.Errorf("limited: %v %v", first, second)
	}
	for range 30 {
		n.Transmit(0, 0, 1, 100)
	}
	if at := n.Transmit(0, 0, 1, 100); at != nil {
		t.Errorf("a slow path's queue has no bound: %v", at)
	}
	if at := n.Transmit(0, 1, 0, 100); len(at) != 1 || at[0] != 101_000 {
		t.Errorf("the other direction waits as well: %v", at)
	}
	remove()
	remove = n.AddFault(&Fault{Loss: 0.1})
	lost := 0
	for range 10_000 {
		if n.Transmit(0, 0, 1, 1) == nil {
			lost++
		}
	}
	if lost < 900 || lost > 1100 {
		t.Errorf("lost: %d of 10,000", lost)
	}
	remove()
	if at := n.Transmit(5, 0, 1, 100); len(at) != 1 || at[0] != 1005 {
		t.Errorf("after all faults: %v", at)
	}
}
