package simulation

import (
	"math"
	"testing"

	"gonum.org/v1/gonum/stat/distuv"
)

// Jobs of exponential work that share c cores are as many as in an M/M/c queue, whatever the order of service, so
// that Erlang's C formula gives the mean time they stay.
func TestSharedCoresMatchErlangC(t *testing.T) {
	for _, tt := range []struct {
		cores int
		load  float64
	}{{1, 0.6}, {5, 0.8}, {20, 0.9}} {
		sim := newBareSimulation()
		resource := &sharedResource{simulation: sim, totalRate: float64(tt.cores), maxJobRate: 1}
		const work, jobs = 1e5, 200_000
		wait := distuv.Exponential{Rate: 1, Src: sim.random}
		stayed := 0.0
		finished := 0
		var arrive func()
		arrive = func() {
			began := sim.now
			resource.add(wait.Rand()*work, func() {
				stayed += float64(sim.now - began)
				finished++
			})
			sim.schedule(int64(wait.Rand()*work/tt.load/float64(tt.cores)), arrive)
		}
		arrive()
		for finished < jobs {
			sim.Step(sim.Next())
		}
		offered := tt.load * float64(tt.cores)
		sum := 0.0
		term := 1.0
		for k := range tt.cores {
			sum += term
			term *= offered / float64(k+1)
		}
		last := term / (1 - tt.load)
		erlang := last / (sum + last)
		want := work * (1 + erlang/(float64(tt.cores)*(1-tt.load)))
		if got := stayed / float64(finished); math.Abs(got/want-1) > 0.03 {
			t.Errorf("%d cores at %.2f: %.0f us in the system, %.0f by Erlang's C", tt.cores, tt.load, got, want)
		} else {
			t.Logf("%d cores at %.2f: %+.2f%% of Erlang's C", tt.cores, tt.load, 100*(got/want-1))
		}
	}
}
