package canary

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// arms plays two arms that fail by chance, with an office's trouble that both share and
// with shares that wander for each arm alone, and returns what was said and when.
func arms(seed uint64, worse, refuse, wander float64, moments int) (Verdict, int) {
	dice := rand.New(rand.NewPCG(seed, 7))
	j := New(DefaultSettings(), 3)
	w := [2]float64{}
	for at := 1; at <= moments; at++ {
		trouble := 0.03
		if at%40 > 28 { // both lose much
			trouble = 0.3
		}
		for arm := range 2 {
			w[arm] = 0.7*w[arm] + wander*dice.NormFloat64()
			p := min(max(trouble+w[arm], 0), 1)
			var c Counts
			for range 40 {
				c.Requests++
				c.WeightOffered++
				switch {
				case arm == 1 && dice.Float64() < refuse:
					c.Rejected++
				case dice.Float64() < p+float64(arm)*worse:
				default:
					c.WeightEarned++
				}
			}
			j.Observe("o", arm == 1, c)
		}
		if j.EndSample(); at%3 == 0 {
			if word, _ := j.Verdict(); word != VerdictInconclusive {
				return word, at
			}
		}
	}
	return VerdictInconclusive, moments
}

// The same program is stopped seldom, looked at all the time, in calm, in trouble and
// with neighbours that wander; a loss of 0.05 and 4% refused without need pass seldom.
func TestWords(t *testing.T) {
	const runs, moments = 400, 400
	play := func(worse, refuse, wander float64) (n [3]int) {
		for seed := range uint64(runs) {
			w, _ := arms(seed, worse, refuse, wander, moments)
			n[w]++
		}
		return n
	}
	for _, wander := range []float64{0, 0.02} {
		if n := play(0, 0, wander); n[VerdictWorse] > runs/20 || n[VerdictPass] < runs*8/10 {
			t.Errorf("the same, wander %g: %v", wander, n)
		}
		if n := play(0.06, 0, wander); n[VerdictPass] > runs/20 || n[VerdictWorse] < runs/2 {
			t.Errorf("0.06 worse, wander %g: %v", wander, n)
		}
		if n := play(0, 0.04, wander); n[VerdictPass] > runs/20 || n[VerdictWorse] < runs/2 {
			t.Errorf("4%% refused, wander %g: %v", wander, n)
		}
	}
	// Too little seen is no pass.
	if w, at := arms(1, 0, 0, 0, 5); w != VerdictInconclusive || at != 5 {
		t.Error(w, at)
	}
	j := New(DefaultSettings(), 1)
	for range 100 {
		j.Observe("o", true, Counts{Requests: 100, WeightOffered: 100, WeightEarned: 100}) // nothing beside it
		j.EndSample()
	}
	if w, _ := j.Verdict(); w != VerdictInconclusive {
		t.Error(w)
	}
}

// The bounds hold at all moments together: means of pure chance leave them seldom.
func TestSequenceHolds(t *testing.T) {
	const runs, moments, chance = 2000, 500, 0.05
	left := 0
	for seed := range uint64(runs) {
		dice := rand.New(rand.NewPCG(seed, 3))
		sum := 0.0
		for n := 1; n <= moments; n++ {
			sum += dice.NormFloat64()
			if n >= leastMoments && math.Abs(sum/float64(n)) > HalfWidth(n, chance) {
				left++
				break
			}
		}
	}
	if t.Logf("%d of %d left the bounds", left, runs); left > runs*chance*1.3 {
		t.Error("more than their chance")
	}
	if stop, pass := SamplesNeeded(DefaultSettings(), 3, 0.05, 0.05, 5000); stop == 0 || pass == 0 || stop < pass {
		t.Error(stop, pass)
	}
}

// Slowness, hops and single rules are told apart, what one arm does not tell is not
// compared, and a fleet that loses more than before is seen to.
func TestOtherFigures(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*Counts)
		says   string
	}{
		{"the same", func(*Counts) {}, ""},
		{"a fifth slower", func(c *Counts) { c.LogLatencySum += 0.18 * c.Completed }, "slowness"},
		{"a hop more for one in five", func(c *Counts) { c.Attempts += 0.2 * c.Requests }, "hops a txn"},
		{"a rule that fails", func(c *Counts) { c.Classes["accept"] = ClassCounts{Requests: 30, WeightOffered: 30, WeightEarned: 24} }, "loss of worth of accept"},
		{"an earlier text", func(c *Counts) { c.Completed, c.LogLatencySum, c.Attempts, c.Classes = 0, 0, 0, nil }, ""},
	} {
		dice := rand.New(rand.NewPCG(3, 3))
		j := New(DefaultSettings(), 3)
		for range 120 {
			for arm := range 2 {
				k := Counts{Requests: 60, WeightOffered: 60, WeightEarned: 59, Completed: 60, Attempts: 66, Classes: map[string]ClassCounts{"accept": {Requests: 30, WeightOffered: 30, WeightEarned: 29}}}
				for range 60 {
					k.LogLatencySum += dice.NormFloat64() * 0.5
				}
				if arm == 1 {
					c.change(&k)
				}
				j.Observe("o", arm == 1, k)
			}
			j.EndSample()
		}
		w, why := j.Verdict()
		if (w == VerdictWorse) != (c.says != "") || !strings.HasPrefix(why, c.says) {
			t.Errorf("%s: %v, %s", c.name, w, why)
		}
	}
	before, after := make([]float64, 40), make([]float64, 40)
	for i := range before {
		before[i], after[i] = 0.01*float64(i%3), 0.01*float64(i%3)
	}
	if by, fell := FleetRegressed(DefaultSettings(), 3, before, after); fell {
		t.Error(by)
	}
	for i := range after {
		after[i] += 0.2
	}
	if by, fell := FleetRegressed(DefaultSettings(), 3, before, after); !fell || by < 0.1 || by > 0.2 {
		t.Error(by, fell)
	}
	if _, fell := FleetRegressed(DefaultSettings(), 3, nil, after); fell {
		t.Error("it fell from nothing")
	}
	c := Counts{Classes: map[string]ClassCounts{}}
	for i := range 3 * MaxClasses {
		c = c.Plus(Counts{Classes: map[string]ClassCounts{fmt.Sprint("r", i): {Requests: 1}}})
	}
	if len(c.Classes) > MaxClasses {
		t.Error(len(c.Classes))
	}
}
