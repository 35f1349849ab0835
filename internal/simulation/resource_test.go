package simulation

import (
	"math"
	"testing"

	"gonum.org/v1/gonum/stat/distuv"
)

// With Poisson arrivals and exponential work, the number of jobs that share c cores is distributed as in an M/M/c
// queue, whatever the order of service. Erlang's C formula therefore gives their mean time in the system.
func TestSharedCoresMatchErlangC(t *testing.T) {
	for _, test := range []struct {
		cores int
		load  float64
	}{{1, 0.6}, {5, 0.8}, {20, 0.9}} {
		sim := newBareSimulation()
		resource := &sharedResource{simulation: sim, totalRate: float64(test.cores), maxJobRate: 1}
		const work, jobs = 1e5, 200_000
		exponential := distuv.Exponential{Rate: 1, Src: sim.random}
		timeInSystem := 0.0
		finished := 0
		var arrive func()
		arrive = func() {
			arrivedAt := sim.now
			resource.add(exponential.Rand()*work, func() {
				timeInSystem += float64(sim.now - arrivedAt)
				finished++
			})
			sim.schedule(int64(exponential.Rand()*work/test.load/float64(test.cores)), arrive)
		}
		arrive()
		for finished < jobs {
			sim.Step(sim.Next())
		}
		want := work * (1 + erlangC(test.cores, test.load)/(float64(test.cores)*(1-test.load)))
		if got := timeInSystem / float64(finished); math.Abs(got/want-1) > 0.03 {
			t.Errorf("%d cores at load %.2f: %.0f us in the system, %.0f us by Erlang's C", test.cores, test.load, got, want)
		} else {
			t.Logf("%d cores at load %.2f: %+.2f%% from Erlang's C", test.cores, test.load, 100*(got/want-1))
		}
	}
}

// erlangC is the probability that a job of an M/M/c queue must wait, by Erlang's C formula.
func erlangC(cores int, load float64) float64 {
	offered := load * float64(cores)
	sum := 0.0
	term := 1.0
	for k := range cores {
		sum += term
		term *= offered / float64(k+1)
	}
	last := term / (1 - load)
	return last / (sum + last)
}
