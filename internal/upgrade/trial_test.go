package upgrade

import (
	"math/rand/v2"
	"testing"
)

const trialStep = 100 * millisecond // between two observations

// requestSource counts requests of which a share fails.
type requestSource struct {
	random  *rand.Rand
	perStep int
	counts  RequestCounts
}

func (s *requestSource) step(failing float64) {
	for range s.perStep {
		if s.random.Float64() < failing {
			s.counts.Rejected++
		} else {
			s.counts.Completed++
		}
	}
}

// playTrial plays a trial whose process is observed for half a minute, and returns when it
// is stopped.
func playTrial(seed uint64, perSecond int, failingBefore, failingAfter float64) (stoppedAt int64, stopped bool) {
	const before, trial = 40 * second, 30 * second
	source := &requestSource{random: rand.New(rand.NewPCG(seed, 1)), perStep: perSecond / int(second/trialStep)}
	var monitor TrialMonitor
	for now := int64(0); now < before; now += trialStep {
		source.step(failingBefore)
		monitor.ObserveOld(now, source.counts)
	}
	source.counts = RequestCounts{}
	for at := int64(0); at < trial; at += trialStep {
		source.step(failingAfter)
		if monitor.ObserveNew(source.counts) != nil {
			return at, true
		}
	}
	return 0, false
}

// A monitor that is asked ten times a second for half a minute stops nothing by chance
// alone, and stops what is plainly worse within some seconds.
func TestTrialMonitorStopsOnlyWhatIsWorse(t *testing.T) {
	const plainlyWorse = 0.4 // more requests fail
	trials, stops, slowest := 0, 0, int64(0)
	for seed := range uint64(400) {
		for _, perSecond := range []int{10, 200} {
			for _, share := range []float64{0.001, 0.05, 0.4} {
				trials++
				if _, stopped := playTrial(seed, perSecond, share, share); stopped {
					stops++
				}
				at, stopped := playTrial(seed, perSecond, share, share+plainlyWorse)
				if !stopped {
					t.Fatalf("seed %d, %d a second, %g: %g more is not found", seed, perSecond, share, plainlyWorse)
				}
				slowest = max(slowest, at)
			}
		}
	}
	t.Logf("slowest stop after %d ms", slowest/millisecond)
	if stops > 0 {
		t.Errorf("%d of %d stopped without a reason", stops, trials)
	}
}

// What served before a promotion counts in the baseline after it.
func TestBaselineGoesOnAcrossAPromotion(t *testing.T) {
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
