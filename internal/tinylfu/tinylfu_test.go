package tinylfu

import (
	"errors"
	"testing"
)

var smallConfig = Config{Counters: 64, MaxCount: MaxCounter, DoorkeeperBits: 4}

func TestEstimateRisesToTheTopAndHalves(t *testing.T) {
	const key = 0x1234_5678_9abc_def0
	s := New(smallConfig)
	for i := range uint64(MaxCounter + 5) {
		s.Record(key)
		if want := min(i+1, MaxCounter+1); s.Estimate(key) != want {
			t.Fatalf("after %d requests the estimate is %d, want %d", i+1, s.Estimate(key), want)
		}
	}
	for range 9 {
		s.AddSample()
	}
	s.Halve()
	if s.Estimate(key) != MaxCounter/2 || s.Samples() != 4 {
		t.Fatalf("after halving: estimate %d, %d samples; want %d and 4", s.Estimate(key), s.Samples(), MaxCounter/2)
	}
}

// Guards against a doorkeeper that is so full of objects requested once that every
// new object passes it at the first request.
func TestFullDoorkeeperIsCleared(t *testing.T) {
	config := smallConfig
	config.DoorkeeperCapacity = 2
	s := New(config)
	s.Record(1 << 40)
	if s.Estimate(1<<40) != 1 {
		t.Fatal("the doorkeeper does not contain the first object")
	}
	s.Record(2 << 40)
	if s.Estimate(1<<40) != 0 || s.Estimate(2<<40) != 0 {
		t.Fatal("the doorkeeper was not cleared at its capacity")
	}
}

func TestStateIsRestoredIntoTheSameSizeOnly(t *testing.T) {
	const key = 77 << 33
	s := New(smallConfig)
	s.Record(key)
	s.Record(key)
	s.AddSample()
	copied := New(smallConfig)
	if err := copied.Restore(s.State()); err != nil {
		t.Fatal(err)
	}
	if copied.Estimate(key) != 2 || copied.Samples() != 1 {
		t.Fatalf("restored: estimate %d, %d samples; want 2 and 1", copied.Estimate(key), copied.Samples())
	}
	larger := smallConfig
	larger.Counters *= 2
	if err := New(larger).Restore(s.State()); !errors.Is(err, ErrSizeMismatch) {
		t.Fatalf("restoring the state of a smaller sketch: error %v, want ErrSizeMismatch", err)
	}
}
