// Package stall tells what was read from a socket just after the process stood
// still: a stopped process, a machine that was paused, a core that others had. Its
// clients counted their time meanwhile, and nobody can tell which of the bytes
// that wait came first. It decides only; ticks and times come from outside.
package stall

import "sync"

const (
	// TickIntervalMicros is how often Tick wants to be called, microseconds.
	TickIntervalMicros = 20_000
	// least is what counts as standing still: five ticks, more than a busy core
	// keeps a goroutine waiting.
	least = 100_000
	// BufferDrainMicros is how long after it what is read may have waited meanwhile: all that
	// is in the sockets' buffers is read by then.
	BufferDrainMicros = 100_000
)

// Detector remembers when the process stood still last. Its zero is not ready: call
// Tick first.
type Detector struct {
	mu   sync.Mutex
	last int64 // tick
	gap  int64 // of the last standstill
	woke int64
}

// Tick tells that the process runs.
func (w *Detector) Tick(now int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.last > 0 && now-w.last > least {
		w.gap, w.woke = now-w.last, now
	}
	w.last = now
}

// MaxWaitMicros is how long what is read now may have waited for the process at most;
// 0: it did not stand still lately. All are microseconds of a steady clock.
func (w *Detector) MaxWaitMicros(now int64) int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.last == 0:
		return 0
	case now-w.last > least: // reading is ahead of the first tick
		return now - w.last
	case w.gap > 0 && now-w.woke < BufferDrainMicros:
		return max(w.gap+now-w.woke, 0) // 0: it was read before the process stood still
	}
	return 0
}
