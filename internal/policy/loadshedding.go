package policy

// originDelay compares the recent time that fills wait for the origin with the usual time. One router sees few fills,
// but the origin receives those of all routers: each router sheds the share of its fills by which the current delay
// exceeds the tolerated one. The delay is known only where cache responses have reasons; elsewhere only the concurrency
// limits reduce fills.
type originDelay struct {
	baseline   float64 // mean over about a minute, in microseconds; 0: nothing was reported yet
	reported   float64 // mean of the last reported delays
	current    float64 // mean of the last reported delays and overdue fills, raised by failures
	reportedAt int64   // time of the last report
}

// toleratedDelayRatio is the ratio of the current delay to the baseline above which fills are shed.
const toleratedDelayRatio = 2

// recentWeight is the reciprocal of the weight that a new delay has in the means of the last ones.
const recentWeight = 4

// observeReported records the delay of a fill in microseconds, as reported in a cache's response.
func (d *originDelay) observeReported(now int64, delay float64) {
	const (
		baselinePeriod = 60 * float64(second)
		maxStep        = 1. / 16 // weight of one delay
	)
	if d.baseline == 0 {
		d.baseline = delay
		d.reported = delay
		d.current = delay
		d.reportedAt = now
	} else {
		step := min(float64(now-d.reportedAt)/baselinePeriod, maxStep)
		d.baseline += min(delay-d.baseline, d.baseline) * step // bounded, so that an overload does not become the baseline
		d.reported += (delay - d.reported) / recentWeight
		d.reportedAt = now
	}
	d.current += (delay - d.current) / recentWeight
}

// observeOverdue records the age of an overdue fill in microseconds. Its cause may be the cache: it counts only while
// reported delays are longer than usual, too.
func (d *originDelay) observeOverdue(age float64) {
	const slowRatio = 1.5 // of reported delays to the baseline
	if d.reported > slowRatio*d.baseline {
		d.current += (age - d.current) / recentWeight
	}
}

// observeFailure records a fill that failed at the origin as a delay far above the tolerated one, which grows with each
// failure.
func (d *originDelay) observeFailure() {
	const minRatio, maxRatio, growth = 4 * toleratedDelayRatio, 32 * toleratedDelayRatio, 1.25
	d.current = min(max(growth*d.current, minRatio*d.baseline), maxRatio*d.baseline)
}

// decay reduces the current delay towards the baseline over time. Otherwise the recovery of a failed origin would go
// undetected, since fills that are shed report no delay.
func (d *originDelay) decay(elapsed int64) {
	const recovery = 3 * second
	if d.current > d.baseline {
		d.current -= (d.current - d.baseline) * float64(elapsed) / float64(recovery)
	}
}

// shedLoad reports whether the request must not be filled from the origin. Its random number is kept, so that a request
// stays shed until the origin becomes faster.
func (r *Router) shedLoad(req *request) bool {
	d := &r.originDelay
	if d.current <= toleratedDelayRatio*d.baseline {
		return false
	}
	if req.sheddingDraw == 0 {
		req.sheddingDraw = r.random.float64()
	}
	return req.sheddingDraw*d.current > toleratedDelayRatio*d.baseline
}
