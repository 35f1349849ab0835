package canary

import (
	"fmt"

	"gonum.org/v1/gonum/stat"
)

// Verdict is the result of a stage.
type Verdict uint8

// The verdicts.
const (
	VerdictInconclusive Verdict = iota // the samples prove neither of the others
	VerdictPass                        // no metric is proven worse, and Settings.MaxLoss is ruled out
	VerdictWorse                       // a metric is worse by more than its tolerance
)

var verdictNames = [...]string{"can't tell", "good", "worse"}

// String returns the name that status pages show: "can't tell" (inconclusive), "good"
// (pass) or "worse".
func (v Verdict) String() string { return verdictNames[v] }

// minSamples is the least number of samples for a verdict, since the confidence sequence
// holds only asymptotically.
const minSamples = 15

// Verdict returns the verdict on the samples so far, and a reason, as text for operators,
// that names the metric and its interval. With fewer than 15 samples the verdict is VerdictInconclusive.
func (a *Analyzer) Verdict() (verdict Verdict, reason string) {
	if count := len(a.samples[MetricLoss]); count < minSamples {
		return VerdictInconclusive, fmt.Sprintf("%d samples, %d are needed", count, minSamples)
	}
	if reason := a.regression(); reason != "" {
		return VerdictWorse, reason
	}
	loss := a.Interval(MetricLoss)
	if loss.High < a.settings.MaxLoss {
		return VerdictPass, fmt.Sprintf("%v: %+.4f, at most %+.4f (%d samples)",
			MetricLoss, loss.Mean, loss.High, loss.Samples)
	}
	return VerdictInconclusive, fmt.Sprintf("%v: %+.4f, from %+.4f to %+.4f (%d samples)",
		MetricLoss, loss.Mean, loss.Low, loss.High, loss.Samples)
}

// regression describes the first metric or class that is worse by more than its tolerance;
// "": none is.
func (a *Analyzer) regression() string {
	for m := range MetricCount {
		if i := a.Interval(m); i.exceeds(a.settings.Tolerance[m]) {
			return i.describeExcess(m.String(), a.settings.Tolerance[m])
		}
	}
	for _, class := range a.Classes() {
		if i, _ := a.ClassInterval(class); i.exceeds(a.settings.ClassTolerance) {
			return i.describeExcess(fmt.Sprintf("%v of %s", MetricLoss, class), a.settings.ClassTolerance)
		}
	}
	return ""
}

func (i Interval) exceeds(tolerance float64) bool {
	return i.Samples >= minSamples && i.Low > tolerance
}

func (i Interval) describeExcess(name string, tolerance float64) string {
	return fmt.Sprintf("%s: %+.4f, at least %+.4f, %.4f is tolerated (%d samples)", name, i.Mean, i.Low, tolerance, i.Samples)
}

// FleetRegressed reports whether the mean loss of a whole fleet has risen by more than
// Settings.MaxLoss, and by how much at least, with the confidence intervals of both means
// taken into account. It is for stages that leave no unchanged router to compare with, and
// can't distinguish the effect of the change from a fault that began at the same time.
func FleetRegressed(settings Settings, stages int, before, after []float64) (by float64, regressed bool) {
	if len(before) < minSamples || len(after) < minSamples {
		return 0, false
	}
	errorProbability := newErrorBudget(&settings, stages).metric[MetricLoss] / 2
	beforeMean, beforeHalfWidth := meanAndHalfWidth(before, errorProbability)
	afterMean, afterHalfWidth := meanAndHalfWidth(after, errorProbability)
	by = afterMean - afterHalfWidth - beforeMean - beforeHalfWidth
	return by, by > settings.MaxLoss
}

func meanAndHalfWidth(samples []float64, errorProbability float64) (mean, halfWidth float64) {
	return stat.Mean(samples, nil), deviationOf(samples) * HalfWidth(len(samples), errorProbability)
}
