// Package stall detects that the process was stopped for a while, as by a paused
// machine or a core that others had, and bounds how long what is read from a
// socket afterwards may have waited in its buffer. Clients count that time, too,
// and nobody can tell which of the waiting bytes came first.
//
// The package decides only: ticks and times come from outside, in microseconds
// of a steady clock.
package stall

import "sync"

const (
	// TickIntervalMicros is how often Tick is to be called, in microseconds.
	TickIntervalMicros = 20_000

	// BufferDrainMicros is how long after a stall, in microseconds, what is read
	// may have waited during it: by then the sockets' buffers have been read.
	BufferDrainMicros = 100_000

	// minStallMicros is what counts as a stall: five ticks, more than a busy core
	// keeps a goroutine waiting.
	minStallMicros = 5 * TickIntervalMicros
)

// Detector remembers the last stall. It may be used from any goroutine. Before
// the first Tick it knows of none.
type Detector struct {
	mu        sync.Mutex
	lastTick  int64
	lastStall int64 // how long it was
	stallEnd  int64 // when it was noticed
}

// Tick says that the process runs.
func (d *Detector) Tick(now int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastTick > 0 && now-d.lastTick > minStallMicros {
		d.lastStall = now - d.lastTick
		d.stallEnd = now
	}
	d.lastTick = now
}

// MaxWaitMicros is how long, in microseconds, what is read now may have waited at
// most; 0: there was no stall lately.
func (d *Detector) MaxWaitMicros(now int64) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	sinceTick, sinceStall := now-d.lastTick, now-d.stallEnd
	switch {
	case d.lastTick == 0:
		return 0
	case sinceTick > minStallMicros: // reading is ahead of the first tick
		return sinceTick
	case d.lastStall > 0 && sinceStall < BufferDrainMicros:
		return max(d.lastStall+sinceStall, 0) // 0: it was read before the stall
	}
	return 0
}
