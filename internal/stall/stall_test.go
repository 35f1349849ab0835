package stall

import "testing"

func TestWhatWaited(t *testing.T) {
	var w Detector
	if got := w.MaxWaitMicros(5); got != 0 {
		t.Fatalf("before the first tick: %d", got)
	}
	for now := int64(1_000_000); now <= 1_200_000; now += TickIntervalMicros {
		w.Tick(now)
		if got := w.MaxWaitMicros(now + TickIntervalMicros/2); got != 0 {
			t.Fatalf("while it runs: %d", got)
		}
	}
	w.Tick(1_295_000) // late, but no standstill
	if got := w.MaxWaitMicros(1_296_000); got != 0 {
		t.Errorf("a late tick: %d", got)
	}
	// Stopped for 3 s; a request is read before the first tick, one after it.
	if got := w.MaxWaitMicros(4_295_000); got != 3_000_000 {
		t.Errorf("ahead of the tick: %d", got)
	}
	w.Tick(4_300_000)
	if got := w.MaxWaitMicros(4_320_000); got != 3_025_000 {
		t.Errorf("after the tick: %d", got)
	}
	for now := int64(4_320_000); now <= 4_420_000; now += TickIntervalMicros {
		w.Tick(now)
	}
	if got := w.MaxWaitMicros(4_420_000); got != 0 {
		t.Errorf("long after: %d", got)
	}
}
