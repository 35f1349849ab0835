package canary

// SamplesNeeded returns how many samples with a given standard deviation it takes to stop
// a generation with a given loss, and to pass one without loss; 0: more than limit.
func SamplesNeeded(settings Settings, stages int, deviation, loss float64, limit int) (stop, pass int) {
	errorProbability := newErrorBudget(&settings, stages).metric[MetricLoss]
	samplesFor := func(difference float64) int {
		for n := minSamples; n <= limit; n += max(n/50, 1) { // accurate to two percent
			if deviation*HalfWidth(n, errorProbability) < difference {
				return n
			}
		}
		return 0
	}
	return samplesFor(loss - settings.Tolerance[MetricLoss]), samplesFor(settings.MaxLoss)
}
