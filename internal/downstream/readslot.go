package downstream

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// readSlots limits how many connections read and parse requests at the same time to the
// number of cores. The others wait here, in order of arrival, and not in the run queue of
// the Go scheduler, which has no priorities: a goroutine with a response to deliver would
// wait there behind every client that has sent something.
type readSlots struct {
	slots      *semaphore.Weighted
	waits      atomic.Int64 // how many connections have waited for a slot
	waitMicros atomic.Int64 // for how long they have waited in total
}

func newReadSlots() *readSlots {
	return &readSlots{slots: semaphore.NewWeighted(int64(runtime.GOMAXPROCS(0)))}
}

// acquire waits for a slot. After a wait, goroutines that can run already go first, among
// them those that have a response to deliver.
func (s *readSlots) acquire() {
	if s.slots.TryAcquire(1) {
		return
	}
	began := time.Now()
	_ = s.slots.Acquire(context.Background(), 1) // no error: the context is never cancelled
	runtime.Gosched()
	s.waits.Add(1)
	s.waitMicros.Add(time.Since(began).Microseconds())
}

func (s *readSlots) release() { s.slots.Release(1) }

// readSlot is the slot of one connection. Only the connection's goroutine uses it.
type readSlot struct {
	slots *readSlots // nil: no limit
	held  bool
}

// acquire waits for a slot, unless the connection has one.
func (s *readSlot) acquire() {
	if s.slots != nil && !s.held {
		s.slots.acquire()
		s.held = true
	}
}

// release gives the slot back, if the connection has one, and reports whether it had.
func (s *readSlot) release() (held bool) {
	held = s.held
	if held {
		s.held = false
		s.slots.release()
	}
	return held
}
