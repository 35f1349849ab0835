package canary

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// playArms plays two arms of one office whose requests fail at random, with faults that
// both share and loss rates that wander for each arm alone, and returns the first
// verdict and its sample.
func playArms(seed uint64, newWorseBy, newRejects, wander float64, samples int) (Verdict, int) {
	random := rand.New(rand.NewPCG(seed, 7))
	a := New(DefaultSettings(), 3)
	offset := [2]float64{}
	for at := 1; at <= samples; at++ {
		lossRate := 0.03
		if at%40 > 28 { // a fault of the office
			lossRate = 0.3
		}
		for side := range 2 {
			offset[side] = 0.7*offset[side] + wander*random.NormFloat64()
			p := min(max(lossRate+offset[side], 0), 1)
			var c Counts
			for range 40 {
				c.Requests++
				c.WeightOffered++
				switch {
				case side == 1 && random.Float64() < newRejects:
					c.Rejected++
				case random.Float64() < p+float64(side)*newWorseBy:
				default:
					c.WeightEarned++
				}
			}
			a.Observe("o", side == 1, c)
		}
		if a.EndSample(); at%3 == 0 {
			if v, _ := a.Verdict(); v != VerdictInconclusive {
				return v, at
			}
		}
	}
	return VerdictInconclusive, samples
}

// A generation that is the same is stopped rarely, although the verdict is asked for all
// the time, without faults, with them, and with neighbouring samples that hang together.
// A loss of 0.06 and 4% of needless rejections pass rarely.
func TestVerdictsHoldTheirErrorProbability(t *testing.T) {
	const runs, samples = 400, 400
	play := func(newWorseBy, newRejects, wander float64) (verdicts [3]int) {
		for seed := range uint64(runs) {
			v, _ := playArms(seed, newWorseBy, newRejects, wander, samples)
			verdicts[v]++
		}
		return verdicts
	}
	for _, wander := range []float64{0, 0.02} {
		if n := play(0, 0, wander); n[VerdictWorse] > runs/20 || n[VerdictPass] < runs*8/10 {
			t.Errorf("the same, wander %g: %v", wander, n)
		}
		if n := play(0.06, 0, wander); n[VerdictPass] > runs/20 || n[VerdictWorse] < runs/2 {
			t.Errorf("0.06 worse, wander %g: %v", wander, n)
		}
		if n := play(0, 0.04, wander); n[VerdictPass] > runs/20 || n[VerdictWorse] < runs/2 {
			t.Errorf("4%% rejected, wander %g: %v", wander, n)
		}
	}
	// Too few samples are no pass.
	if v, at := playArms(1, 0, 0, 0, 5); v != VerdictInconclusive || at != 5 {
		t.Error(v, at)
	}
	// Neither is an arm without another to compare with.
	a := New(DefaultSettings(), 1)
	for range 100 {
		a.Observe("o", true, Counts{Requests: 100, WeightOffered: 100, WeightEarned: 100})
		a.EndSample()
	}
	if v, _ := a.Verdict(); v != VerdictInconclusive {
		t.Error(v)
	}
}

// The intervals cover the mean at all sample counts together: means of noise leave them
// as rarely as stated.
func TestSequenceCoversMeanAtAllSampleCounts(t *testing.T) {
	const runs, samples, errorProbability = 2000, 500, 0.05
	left := 0
	for seed := range uint64(runs) {
		random := rand.New(rand.NewPCG(seed, 3))
		sum := 0.0
		for n := 1; n <= samples; n++ {
			sum += random.NormFloat64()
			if n >= minSamples && math.Abs(sum/float64(n)) > HalfWidth(n, errorProbability) {
				left++
				break
			}
		}
	}
	if t.Logf("%d of %d left the intervals", left, runs); left > runs*errorProbability*1.3 {
		t.Error("more than stated")
	}
	if stop, pass := SamplesNeeded(DefaultSettings(), 3, 0.05, 0.05, 5000); stop == 0 || pass == 0 || stop < pass {
		t.Error(stop, pass)
	}
}

// Slowness, attempts and single classes are told apart, and what one arm does not report
// is not compared.
func TestVerdictNamesTheMetric(t *testing.T) {
	for _, c := range []struct {
		name       string
		change     func(*Counts) // of the new arm
		wantReason string        // prefix; "": not worse
	}{
		{"the same", func(*Counts) {}, ""},
		{"a fifth slower", func(c *Counts) { c.LogLatencySum += 0.18 * c.Completed }, "slowness"},
		{"an attempt more for one in five", func(c *Counts) { c.Attempts += 0.2 * c.Requests }, "attempts per request"},
		{"a class that fails", func(c *Counts) {
			c.Classes["accept"] = ClassCounts{Requests: 30, WeightOffered: 30, WeightEarned: 24}
		}, "lost weight of accept"},
		{"an earlier generation", func(c *Counts) {
			c.Completed, c.LogLatencySum, c.Attempts, c.Classes = 0, 0, 0, nil
		}, ""},
	} {
		random := rand.New(rand.NewPCG(3, 3))
		a := New(DefaultSettings(), 3)
		for range 120 {
			for side := range 2 {
				counts := Counts{
					Requests: 60, WeightOffered: 60, WeightEarned: 59, Completed: 60, Attempts: 66,
					Classes: map[string]ClassCounts{"accept": {Requests: 30, WeightOffered: 30, WeightEarned: 29}},
				}
				for range 60 {
					counts.LogLatencySum += random.NormFloat64() * 0.5
				}
				if side == 1 {
					c.change(&counts)
				}
				a.Observe("o", side == 1, counts)
			}
			a.EndSample()
		}
		v, reason := a.Verdict()
		if (v == VerdictWorse) != (c.wantReason != "") || !strings.HasPrefix(reason, c.wantReason) {
			t.Errorf("%s: %v, %s", c.name, v, reason)
		}
	}
}

func TestFleetRegressionNeedsSamplesBeforeAndAfter(t *testing.T) {
	before, after := make([]float64, 40), make([]float64, 40)
	for i := range before {
		before[i], after[i] = 0.01*float64(i%3), 0.01*float64(i%3)
	}
	if by, regressed := FleetRegressed(DefaultSettings(), 3, before, after); regressed {
		t.Error(by)
	}
	for i := range after {
		after[i] += 0.2
	}
	if by, regressed := FleetRegressed(DefaultSettings(), 3, before, after); !regressed || by < 0.1 || by > 0.2 {
		t.Error(by, regressed)
	}
	if _, regressed := FleetRegressed(DefaultSettings(), 3, nil, after); regressed {
		t.Error("it regressed from nothing")
	}
}

func TestCountsKeepToMaxClasses(t *testing.T) {
	c := Counts{Classes: map[string]ClassCounts{}}
	for i := range 3 * MaxClasses {
		c = c.Plus(Counts{Classes: map[string]ClassCounts{fmt.Sprint("r", i): {Requests: 1}}})
	}
	if len(c.Classes) > MaxClasses {
		t.Error(len(c.Classes))
	}
}
