package faultsearch

import (
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"

	"quilldoor/internal/scenario"
)

// A day that is drawn is a script that can be written down and read again, and the same
// seed draws the same.
func TestDraw(t *testing.T) {
	kinds := map[string]int{}
	for seed := range uint64(500) {
		draw := func() *scenario.Scenario { return Draw(rand.New(rand.NewPCG(seed, 1)), Default()) }
		s := draw()
		if !reflect.DeepEqual(s, draw()) {
			t.Fatalf("seed %d draws another day", seed)
		}
		text, err := Text(s)
		if err != nil {
			t.Fatal(err)
		}
		r, err := scenario.Parse("", text)
		if err != nil {
			t.Fatalf("seed %d: %v\n%s", seed, err, text)
		}
		if r.Name = s.Name; !reflect.DeepEqual(r, s) {
			t.Fatalf("seed %d: %+v\nis read as %+v\n%s", seed, s, r, text)
		}
		for _, x := range s.Faults {
			kinds[x.Kind]++
		}
	}
	for _, k := range scenario.FaultNames() {
		if kinds[k] == 0 {
			t.Errorf("%s is never drawn", k)
		}
	}
}

// What matters stays, all else goes; the plays are bounded.
func TestShrink(t *testing.T) {
	needs := func(s *scenario.Scenario) bool {
		has := func(kind string, long float64) bool {
			return slices.ContainsFunc(s.Faults, func(t scenario.Fault) bool { return t.Kind == kind && t.For >= long })
		}
		return has("purge", 0) && has("die", 1) && s.Fleet.Caches >= 2 && s.Load.RequestsPerS >= 30
	}
	for seed := range uint64(50) {
		dice := rand.New(rand.NewPCG(seed, 2))
		s := Draw(dice, Default())
		for _, k := range []string{"purge", "die", "deploy", "burst"} {
			s.Faults = append(s.Faults, trouble(dice, s, k))
		}
		for i := range s.Faults {
			s.Faults[i].For = max(s.Faults[i].For, 1)
		}
		s.Load.RequestsPerS = 200
		was := Copy(s)
		c, plays := Shrink(s, needs, 2000)
		if !reflect.DeepEqual(s, was) {
			t.Fatal("it has changed what it was given")
		}
		if !needs(c) || len(c.Faults) != 2 || c.Fleet.Caches != 2 || c.Load.RequestsPerS > 60 || c.Fleet.Offices != 1 || c.Fleet.Membership {
			text, _ := Text(c)
			t.Fatalf("seed %d, %d plays:\n%s", seed, plays, text)
		}
		if _, plays := Shrink(s, needs, 7); plays > 7 {
			t.Errorf("%d plays of 7", plays)
		}
	}
}
