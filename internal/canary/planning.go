package canary

// SamplesNeeded returns how many samples of a standard deviation it takes to stop a
// generation that loses so much, and to pass one that loses nothing. 0: more than most.
func SamplesNeeded(settings Settings, stages int, deviation, loss float64, most int) (stop, pass int) {
	errorProbability := newErrorBudget(&settings, stages).metric[MetricLoss]
	samplesFor := func(difference float64) int {
		for n := minSamples; n <= most; n += max(n/50, 1) { // to two percent
			if deviation*HalfWidth(n, errorProbability) < difference {
				return n
			}
		}
		return 0
	}
	return samplesFor(loss - settings.Tolerance[MetricLoss]), samplesFor(settings.MaxLoss)
}
