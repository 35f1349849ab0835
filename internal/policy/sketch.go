package policy

import "quilldoor/internal/tinylfu"

const (
	// sketchCounters in each row: a halving period sees about a thousand objects.
	sketchCounters = 1 << 12
	// sketchMaxCount is where a counter stops (the design page's ten).
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
