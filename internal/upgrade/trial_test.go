package upgrade

import (
	"math/rand/v2"
	"testing"
)

// A monitor that is asked ten times a second for half a minute stops nothing by chance
// alone, and stops what is plainly worse within some seconds.
func TestTrialMonitorStopsOnlyWhatIsWorse(t *testing.T) {
	// play returns when the trial is stopped, plus one; 0: it is not.
	play := func(seed uint64, perSecond int, failingBefore, failingAfter float64) (stopped int64) {
		random := rand.New(rand.NewPCG(seed, 1))
		var monitor TrialMonitor
		var counts RequestCounts
		step := func(failing float64) {
			for range perSecond / 10 {
				if random.Float64() < failing {
					counts.Rejected++
				} else {
					counts.Completed++
				}
			}
		}
		for now := int64(0); now < 40*second; now += 100 * millisecond {
			step(failingBefore)
			monitor.ObserveOld(now, counts)
		}
		counts = RequestCounts{}
		for at := int64(0); at < 30*second; at += 100 * millisecond {
			step(failingAfter)
			if monitor.ObserveNew(counts) != nil {
				return at + 1
			}
		}
		return 0
	}
	stops, slowest := 0, int64(0)
	for seed := range uint64(400) {
		for _, perSecond := range []int{10, 200} {
			for _, share := range []float64{0.001, 0.05, 0.4} {
				if play(seed, perSecond, share, share) != 0 {
					stops++
				}
				at := play(seed, perSecond, share, share+0.4)
				if at == 0 {
					t.Fatalf("seed %d, %d a second, %g: 0.4 more is not found", seed, perSecond, share)
				}
				slowest = max(slowest, at)
			}
		}
	}
	if t.Logf("slowest stop after %d ms", slowest/millisecond); stops > 0 {
		t.Errorf("%d of 2400 stopped without a reason", stops)
	}
	// What served before a promotion counts on.
	var monitor TrialMonitor
	monitor.ObserveOld(0, RequestCounts{})
	monitor.ObserveOld(second, RequestCounts{Completed: 50, Rejected: 50})
	monitor.Promote()
	if err := monitor.ObserveNew(RequestCounts{Completed: 50, Rejected: 50}); err != nil {
		t.Error(err)
	}
	if err := monitor.ObserveNew(RequestCounts{ClientGone: 100}); err == nil {
		t.Error("clients that leave are not found")
	}
}
