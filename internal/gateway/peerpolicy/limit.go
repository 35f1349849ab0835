package peerpolicy

import "slices"

const (
	// initialPeerLimit bounds what a peer gets at first: a site that is back must not get
	// all at once that was rejected meanwhile.
	initialPeerLimit = 2
	// initialInboundLimit bounds what is admitted from peers at first.
	initialInboundLimit = 4

	minLimit       = 1
	limitDecrease  = 0.7               // factor
	limitRoundTrip = 200 * millisecond // a limit is reduced once in that time
	limitWindow    = 8                 // last outcomes that are looked at
	badOneIn       = 4                 // of them must be bad
	maxSamples     = 32
)

type outcomeSample struct {
	at  int64
	bad bool
}

// adjustLimit moves a peer's limit: up by one for each round of good outcomes while half
// of it is used, down where a quarter of the last outcomes were bad.
func (c *Controller) adjustLimit(now int64, peer *Peer, good bool) {
	peer.outcomes = addOutcome(peer.outcomes, now, !good)
	bad := badOutcomes(peer.outcomes, limitWindow)
	switch {
	case good && float64(peer.InFlight)+1 >= peer.Limit/2:
		peer.Limit = min(peer.Limit+1/peer.Limit, float64(c.settings.MaxRequests))
	case !good && badOneIn*bad >= limitWindow && now-peer.limitReducedAt > limitRoundTrip:
		peer.limitReducedAt = now
		peer.Limit = max(peer.Limit*limitDecrease, minLimit)
	}
}

// badOutcomes counts those among the last so many.
func badOutcomes(outcomes []outcomeSample, last int) (bad int) {
	for _, outcome := range outcomes[max(len(outcomes)-last, 0):] {
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

// appendBounded appends, and drops the oldest of maxSamples.
func appendBounded[T any](list []T, value T) []T {
	if len(list) >= maxSamples {
		list = slices.Delete(list, 0, 1)
	}
	return append(list, value)
}

// quantile of the samples; without any it is the given default.
func quantile(samples []int64, q float64, byDefault int64) int64 {
	if len(samples) == 0 {
		return byDefault
	}
	sorted := slices.Sorted(slices.Values(samples))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}
