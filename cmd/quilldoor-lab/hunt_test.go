package main

import (
	"math/rand/v2"
	"runtime"
	"testing"

	"quilldoor/internal/faultsearch"
)

// drawnViolation draws the scenario with this seed and number as the hunt command does, and plays it
// on the virtual clock. It returns the violated rules, or "" if there are none.
func drawnViolation(t *testing.T, seed uint64, number int) string {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, uint64(number-1)))
	violation, _ := playDrawn(t.Context(), faultsearch.Draw(random, faultsearch.DefaultSpace()))
	return violation
}

// Guards against decisions that violate a rule under combinations of faults that no scenario of the library holds. It
// draws scenarios as the hunt command does, from fixed seeds that must not change.
func TestDrawnScenariosKeepTheRules(t *testing.T) {
	t.Parallel()
	const scenarios = 120
	for _, seed := range []uint64{301, 302, 303} {
		err := parallel(scenarios, runtime.NumCPU(), func(i int) error {
			if violation := drawnViolation(t, seed, i+1); violation != "" {
				t.Errorf("seed %d, scenario %d: %s", seed, i+1, violation)
			}
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against a fault that starts a cache again at its end although the cache has been replaced since the fault took
// it down: purges no longer reached this cache, and it served its old copies.
func TestReplacedCacheStaysDown(t *testing.T) {
	t.Parallel()
	if violation := drawnViolation(t, 404, 430); violation != "" {
		t.Error(violation)
	}
}

// Guards against overloading a warming cache with several large copies in a row, sent by routers that were notified of
// its start. Each copy is charged the mean work of its class, however large it is.
func TestLargeCopiesInARowKeepSlowStart(t *testing.T) {
	t.Parallel()
	if violation := drawnViolation(t, 77, 802); violation != "" {
		t.Error(violation)
	}
}

// Guards against requests to endpoints that were removed while discovery was cut off, in a fleet without membership.
// The cut lasts longer than the deadline by which routers count as notified of a removal.
func TestNothingGoesToEndpointsGoneWhileDiscoveryIsCut(t *testing.T) {
	t.Parallel()
	if violation := drawnViolation(t, 77, 906); violation != "" {
		t.Error(violation)
	}
}
