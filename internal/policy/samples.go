package policy

import "slices"

// sample records whether one attempt counts against its endpoint.
type sample struct {
	at  int64
	bad bool
}

const (
	// minSamples is the smallest number of samples for a ratio: with fewer, a quarter of bad ones is often chance.
	minSamples = 16
	// sampleWindow is the time within which all samples count, so that at high rates a short burst does not decide
	// alone.
	sampleWindow = 250 * millisecond
)

// addSample appends a sample and removes those that no ratio needs any more.
func addSample(samples []sample, now int64, bad bool) []sample {
	for len(samples) >= minSamples && samples[0].at <= now-sampleWindow {
		samples = slices.Delete(samples, 0, 1)
	}
	return append(samples, sample{now, bad})
}

// countBad counts the samples within the window, and older ones up to a total of minCount.
func countBad(samples []sample, now int64, minCount int) (bad, all int) {
	for i := len(samples) - 1; i >= 0 && (all < minCount || samples[i].at > now-sampleWindow); i-- {
		all++
		if samples[i].bad {
			bad++
		}
	}
	return bad, all
}

// maxRecent bounds a list of recent values: enough for a distribution, few enough to follow a change within seconds.
const maxRecent = 32

// addRecent appends a value to a list that keeps the last maxRecent ones.
func addRecent[T any](values []T, v T) []T {
	if len(values) >= maxRecent {
		values = slices.Delete(values, 0, 1)
	}
	return append(values, v)
}

// mean returns the mean of values, or ifEmpty if there are none.
func mean(values []int64, ifEmpty int64) int64 {
	if len(values) == 0 {
		return ifEmpty
	}
	sum := int64(0)
	for _, v := range values {
		sum += v
	}
	return sum / int64(len(values))
}

// variance returns the variance of values around a mean, 0 if there are none.
func variance(values []int64, mean int64) float64 {
	sum := 0.0
	for _, v := range values {
		deviation := float64(v - mean)
		sum += deviation * deviation
	}
	return sum / float64(max(len(values), 1))
}
