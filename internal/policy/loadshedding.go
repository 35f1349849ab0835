package policy

// originDelay is how long fills wait for the origin, of late against what is usual. One router sees few fills,
// but the origin gets those of all: each router leaves out the part of them by which the origin is slower than
// bearable. It is known where cache answers give their reasons; else the limits alone hold fills back.
type originDelay struct {
	baseline   float64 // mean of about a minute, in microseconds
	reported   float64 // mean of the last reported
	current    float64 // mean of the last reported, and of overdue fills
	reportedAt int64   // of the last reported
}

// toleratedDelayRatio is how much longer than the baseline fills may wait before some are left out.
const toleratedDelayRatio = 2

// recentWeight is the weight of a new delay in the means of the last ones: one in this many.
const recentWeight = 4

// observeReported takes in the delay of a fill as the cache's answer reported it, in microseconds.
func (d *originDelay) observeReported(now int64, delay float64) {
	const (
		baselinePeriod = 60 * float64(second)
		maxStep        = 1. / 16 // of the distance to the baseline
	)
	if d.baseline == 0 {
		d.baseline = delay
		d.reported = delay
		d.current = delay
		d.reportedAt = now
	} else {
		step := min(float64(now-d.reportedAt)/baselinePeriod, maxStep)
		d.baseline += min(delay-d.baseline, d.baseline) * step // overload is no baseline
		d.reported += (delay - d.reported) / recentWeight
		d.reportedAt = now
	}
	d.current += (delay - d.current) / recentWeight
}

// observeOverdue takes in the age of a fill that is overdue, in microseconds. The cause may be its cache: it
// counts once reported delays are longer, too.
func (d *originDelay) observeOverdue(age float64) {
	const slowRatio = 1.5
	if d.reported > slowRatio*d.baseline {
		d.current += (age - d.current) / recentWeight
	}
}

// observeFailure takes in a fill that the origin failed: a delay far above bearable, and longer with each.
func (d *originDelay) observeFailure() {
	const minRatio, maxRatio, growth = 4 * toleratedDelayRatio, 32 * toleratedDelayRatio, 1.25
	d.current = min(max(growth*d.current, minRatio*d.baseline), maxRatio*d.baseline)
}

// decay brings the current delay nearer to the baseline with time: an origin that failed recovers, and nothing
// that is left out would show it.
func (d *originDelay) decay(elapsed int64) {
	const recovery = 3 * second
	if d.current > d.baseline {
		d.current -= (d.current - d.baseline) * float64(elapsed) / float64(recovery)
	}
}

// shedLoad reports whether the request shall take nothing from the origin. Its draw is kept, so that a request
// once left out stays so while the origin gets no faster.
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
