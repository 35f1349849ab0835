package policy

import "quilldoor/internal/tinylfu"

const (
	// sketchCounters is the number of counters in each row: a halving period sees about a thousand objects.
	sketchCounters = 1 << 12
	// sketchMaxCount is the largest value of a counter.
	sketchMaxCount = 10
	// sketchDoorkeeperBits is the number of doorkeeper bits for each counter.
	sketchDoorkeeperBits = 4
)

// newSketch returns the sketch that counts the requests of one router.
func newSketch() *tinylfu.Sketch {
	return tinylfu.New(tinylfu.Config{
		Counters: sketchCounters, MaxCount: sketchMaxCount, DoorkeeperBits: sketchDoorkeeperBits,
	})
}

// samplesPerCachedObject is the number of requests in a halving period, for each object on the lists of the caches.
const samplesPerCachedObject = 10

// setPopularitySample sets the number of requests after which popularity counts are halved: ten times the number of
// objects that the zone's active caches are asked to keep.
func (r *Router) setPopularitySample() {
	r.popularitySample = 0
	for _, ep := range r.ordered {
		if ep.active && ep.role == roleCache {
			r.popularitySample += samplesPerCachedObject * r.config.maxCachedObjects
		}
	}
}

// countRequest counts a request for an object, and halves the counts at the end of the sample.
func (r *Router) countRequest(key uint64) {
	r.popularity.Record(key)
	if samples := r.popularity.AddSample(); r.popularitySample > 0 && samples >= r.popularitySample {
		r.popularity.Halve()
	}
}

// halvePopularity halves the counts by time, for routers that receive few requests.
func (r *Router) halvePopularity() {
	const halvingPeriod = 30 * second
	if r.now < r.nextHalving {
		return
	}
	if r.nextHalving > 0 {
		r.popularity.Halve()
	}
	r.nextHalving = r.now + halvingPeriod
}
