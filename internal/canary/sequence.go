package canary

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Interval is a confidence interval of a difference, new less old, taken from the
// confidence sequence at the current number of samples.
type Interval struct {
	Mean, Low, High float64 // in the metric's unit; Low and High are infinite below two samples
	Samples         int     // of the mean
}

// confidenceInterval returns the interval at the end of the samples. Fewer than two
// samples exclude nothing.
func confidenceInterval(samples []float64, errorProbability, minRequests float64) Interval {
	count := len(samples)
	if count < 2 {
		return Interval{Low: math.Inf(-1), High: math.Inf(1), Samples: count}
	}
	// A metric that has not moved yet is not certain: the deviation is at least that of
	// one request in all samples of the least size.
	minDeviation := 1 / (minRequests * math.Sqrt(float64(count)))
	deviation := max(deviationOf(samples), minDeviation)
	half := deviation * HalfWidth(count, errorProbability)
	mean := stat.Mean(samples, nil)
	return Interval{Mean: mean, Low: mean - half, High: mean + half, Samples: count}
}

// tightestAt is the number of samples at which the sequence is tightest for its error
// probability. It must be fixed beforehand.
const tightestAt = 60

// HalfWidth returns half the width of the confidence sequence after a number of samples,
// in standard deviations of a sample.
func HalfWidth(samples int, errorProbability float64) float64 {
	n := float64(samples)
	alpha := errorProbability
	v := -math.Log(alpha*alpha) + math.Log(-math.Log(alpha*alpha)) + 1
	rhoSquared := v / tightestAt
	x := n*rhoSquared + 1
	return math.Sqrt(2 * x / (n * n * rhoSquared) * math.Log(math.Sqrt(x)/(alpha/2)))
}

const (
	// batchSize is the number of neighbouring samples whose means show how far samples
	// hang together: a fault lasts for seconds and makes neighbours alike.
	batchSize = 5
	// minBatches is the least number of batch means that a deviation is taken from.
	minBatches = 3
)

// deviationOf returns the standard deviation that samples would have if they were
// independent: the larger one of single samples and of batch means.
func deviationOf(samples []float64) float64 {
	_, single := stat.MeanStdDev(samples, nil)
	var means []float64
	for i := 0; i+batchSize <= len(samples); i += batchSize {
		means = append(means, stat.Mean(samples[i:i+batchSize], nil))
	}
	if len(means) < minBatches {
		return single
	}
	_, batched := stat.MeanStdDev(means, nil)
	return max(single, batched*math.Sqrt(batchSize))
}
