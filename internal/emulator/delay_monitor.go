package emulator

import (
	"sync/atomic"
	"time"
)

// delaySampleInterval is the interval between measurements of the emulator's scheduling delay.
const delaySampleInterval = 10 * time.Millisecond

// delayMonitor measures the scheduling delay of the emulator's goroutines, by which the emulated
// clients read answers late and the emulated servers send responses late.
type delayMonitor struct {
	longestMicros atomic.Int64
}

// watch measures delays until done is closed.
func (m *delayMonitor) watch(done <-chan struct{}) {
	timer := time.NewTimer(delaySampleInterval)
	defer timer.Stop()
	for {
		due := time.Now().Add(delaySampleInterval)
		timer.Reset(delaySampleInterval)
		select {
		case <-done:
			return
		case <-timer.C:
		}
		m.observe(time.Since(due))
	}
}

// observe records a delay if it is the longest so far.
func (m *delayMonitor) observe(delay time.Duration) {
	if micros := delay.Microseconds(); micros > m.longestMicros.Load() {
		m.longestMicros.Store(micros)
	}
}
