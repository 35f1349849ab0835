// Package stall detects that the process was stopped for a while, for example
// because the machine was paused or other processes occupied the core. It bounds
// how long data that is read from a socket afterwards may have waited in the
// socket's buffer. Clients count that time too, and the arrival times of the
// buffered bytes are unknown.
//
// The package does no I/O and reads no clock: the caller passes ticks and times,
// in microseconds of a monotonic clock.
package stall

import "sync"

const (
	// TickIntervalMicros is how often Tick is to be called, in microseconds.
	TickIntervalMicros = 20_000

	// BufferDrainMicros is how long after a stall, in microseconds, data that is
	// read may have waited since before its end. After that time the sockets'
	// buffers have been read.
	BufferDrainMicros = 100_000

	// minStallMicros is the time without a tick that counts as a stall if it is
	// exceeded: five ticks, more than a goroutine waits on a busy core.
	minStallMicros = 5 * TickIntervalMicros
)

// Detector records the last stall. It is safe for concurrent use. Before the
// first Tick it reports no stall.
type Detector struct {
	mu            sync.Mutex
	lastTick      int64
	stallDuration int64 // of the last stall
	stallEnd      int64 // when the last stall was detected
}

// Tick records that the process runs at a time.
func (d *Detector) Tick(now int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.lastTick > 0 && now-d.lastTick > minStallMicros {
		d.stallDuration = now - d.lastTick
		d.stallEnd = now
	}
	d.lastTick = now
}

// MaxWaitMicros is the longest time, in microseconds, that data read now may have
// waited in a socket's buffer; 0: there was no recent stall.
func (d *Detector) MaxWaitMicros(now int64) int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	sinceTick, sinceStall := now-d.lastTick, now-d.stallEnd
	switch {
	case d.lastTick == 0:
		return 0
	case sinceTick > minStallMicros: // read before the first tick after a stall
		return sinceTick
	case d.stallDuration > 0 && sinceStall < BufferDrainMicros:
		return max(d.stallDuration+sinceStall, 0) // 0: now is before the stall
	}
	return 0
}
