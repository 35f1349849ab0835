package main

import (
	"math/rand/v2"
	"runtime"
	"testing"

	"quilldoor/internal/faultsearch"
)

// drawnViolation plays a scenario of a search on the virtual clock; "": it breaks no rule.
func drawnViolation(t *testing.T, seed uint64, number int) string {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, uint64(number-1)))
	violation, _ := playDrawn(t.Context(), faultsearch.Draw(random, faultsearch.DefaultSpace()))
	return violation
}

// Guards against decisions that break a rule under faults nobody has thought of: a search as `hunt` makes it, whose
// seeds stay.
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

// Guards against a replaced cache that is started again by a fault that had it down: purges no longer reached it, and
// its old copies were served.
func TestReplacedCacheStaysDown(t *testing.T) {
	t.Parallel()
	if violation := drawnViolation(t, 404, 430); violation != "" {
		t.Error(violation)
	}
}

// Guards against a warming cache that falls over by several large copies in a row, from routers that know of its
// start: each is charged the mean of its class.
func TestLargeCopiesInARowKeepSlowStart(t *testing.T) {
	t.Parallel()
	if violation := drawnViolation(t, 77, 802); violation != "" {
		t.Error(violation)
	}
}

// Guards against requests to endpoints that went while discovery was cut off for longer than its notices may take,
// in a fleet without membership.
func TestNothingGoesToEndpointsGoneWhileDiscoveryIsCut(t *testing.T) {
	t.Parallel()
	if violation := drawnViolation(t, 77, 906); violation != "" {
		t.Error(violation)
	}
}
