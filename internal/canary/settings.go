package canary

// Settings are the limits of an analysis.
type Settings struct {
	// FalseStopProbability is the probability of stopping a generation that does no worse,
	// over all metrics, stages and looks, 0 to 1. The smaller it is, the more samples it
	// takes to stop a generation that does worse.
	FalseStopProbability float64
	// Tolerance holds the differences, new minus old, in the unit of each metric, up to
	// which a stage is not stopped: the load of two routers of a zone is never quite the
	// same.
	Tolerance [MetricCount]float64
	// ClassTolerance is the tolerance of MetricLoss within a single traffic class.
	ClassTolerance float64
	// MaxLoss is the difference of MetricLoss that must be ruled out for a pass, at least
	// Tolerance[MetricLoss]: a stage passes once the whole interval is below MaxLoss, and
	// stops once it is above the tolerance.
	MaxLoss float64
	// MinRequests is how many requests each arm of a zone needs for a sample.
	MinRequests float64
	// SkipMicros is the time after a router's change that the analysis leaves out, in
	// microseconds.
	SkipMicros int64
}

// DefaultSettings returns the settings of a plan that sets none.
func DefaultSettings() Settings {
	return Settings{
		FalseStopProbability: 0.05,
		Tolerance: [MetricCount]float64{
			MetricLoss:       0.01,
			MetricRejections: 0.005,
			MetricFailures:   0.005,
			MetricSlowness:   0.05,
			MetricAttempts:   0.05,
		},
		ClassTolerance: 0.03,
		MaxLoss:        0.05,
		MinRequests:    25,
		SkipMicros:     2_000_000,
	}
}

// primaryShare is the share of FalseStopProbability that the primary metrics divide among
// them. The other metrics and the traffic classes divide the rest.
const primaryShare = 0.8

// errorBudget divides FalseStopProbability among all comparisons of a stage. By the union
// bound, the error probabilities of all comparisons and stages add up to it.
type errorBudget struct {
	metric [MetricCount]float64
	class  float64 // of each traffic class
}

func newErrorBudget(settings *Settings, stages int) errorBudget {
	const primaryMetrics = 3
	const others = float64(MetricCount - primaryMetrics + MaxClasses)
	perStage := settings.FalseStopProbability / float64(max(stages, 1))
	var b errorBudget
	for m := range MetricCount {
		if m.primary() {
			b.metric[m] = perStage * primaryShare / primaryMetrics
		} else {
			b.metric[m] = perStage * (1 - primaryShare) / others
		}
	}
	b.class = perStage * (1 - primaryShare) / others
	return b
}

// LossOf returns the share of the weight offered that was not earned, and whether the
// counts hold at least MinRequests requests.
func (s *Settings) LossOf(c Counts) (loss float64, enough bool) {
	return c.loss(), c.Requests >= s.MinRequests
}
