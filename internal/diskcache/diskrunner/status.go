package diskrunner

import (
	"github.com/sirupsen/logrus"

	"quilldoor/internal/diskcache"
)

// State is a snapshot of the state of a disk cache, for status lines and metrics.
type State struct {
	Ready            bool
	Health           diskcache.Health
	Counts           diskcache.Counts
	Size             diskcache.Size
	ReadMedianMicros int64 // of reads from disk
	ReadP99Micros    int64
}

// State returns the cache's current state.
func (c *Cache) State() (state State) {
	const median, p99 = 50, 99
	c.mu.Lock()
	defer c.mu.Unlock()
	state.Ready = c.ready.Load()
	if c.policy != nil {
		state.Health = c.policy.Health()
		state.Counts = c.policy.Counts
		state.Size = c.policy.Size()
	}
	state.ReadMedianMicros = c.readTimes.ValueAtQuantile(median)
	state.ReadP99Micros = c.readTimes.ValueAtQuantile(p99)
	return state
}

// Status returns the fields of the status line in the log.
func (c *Cache) Status() logrus.Fields {
	state := c.State()
	counts := &state.Counts
	lookups, offers := int64(0), int64(0)
	for i := range diskcache.ReasonCount {
		lookups += counts.Lookups[i]
		offers += counts.Offers[i]
	}
	return logrus.Fields{
		"ready":          state.Ready,
		"health":         state.Health.String(),
		"parts":          state.Size.Parts,
		"disk_mb":        state.Size.Bytes >> 20,
		"memory_mb":      state.Size.MemoryBytes >> 20,
		"lookups":        lookups,
		"served":         counts.Served,
		"revalidated":    counts.Revalidated,
		"served_stale":   counts.ServedStale,
		"offers":         offers,
		"written":        counts.Offers[diskcache.ReasonOK],
		"evicted":        counts.Evicted,
		"purged":         counts.Purged,
		"read_median_us": state.ReadMedianMicros,
		"read_p99_us":    state.ReadP99Micros,
		"read_failures":  counts.ReadFailures,
	}
}
