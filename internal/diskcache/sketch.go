package diskcache

import "quilldoor/internal/tinylfu"

const (
	// samplesPerCachedPart is the sample size of the TinyLFU paper: ten times the cache
	// size (section 3.4.1).
	samplesPerCachedPart = 10

	minSketchCounters = 1 << 10

	// sketchDoorkeeperBits and sketchDoorkeeperEntries are the doorkeeper's bits and
	// capacity for each counter: eight bits an entry. With four hashes one unseen object
	// in forty passes.
	sketchDoorkeeperBits    = 16
	sketchDoorkeeperEntries = 2

	// sketchBytesPerCounter counts four rows of 4-bit counters and the doorkeeper's bits.
	sketchBytesPerCounter = 4
)

// newSketch returns a sketch for a disk of at most the given number of parts.
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

// countRequest records a request in the sketch. The sample period follows the number of
// parts that are cached now.
func countRequest(sketch *tinylfu.Sketch, key uint64, cachedParts int) {
	period := samplesPerCachedPart * max(cachedParts, minSketchCounters/samplesPerCachedPart)
	if sketch.AddSample() >= period {
		sketch.Halve()
	}
	sketch.Record(key)
}
