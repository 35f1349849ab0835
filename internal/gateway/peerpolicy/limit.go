package peerpolicy

import "slices"

const (
	// initialPeerLimit bounds the requests in flight at a peer that has just connected: a
	// site that reconnects must not receive at once all requests that were rejected while
	// it was disconnected.
	initialPeerLimit = 2
	// initialInboundLimit bounds the requests in flight from all peers after the start.
	initialInboundLimit = 4

	minLimit            = 1
	limitDecreaseFactor = 0.7
	// limitDecreaseInterval is the minimum time between two decreases of a limit. It
	// approximates a round trip.
	limitDecreaseInterval = 200 * millisecond
	// outcomeWindow is the number of latest outcomes that a decrease of a peer's limit
	// depends on: at least one in badShareDivisor must be bad.
	outcomeWindow   = 8
	badShareDivisor = 4
	// maxSamples bounds each list of outcomes or times.
	maxSamples = 32
)

// outcomeSample records when a request ended, and whether its outcome was bad.
type outcomeSample struct {
	at  int64
	bad bool
}

// adjustLimit adjusts a peer's limit after an outcome. A good outcome raises it by 1/limit, so
// by about one for each full limit of requests, but only while about half of the limit or more
// is in use. A bad outcome reduces it, at most once per limitDecreaseInterval, if a quarter or
// more of the outcome window is bad.
func (c *Controller) adjustLimit(now int64, peer *Peer, good bool) {
	peer.outcomes = addOutcome(peer.outcomes, now, !good)
	bad := countBadOutcomes(peer.outcomes, outcomeWindow)
	switch {
	case good && float64(peer.InFlight)+1 >= peer.Limit/2:
		peer.Limit = min(peer.Limit+1/peer.Limit, float64(c.settings.MaxRequests))
	case !good && badShareDivisor*bad >= outcomeWindow && now-peer.limitReducedAt > limitDecreaseInterval:
		peer.limitReducedAt = now
		peer.Limit = max(peer.Limit*limitDecreaseFactor, minLimit)
	}
}

// countBadOutcomes counts the bad outcomes among the latest ones. The window is the number of
// outcomes to look at.
func countBadOutcomes(outcomes []outcomeSample, window int) (bad int) {
	for _, outcome := range outcomes[max(len(outcomes)-window, 0):] {
		if outcome.bad {
			bad++
		}
	}
	return bad
}

func addOutcome(list []outcomeSample, now int64, bad bool) []outcomeSample {
	return appendBounded(list, outcomeSample{now, bad})
}

func addSample(list []int64, value int64) []int64 { return appendBounded(list, value) }

// appendBounded appends a value, and drops the oldest value of a list that holds maxSamples.
func appendBounded[T any](list []T, value T) []T {
	if len(list) >= maxSamples {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, value)
}

// quantile returns the q-quantile of the samples, or the fallback if there are no samples.
func quantile(samples []int64, q float64, fallback int64) int64 {
	if len(samples) == 0 {
		return fallback
	}
	sorted := slices.Sorted(slices.Values(samples))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
