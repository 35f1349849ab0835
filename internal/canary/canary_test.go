package canary

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"testing"
)

// simulateArms simulates two arms of one zone whose requests fail at random. Faults of the
// zone affect both arms; an autocorrelated offset, whose steps have the deviation lossNoise,
// affects the loss rate of each arm separately. The new arm loses newWorseBy more and rejects
// the share newRejects. It returns the first conclusive verdict and its number of samples.
func simulateArms(seed uint64, newWorseBy, newRejects, lossNoise float64, samples int) (Verdict, int) {
	random := rand.New(rand.NewPCG(seed, 7))
	a := New(DefaultSettings(), 3)
	lossOffset := [2]float64{}
	for sample := 1; sample <= samples; sample++ {
		lossRate := 0.03
		if sample%40 > 28 { // a fault of the zone
			lossRate = 0.3
		}
		for side := range 2 {
			lossOffset[side] = 0.7*lossOffset[side] + lossNoise*random.NormFloat64()
			lossProbability := min(max(lossRate+lossOffset[side], 0), 1)
			var counts Counts
			for range 40 {
				counts.Requests++
				counts.WeightOffered++
				switch {
				case side == 1 && random.Float64() < newRejects:
					counts.Rejected++
				case random.Float64() < lossProbability+float64(side)*newWorseBy: // its weight is lost
				default:
					counts.WeightEarned++
				}
			}
			a.Observe("o", side == 1, counts)
		}
		if a.EndSample(); sample%3 == 0 {
			if verdict, _ := a.Verdict(); verdict != VerdictInconclusive {
				return verdict, sample
			}
		}
	}
	return VerdictInconclusive, samples
}

// Guards against verdicts that are wrong more often than stated, although they are requested
// every three samples, amid faults, and with independent or autocorrelated samples: a
// generation that does no worse is rarely stopped, and one with 0.06 more loss or 4% needless
// rejections rarely passes.
func TestVerdictsHoldTheirErrorProbability(t *testing.T) {
	const runs, samples = 400, 400
	countVerdicts := func(newWorseBy, newRejects, lossNoise float64) (verdicts [3]int) {
		for seed := range uint64(runs) {
			verdict, _ := simulateArms(seed, newWorseBy, newRejects, lossNoise, samples)
			verdicts[verdict]++
		}
		return verdicts
	}
	for _, lossNoise := range []float64{0, 0.02} {
		if n := countVerdicts(0, 0, lossNoise); n[VerdictWorse] > runs/20 || n[VerdictPass] < runs*8/10 {
			t.Errorf("no worse, loss noise %g: verdicts (inconclusive, pass, worse) %v", lossNoise, n)
		}
		if n := countVerdicts(0.06, 0, lossNoise); n[VerdictPass] > runs/20 || n[VerdictWorse] < runs/2 {
			t.Errorf("0.06 more loss, loss noise %g: verdicts (inconclusive, pass, worse) %v", lossNoise, n)
		}
		if n := countVerdicts(0, 0.04, lossNoise); n[VerdictPass] > runs/20 || n[VerdictWorse] < runs/2 {
			t.Errorf("4%% rejected, loss noise %g: verdicts (inconclusive, pass, worse) %v", lossNoise, n)
		}
	}
	// Too few samples don't pass.
	if verdict, sample := simulateArms(1, 0, 0, 0, 5); verdict != VerdictInconclusive || sample != 5 {
		t.Errorf("verdict %q at sample %d of 5, want it inconclusive after all", verdict, sample)
	}
	// A new arm without an old one to compare it with doesn't pass either.
	a := New(DefaultSettings(), 1)
	for range 100 {
		a.Observe("o", true, Counts{Requests: 100, WeightOffered: 100, WeightEarned: 100})
		a.EndSample()
	}
	if verdict, _ := a.Verdict(); verdict != VerdictInconclusive {
		t.Errorf("verdict %q without an old arm", verdict)
	}
}

// Guards against intervals that exclude the true mean, at any of the sample counts together,
// more often than stated.
func TestSequenceCoversMeanAtAllSampleCounts(t *testing.T) {
	const runs, samples, errorProbability = 2000, 500, 0.05
	excluded := 0
	for seed := range uint64(runs) {
		random := rand.New(rand.NewPCG(seed, 3))
		sum := 0.0
		for n := 1; n <= samples; n++ {
			sum += random.NormFloat64()
			if n >= minSamples && math.Abs(sum/float64(n)) > HalfWidth(n, errorProbability) {
				excluded++
				break
			}
		}
	}
	if t.Logf("%d of %d runs exclude the mean", excluded, runs); excluded > runs*errorProbability*1.3 {
		t.Errorf("%d of %d runs exclude the mean, with a stated probability of %g", excluded, runs, errorProbability)
	}
	if stop, pass := SamplesNeeded(DefaultSettings(), 3, 0.05, 0.05, 5000); stop == 0 || pass == 0 || stop < pass {
		t.Errorf("%d samples needed to stop, %d to pass; want both, and no fewer to stop", stop, pass)
	}
}

// Guards against a verdict that names the wrong metric or class, and against a comparison of
// fields that one arm does not report.
func TestVerdictNamesTheMetric(t *testing.T) {
	for _, c := range []struct {
		name       string
		change     func(*Counts) // applied to the counts of the new arm
		wantReason string        // prefix of the reason; "": the verdict is not VerdictWorse
	}{
		{"no change", func(*Counts) {}, ""},
		{"a fifth slower", func(c *Counts) { c.LogLatencySum += 0.18 * c.Completed }, "slowness"},
		{"one more attempt for one request in five", func(c *Counts) { c.Attempts += 0.2 * c.Requests }, "attempts per request"},
		{"more loss in one class", func(c *Counts) {
			c.Classes["accept"] = ClassCounts{Requests: 30, WeightOffered: 30, WeightEarned: 24}
		}, "lost weight of accept"},
		{"a generation that reports fewer fields", func(c *Counts) {
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
		verdict, reason := a.Verdict()
		if (verdict == VerdictWorse) != (c.wantReason != "") || !strings.HasPrefix(reason, c.wantReason) {
			t.Errorf("%s: verdict %q, reason %q, want it to begin with %q", c.name, verdict, reason, c.wantReason)
		}
	}
}

func TestFleetRegressionNeedsSamplesBeforeAndAfter(t *testing.T) {
	before, after := make([]float64, 40), make([]float64, 40)
	for i := range before {
		before[i], after[i] = 0.01*float64(i%3), 0.01*float64(i%3)
	}
	if by, regressed := FleetRegressed(DefaultSettings(), 3, before, after); regressed {
		t.Errorf("equal losses before and after regressed by %g", by)
	}
	for i := range after {
		after[i] += 0.2
	}
	if by, regressed := FleetRegressed(DefaultSettings(), 3, before, after); !regressed || by < 0.1 || by > 0.2 {
		t.Errorf("0.2 more loss: regressed %v by at least %g, want 0.1 to 0.2", regressed, by)
	}
	if _, regressed := FleetRegressed(DefaultSettings(), 3, nil, after); regressed {
		t.Error("regressed without samples from before the change")
	}
}

func TestCountsKeepToMaxClasses(t *testing.T) {
	c := Counts{Classes: map[string]ClassCounts{}}
	for i := range 3 * MaxClasses {
		c = c.Plus(Counts{Classes: map[string]ClassCounts{fmt.Sprint("r", i): {Requests: 1}}})
	}
	if len(c.Classes) > MaxClasses {
		t.Errorf("counts hold %d classes, at most %d are allowed", len(c.Classes), MaxClasses)
	}
}
