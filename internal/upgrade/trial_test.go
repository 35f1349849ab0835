package upgrade

import (
	"math/rand/v2"
	"testing"
)

// trialStep is the time between two observations, in microseconds.
const trialStep = 100 * millisecond

// requestSource simulates requests, a share of which fails, and counts their outcomes.
type requestSource struct {
	random          *rand.Rand
	requestsPerStep int
	counts          RequestCounts
}

// step adds the requests of one trialStep, each of which fails with a probability.
func (s *requestSource) step(failureProbability float64) {
	for range s.requestsPerStep {
		if s.random.Float64() < failureProbability {
			s.counts.Rejected++
		} else {
			s.counts.Completed++
		}
	}
}

// simulateTrial simulates a trial of up to 30 s after 40 s of the old generation, and
// returns the time in the trial at which the monitor stops it.
func simulateTrial(seed uint64, requestsPerSecond int, oldFailure, newFailure float64) (stoppedAt int64, stopped bool) {
	const oldDuration, trialDuration = 40 * second, 30 * second
	source := &requestSource{
		random:          rand.New(rand.NewPCG(seed, 1)),
		requestsPerStep: requestsPerSecond / int(second/trialStep),
	}
	var monitor TrialMonitor
	for now := int64(0); now < oldDuration; now += trialStep {
		source.step(oldFailure)
		monitor.ObserveOld(now, source.counts)
	}
	source.counts = RequestCounts{}
	for elapsed := int64(0); elapsed < trialDuration; elapsed += trialStep {
		source.step(newFailure)
		if monitor.ObserveNew(source.counts) != nil {
			return elapsed, true
		}
	}
	return 0, false
}

// Guards against a monitor that stops a trial by chance when it compares ten times a second
// for half a minute, and against one that does not stop a large regression.
func TestTrialMonitorStopsOnlyWhatIsWorse(t *testing.T) {
	const regression = 0.4 // increase of the share of failed requests
	trials, falseStops, slowestStop := 0, 0, int64(0)
	for seed := range uint64(400) {
		for _, requestsPerSecond := range []int{10, 200} {
			for _, share := range []float64{0.001, 0.05, 0.4} {
				trials++
				if _, stopped := simulateTrial(seed, requestsPerSecond, share, share); stopped {
					falseStops++
				}
				stoppedAt, stopped := simulateTrial(seed, requestsPerSecond, share, share+regression)
				if !stopped {
					t.Fatalf("seed %d, %d requests/s, failed share %g: an increase by %g does not stop the trial",
						seed, requestsPerSecond, share, regression)
				}
				slowestStop = max(slowestStop, stoppedAt)
			}
		}
	}
	t.Logf("slowest stop after %d ms", slowestStop/millisecond)
	if falseStops > 0 {
		t.Errorf("%d of %d trials without a regression were stopped", falseStops, trials)
	}
}

// Guards against a baseline that loses the requests from before a promotion, and against
// clients that disconnect and are not counted as failed requests.
func TestBaselineGoesOnAcrossAPromotion(t *testing.T) {
	var monitor TrialMonitor
	monitor.ObserveOld(0, RequestCounts{})
	monitor.ObserveOld(second, RequestCounts{Completed: 50, Rejected: 50})
	monitor.Promote()
	if err := monitor.ObserveNew(RequestCounts{Completed: 50, Rejected: 50}); err != nil {
		t.Errorf("a failed share equal to that before the promotion stops the trial: %v", err)
	}
	if err := monitor.ObserveNew(RequestCounts{ClientGone: 100}); err == nil {
		t.Error("a trial in which all clients disconnect is not stopped")
	}
}
