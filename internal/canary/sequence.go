package canary

import (
	"math"

	"gonum.org/v1/gonum/stat"
)

// Interval is a confidence interval of the mean difference of a metric, new minus old, from
// the confidence sequence at the current number of samples.
type Interval struct {
	Mean, Low, High float64 // in the metric's unit; Low and High are infinite below two samples
	Samples         int     // number of samples that Mean covers
}

// confidenceInterval returns the interval after the last of the samples. With fewer than
// two samples it is unbounded.
func confidenceInterval(samples []float64, errorProbability, minRequests float64) Interval {
	count := len(samples)
	if count < 2 {
		return Interval{Low: math.Inf(-1), High: math.Inf(1), Samples: count}
	}
	// Samples without any difference do not prove that there is none: the deviation is at
	// least that of a single request that differs among samples of minRequests each.
	minDeviation := 1 / (minRequests * math.Sqrt(float64(count)))
	deviation := max(deviationOf(samples), minDeviation)
	halfWidth := deviation * HalfWidth(count, errorProbability)
	mean := stat.Mean(samples, nil)
	return Interval{Mean: mean, Low: mean - halfWidth, High: mean + halfWidth, Samples: count}
}

// tightestSampleCount is the number of samples at which the sequence is tightest for its
// error probability. It must be fixed before the samples are known.
const tightestSampleCount = 60

// HalfWidth returns half the width of the confidence sequence after a number of samples,
// as a multiple of the standard deviation of a sample.
func HalfWidth(samples int, errorProbability float64) float64 {
	n := float64(samples)
	alpha := errorProbability
	// This choice of rho makes the sequence tightest at tightestSampleCount.
	numerator := -math.Log(alpha*alpha) + math.Log(-math.Log(alpha*alpha)) + 1
	rhoSquared := numerator / tightestSampleCount
	x := n*rhoSquared + 1
	return math.Sqrt(2 * x / (n * n * rhoSquared) * math.Log(math.Sqrt(x)/(alpha/2)))
}

const (
	// batchSize is the number of consecutive samples in a batch. Batch means show how far
	// samples are correlated: a fault lasts for seconds and affects consecutive samples
	// alike.
	batchSize = 5
	// minBatches is the least number of batch means that a deviation is estimated from.
	minBatches = 3
)

// deviationOf returns the standard deviation that independent samples with an equally
// uncertain mean would have: that of the single samples or that estimated from the batch
// means, whichever is larger.
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
