package stall

import "testing"

func TestMaxWaitCoversTheLastStall(t *testing.T) {
	var detector Detector
	if got := detector.MaxWaitMicros(5); got != 0 {
		t.Fatalf("before the first tick: %d", got)
	}
	for now := int64(1_000_000); now <= 1_200_000; now += TickIntervalMicros {
		detector.Tick(now)
		if got := detector.MaxWaitMicros(now + TickIntervalMicros/2); got != 0 {
			t.Fatalf("while it runs: %d", got)
		}
	}
	detector.Tick(1_295_000) // late, but no stall
	if got := detector.MaxWaitMicros(1_296_000); got != 0 {
		t.Errorf("a late tick: %d", got)
	}
	// Stopped for 3 s; a request is read before the first tick, one after it.
	if got := detector.MaxWaitMicros(4_295_000); got != 3_000_000 {
		t.Errorf("ahead of the tick: %d", got)
	}
	detector.Tick(4_300_000)
	if got := detector.MaxWaitMicros(4_320_000); got != 3_025_000 {
		t.Errorf("after the tick: %d", got)
	}
	for now := int64(4_320_000); now <= 4_420_000; now += TickIntervalMicros {
		detector.Tick(now)
	}
	if got := detector.MaxWaitMicros(4_420_000); got != 0 {
		t.Errorf("long after: %d", got)
	}
}
