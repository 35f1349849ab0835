package upgrade

import (
	"fmt"
	"math"
)

const (
	// baselineWindow is the period before the hand-off whose requests form the baseline, in
	// microseconds.
	baselineWindow = 30 * second
	// baselineInterval is the time between two samples of the baseline, in microseconds.
	baselineInterval = second
	// minTrialRequests is how many requests must have ended on trial before they are
	// compared with the baseline. In the standard error, a smaller baseline counts as this
	// many requests.
	minTrialRequests = 30
	// A trial fails when its share of failed requests exceeds the baseline's by more than
	// maxFailureShareIncrease and by more than maxFailureShareSigmas standard errors. The
	// bounds are wide enough for a comparison once a second. A fault of the environment
	// that begins during the trial may end the trial too; the old generation then serves
	// under the same fault, so nothing is lost.
	maxFailureShareIncrease = 0.2
	maxFailureShareSigmas   = 6.0
)

// trialSample holds the counts of all settled generations up to a time.
type trialSample struct {
	at     int64 // in microseconds
	counts RequestCounts
}

// TrialMonitor compares the share of failed requests (rejected, aborted, late, or the
// client disconnected) of a generation on trial with the old generation's share in the
// 30 s before. It detects only large regressions on one router: small ones need the canary
// analysis of a rollout over many routers. The zero value is ready for use.
type TrialMonitor struct {
	baseline []trialSample // of the last baselineWindow, cumulative over generations
	previous RequestCounts // of the generations before the old one
	old      RequestCounts // of the old generation, as last observed
}

// ObserveOld records the counts of the old generation since its process began.
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

// Promote makes the generation on trial the old one: ObserveOld is called with the counts
// of its process from now on. The baseline continues across the promotion.
func (m *TrialMonitor) Promote() {
	m.previous = m.previous.Add(m.old)
	m.old = RequestCounts{}
}

// ObserveNew compares the counts of the generation on trial, since its process began, with
// the baseline. It returns an error with the figures when at least 30 requests have ended
// and the share of failed ones exceeds the baseline's by more than 0.2 and by more than
// six standard errors.
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
	if share-baseShare > maxFailureShareIncrease && share-baseShare > maxFailureShareSigmas*standardError {
		return fmt.Errorf("%.0f of %.0f requests failed on trial, %.0f of %.0f before it",
			failed, requests, baseFailed, baseRequests)
	}
	return nil
}
