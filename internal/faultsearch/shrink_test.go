package faultsearch

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"quilldoor/internal/scenario"
)

// Shrink keeps the faults and sizes on which the failure depends, reduces all others, and calls
// fails no more often than maxRuns. The failure needs two faults, two caches and a request rate.
func TestShrinkKeepsOnlyWhatTheFailureNeeds(t *testing.T) {
	fails := func(s *scenario.Scenario) bool {
		has := func(kind string, minSeconds float64) bool {
			return slices.ContainsFunc(s.Faults, func(f scenario.Fault) bool { return f.Kind == kind && f.For >= minSeconds })
		}
		return has("purge", 0) && has("die", 1) && s.Fleet.Caches >= 2 && s.Load.RequestsPerS >= 30
	}
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 2))
		s := Draw(random, DefaultSpace())
		for _, kind := range []string{"purge", "die", "deploy", "burst"} {
			s.Faults = append(s.Faults, drawFault(random, s, kind))
		}
		for i := range s.Faults {
			s.Faults[i].For = max(s.Faults[i].For, 1)
		}
		s.Load.RequestsPerS = 200
		original := Copy(s)
		shrunk, runs := Shrink(s, fails, 2000)
		if !reflect.DeepEqual(s, original) {
			t.Fatalf("seed %d: Shrink changed the scenario that it was given", seed)
		}
		if !fails(shrunk) || len(shrunk.Faults) != 2 || shrunk.Fleet.Caches != 2 || shrunk.Load.RequestsPerS > 60 ||
			shrunk.Fleet.Offices != 1 || shrunk.Fleet.Membership {
			text, _ := Marshal(shrunk)
			t.Fatalf("seed %d: after %d runs the scenario does not fail or is not minimal:\n%s", seed, runs, text)
		}
		if _, runs := Shrink(s, fails, 7); runs > 7 {
			t.Errorf("seed %d: %d runs, at most 7 are allowed", seed, runs)
		}
	}
}
