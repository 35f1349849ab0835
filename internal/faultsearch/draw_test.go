package faultsearch

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"quilldoor/internal/scenario"
)

// A drawn scenario survives Marshal and Parse unchanged, and the same seed draws the same one.
func TestDrawIsReproducibleAndReadable(t *testing.T) {
	kinds := map[string]int{}
	for seed := range uint64(500) {
		draw := func() *scenario.Scenario { return Draw(rand.New(rand.NewPCG(seed, 1)), DefaultSpace()) }
		s := draw()
		if !reflect.DeepEqual(s, draw()) {
			t.Fatalf("seed %d draws another scenario", seed)
		}
		text, err := Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		parsed, err := scenario.Parse("", text)
		if err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, text)
		}
		parsed.Name = s.Name
		if !reflect.DeepEqual(parsed, s) {
			t.Fatalf("seed %d: %+v\nis read as %+v\n%s", seed, s, parsed, text)
		}
		for _, fault := range s.Faults {
			kinds[fault.Kind]++
		}
	}
	for _, kind := range scenario.FaultNames() {
		if kinds[kind] == 0 {
			t.Errorf("%s is never drawn", kind)
		}
	}
}
