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
		if concurrent := running.Add(1); concurrent > jobs {
			t.Errorf("%d calls at once, limit %d", concurrent, jobs)
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
		t.Errorf("error %v after %d calls; want %v after %d", err, calls.Load(), first, n)
	}
}
