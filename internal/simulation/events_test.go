package simulation

import (
	"fmt"
	"testing"
)

// Events of the same time run in the order in which they were scheduled.
func TestEventsOfTheSameTimeRunInOrder(t *testing.T) {
	sim := newBareSimulation()
	var order []int
	for i := range 100 {
		sim.schedule(int64(i%3)*5, func() { order = append(order, i) })
	}
	for more := true; more; {
		more = sim.Step(sim.Next()) && len(sim.events) > 0
	}
	last := [3]int{-1, -1, -1}
	for position, i := range order {
		if i < last[i%3] || position > 0 && i%3 < order[position-1]%3 {
			t.Fatalf("events ran in order %v, want them by time and then by scheduling", order)
		}
		last[i%3] = i
	}
	if len(order) != 100 {
		t.Fatal(fmt.Sprint(len(order), " events ran, want 100"))
	}
}
