package downstream

import (
	"context"
	"runtime"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"
)

// The scheduler polls the network only when no goroutine can run. A client that sends requests
// ahead, which are answered without a wait, would keep it from that.
const (
	maxReadTurn = time.Millisecond      // for which requests that were sent ahead are read without a pause
	readPause   = 50 * time.Microsecond // so long that the scheduler gets to the poll before the timer is due
)

// readSlots limits how many connections read and parse requests at the same time to the
// number of cores. The others wait here, in order of arrival, and not in the run queue of
// the Go scheduler, which has no priorities: a goroutine with a response to deliver would
// wait there behind every client that has sent something.
type readSlots struct {
	slots      *semaphore.Weighted
	waits      atomic.Int64 // how many connections have waited for a slot
	waitMicros atomic.Int64 // for how long they have waited in total
	startedAt  time.Time
	pausedAt   atomic.Int64 // when the latest pause ended, in nanoseconds since startedAt
}

func newReadSlots() *readSlots {
	return &readSlots{slots: semaphore.NewWeighted(int64(runtime.GOMAXPROCS(0))), startedAt: time.Now()}
}

// pause lets the scheduler poll the network, unless that was possible within maxReadTurn. The caller
// keeps its slot meanwhile, so that no other client's requests take its place.
func (s *readSlots) pause() {
	last := s.pausedAt.Load()
	now := time.Since(s.startedAt)
	if now-time.Duration(last) < maxReadTurn || !s.pausedAt.CompareAndSwap(last, int64(now)) {
		return
	}
	time.Sleep(readPause)
	s.pausedAt.Store(int64(time.Since(s.startedAt)))
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

// pause is readSlots.pause, if there is a limit.
func (s *readSlot) pause() {
	if s.slots != nil {
		s.slots.pause()
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
