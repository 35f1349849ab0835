package canary

// Metric is a measure by which the two arms are compared. Higher values are worse.
type Metric uint8

// The metrics.
const (
	MetricLoss       Metric = iota // share of the weight offered that was not earned
	MetricRejections               // share of requests that were rejected
	MetricFailures                 // share of requests that were aborted, or whose client disconnected
	MetricSlowness                 // mean ln(latency / objective) of completed requests: 0.18 is a fifth slower
	MetricAttempts                 // attempts per request
	MetricCount                    // the number of metrics
)

var metricNames = [MetricCount]string{"lost weight", "rejections", "failures", "slowness", "attempts per request"}

// String returns the name that verdicts and status pages show.
func (m Metric) String() string { return metricNames[m] }

// primary reports whether the metric is one of those that reveal most defects.
func (m Metric) primary() bool { return m <= MetricFailures }

// valueOf returns the metric's value of counts, and whether they report it.
func (m Metric) valueOf(c *Counts) (value float64, reported bool) {
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
