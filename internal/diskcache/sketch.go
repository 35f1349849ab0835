package diskcache

import "quilldoor/internal/tinylfu"

const (
	// samplesPerCachedPart is the paper's ten times the cache size (section 3.4.1).
	samplesPerCachedPart = 10

	minSketchCounters = 1 << 10
	// sketchDoorkeeperBits for each counter and sketchDoorkeeperEntries for each let one
	// unseen object in forty pass: eight bits an entry, four hashes.
	sketchDoorkeeperBits    = 16
	sketchDoorkeeperEntries = 2

	// sketchBytesPerCounter counts four rows of 4-bit counters and the doorkeeper's bits.
	sketchBytesPerCounter = 4
)

// newSketch makes a sketch for as many parts as the disk may hold.
func newSketch(parts int) *tinylfu.Sketch {
	counters := minSketchCounters
	for counters < parts {
		counters *= 2
	}
	return tinylfu.New(tinylfu.Config{
		Counters: counters, MaxCount: tinylfu.MaxCounter,
		DoorkeeperBits: sketchDoorkeeperBits, DoorkeeperCapacity: sketchDoorkeeperEntries * counters,
	})
}

// countRequest notes a request in the sketch. The sample period follows the number of
// parts that are cached now.
func countRequest(sketch *tinylfu.Sketch, key uint64, cachedParts int) {
	period := samplesPerCachedPart * max(cachedParts, minSketchCounters/samplesPerCachedPart)
	if sketch.AddSample() >= period {
		sketch.Halve()
	}
	sketch.Record(key)
}
