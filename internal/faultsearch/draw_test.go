package faultsearch

import (
	"math/rand/v2"
	"reflect"
	"testing"

	"quilldoor/internal/scenario"
)

// The same seed draws the same scenario, Parse reads back the same scenario from the output of
// Marshal, and every kind of fault is drawn.
func TestDrawIsReproducibleAndReadable(t *testing.T) {
	kinds := map[string]int{}
	for seed := range uint64(500) {
		draw := func() *scenario.Scenario { return Draw(rand.New(rand.NewPCG(seed, 1)), DefaultSpace()) }
		s := draw()
		if !reflect.DeepEqual(s, draw()) {
			t.Fatalf("seed %d draws a different scenario the second time", seed)
		}
		text, err := Marshal(s)
		if err != nil {
			t.Fatalf("seed %d: marshal the scenario: %v", seed, err)
		}
		parsed, err := scenario.Parse("", text)
		if err != nil {
			t.Fatalf("seed %d: parse the marshalled scenario: %v\n%s", seed, err, text)
		}
		parsed.Name = s.Name
		if !reflect.DeepEqual(parsed, s) {
			t.Fatalf("seed %d: scenario %+v\nis parsed as %+v\n%s", seed, s, parsed, text)
		}
		for _, fault := range s.Faults {
			kinds[fault.Kind]++
		}
	}
	for _, kind := range scenario.FaultNames() {
		if kinds[kind] == 0 {
			t.Errorf("fault kind %q is never drawn", kind)
		}
	}
}
