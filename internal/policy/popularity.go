package policy

import "quilldoor/internal/tinylfu"

const (
	// sketchCounters in each row: a halving period sees about a thousand objects.
	sketchCounters = 1 << 12
	// sketchMaxCount is where a counter stops.
	sketchMaxCount = 10
	// sketchDoorkeeperBits of the doorkeeper for each counter.
	sketchDoorkeeperBits = 4
)

// newSketch makes the sketch that counts the requests of one router.
func newSketch() *tinylfu.Sketch {
	return tinylfu.New(tinylfu.Config{
		Counters: sketchCounters, MaxCount: sketchMaxCount, DoorkeeperBits: sketchDoorkeeperBits,
	})
}

// samplesPerCachedObject sets after how many requests the popularity counts are halved.
const samplesPerCachedObject = 10

// setPopularitySample sets the halving period to ten times what the zone's caches are asked to keep.
func (r *Router) setPopularitySample() {
	r.popularitySample = 0
	for _, ep := range r.ordered {
		if ep.active && ep.role == roleCache {
			r.popularitySample += samplesPerCachedObject * r.config.maxCachedObjects
		}
	}
}

// countRequest counts a request for an object.
func (r *Router) countRequest(key uint64) {
	r.popularity.Record(key)
	if samples := r.popularity.AddSample(); r.popularitySample > 0 && samples >= r.popularitySample {
		r.popularity.Halve()
	}
}

// halvePopularity halves the counts after some time, too, for routers that see few requests.
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
