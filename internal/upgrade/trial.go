package upgrade

import (
	"fmt"
	"math"
)

const (
	// baselineWindow is how long before the hand-off the old generation's failures are
	// taken from, in microseconds.
	baselineWindow = 30 * second
	// baselineInterval is the time between two samples of it, in microseconds.
	baselineInterval = second
	// minTrialRequests are needed on trial before it is compared, and stand for a
	// smaller baseline in the standard error.
	minTrialRequests = 30
	// A trial fails when its share of failed requests exceeds the baseline's by
	// worseShare and by worseSigmas standard errors: wide enough for a test once a
	// second. A fault of the environment that begins with the trial may end it too; then
	// the old generation serves in that fault, at no loss.
	worseShare  = 0.2
	worseSigmas = 6.0
)

type trialSample struct {
	at     int64
	counts RequestCounts
}

// TrialMonitor compares the share of failed requests (rejected, aborted, late, or the
// client gone) of a generation on trial with that of the old one in the 30 s before. It
// stops only what is plainly broken on one router: small regressions need the canary
// analysis of a rollout over many routers. The zero value is ready for use.
type TrialMonitor struct {
	baseline []trialSample // of baselineWindow, counted on over generations
	previous RequestCounts // of the generations before the old one
	old      RequestCounts // of the old one by now
}

// ObserveOld records what the old generation has done by now, since its process began.
func (m *TrialMonitor) ObserveOld(now int64, counts RequestCounts) {
	m.old = counts
	if n := len(m.baseline); n > 0 && now-m.baseline[n-1].at < baselineInterval {
		return
	}
	m.baseline = append(m.baseline, trialSample{now, m.previous.Add(counts)})
	for len(m.baseline) > 1 && m.baseline[1].at <= now-baselineWindow {
		m.baseline = m.baseline[1:]
	}
}

// Promote makes the generation on trial the old one: what ObserveOld gets from now on are
// the counts of its process. The baseline goes on over both.
func (m *TrialMonitor) Promote() {
	m.previous = m.previous.Add(m.old)
	m.old = RequestCounts{}
}

// ObserveNew takes what the generation on trial has done by now, since its process began.
// It returns an error with the figures when that is worse than the baseline: from 30
// requests on, a share that is larger by more than 0.2 and by more than six standard
// errors.
func (m *TrialMonitor) ObserveNew(counts RequestCounts) error {
	requests, failed := float64(counts.ended()), float64(counts.failed())
	if requests < minTrialRequests {
		return nil
	}
	baseRequests, baseFailed := 0.0, 0.0
	if len(m.baseline) > 0 {
		base := m.previous.Add(m.old).outcomesSince(m.baseline[0].counts)
		baseRequests, baseFailed = float64(base.ended()), float64(base.failed())
	}
	share := failed / requests
	baseShare := baseFailed / max(baseRequests, 1)
	pooled := (failed + baseFailed) / (requests + baseRequests)
	standardError := math.Sqrt(pooled * (1 - pooled) * (1/requests + 1/max(baseRequests, minTrialRequests)))
	if share-baseShare > worseShare && share-baseShare > worseSigmas*standardError {
		return fmt.Errorf("%.0f of %.0f requests failed, %.0f of %.0f before",
			failed, requests, baseFailed, baseRequests)
	}
	return nil
}
