package stall

import "testing"

func TestMaxWaitCoversTheLastStall(t *testing.T) {
	var detector Detector
	if got := detector.MaxWaitMicros(5); got != 0 {
		t.Fatalf("before the first tick: wait %d, want 0", got)
	}
	for now := int64(1_000_000); now <= 1_200_000; now += TickIntervalMicros {
		detector.Tick(now)
		if got := detector.MaxWaitMicros(now + TickIntervalMicros/2); got != 0 {
			t.Fatalf("while ticks are regular: wait %d, want 0", got)
		}
	}
	detector.Tick(1_295_000) // 95 ms after the last tick: late, but no stall
	if got := detector.MaxWaitMicros(1_296_000); got != 0 {
		t.Errorf("after a late tick: wait %d, want 0", got)
	}
	// The process was stopped for 3 s. One request is read before the first tick, one after it.
	if got := detector.MaxWaitMicros(4_295_000); got != 3_000_000 {
		t.Errorf("before the first tick after the stall: wait %d, want 3000000", got)
	}
	detector.Tick(4_300_000)
	if got := detector.MaxWaitMicros(4_320_000); got != 3_025_000 {
		t.Errorf("after the first tick after the stall: wait %d, want 3025000", got)
	}
	for now := int64(4_320_000); now <= 4_420_000; now += TickIntervalMicros {
		detector.Tick(now)
	}
	if got := detector.MaxWaitMicros(4_420_000); got != 0 {
		t.Errorf("after the sockets' buffers have been read: wait %d, want 0", got)
	}
}
