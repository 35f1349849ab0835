package canary

// Metric is a figure that is compared. More is worse.
type Metric uint8

// Metrics.
const (
	MetricLoss       Metric = iota // share of the weight offered that was not earned
	MetricRejections               // share of requests that were rejected
	MetricFailures                 // share of requests that failed or whose client left
	MetricSlowness                 // mean ln(latency / objective) of completed requests: 0.18 is a fifth slower
	MetricAttempts                 // attempts per request
	MetricCount                    // how many there are
)

var metricNames = [MetricCount]string{"lost weight", "rejections", "failures", "slowness", "attempts per request"}

// String returns the name that verdicts and status pages show.
func (m Metric) String() string { return metricNames[m] }

// primary reports whether the metric is one of those that most defects show in.
func (m Metric) primary() bool { return m <= MetricFailures }

// of returns the metric of counts; false: they do not report it.
func (m Metric) of(c *Counts) (value float64, reported bool) {
	switch m {
	case MetricLoss:
		return c.loss(), true
	case MetricRejections:
		return c.Rejected / max(c.Requests, 1), true
	case MetricFailures:
		return c.Failed / max(c.Requests, 1), true
	case MetricSlowness:
		return c.LogLatencySum / max(c.Completed, 1), c.Completed > 0
	default: // MetricAttempts
		return c.Attempts / max(c.Requests, 1), c.Attempts > 0
	}
}
