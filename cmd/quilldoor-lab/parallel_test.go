package main

import (
	"errors"
	"sync/atomic"
	"testing"
)

func TestParallelRunsAllWithinTheLimitAndReturnsTheFirstError(t *testing.T) {
	const n, jobs = 40, 3
	first, second := errors.New("first"), errors.New("second")
	var running, calls atomic.Int32
	err := parallel(n, jobs, func(i int) error {
		defer running.Add(-1)
		if now := running.Add(1); now > jobs {
			t.Errorf("%d at once", now)
		}
		calls.Add(1)
		switch i {
		case 5:
			return first
		case 20:
			return second
		}
		return nil
	})
	if !errors.Is(err, first) || calls.Load() != n {
		t.Errorf("%v after %d calls", err, calls.Load())
	}
}
