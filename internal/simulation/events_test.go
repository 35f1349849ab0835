package simulation

import (
	"fmt"
	"testing"
)

// Events of the same time run in the order in which they were scheduled.
func TestEventsOfTheSameTimeRunInOrder(t *testing.T) {
	sim := newBareSimulation()
	var got []int
	for i := range 100 {
		sim.schedule(int64(i%3)*5, func() { got = append(got, i) })
	}
	for more := true; more; {
		more = sim.Step(sim.Next()) && len(sim.events) > 0
	}
	last := [3]int{-1, -1, -1}
	for n, i := range got {
		if i < last[i%3] || n > 0 && i%3 < got[n-1]%3 {
			t.Fatalf("order %v", got)
		}
		last[i%3] = i
	}
	if len(got) != 100 {
		t.Fatal(fmt.Sprint(len(got), " events"))
	}
}
