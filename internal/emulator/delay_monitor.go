package emulator

import (
	"sync/atomic"
	"time"
)

// heartbeatInterval is how often the delay of the emulator's goroutines is measured.
const heartbeatInterval = 10 * time.Millisecond

// delayMonitor measures by how much goroutines of the emulator run late: its clients read answers,
// and its servers send them, only when the machine lets them.
type delayMonitor struct {
	longestMicros atomic.Int64
}

// watch measures until done is closed.
func (m *delayMonitor) watch(done <-chan struct{}) {
	timer := time.NewTimer(heartbeatInterval)
	defer timer.Stop()
	for {
		due := time.Now().Add(heartbeatInterval)
		timer.Reset(heartbeatInterval)
		select {
		case <-done:
			return
		case <-timer.C:
		}
		m.observe(time.Since(due))
	}
}

// observe notes a delay, if it is the longest so far.
func (m *delayMonitor) observe(delay time.Duration) {
	if micros := delay.Microseconds(); micros > m.longestMicros.Load() {
		m.longestMicros.Store(micros)
	}
}
