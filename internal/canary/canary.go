// Package canary decides whether routers that run something new do worse than those
// beside them that run the old: paired by office and moment, looked at as often as one
// likes. It does no I/O and has no clock of its own.
//
// For each figure it keeps the differences of the moments, and an asymptotic confidence
// sequence for their mean (Waudby-Smith, Arbour, Sinha, Kennedy, Ramdas: Time-uniform
// central limit theory and asymptotic confidence sequences, 2021, theorem 2.2): bounds
// that hold at all moments together with a stated chance, so that looking often costs
// nothing.
package canary

import (
	"fmt"
	"math"
	"slices"

	"gonum.org/v1/gonum/stat"
)

// Counts of one router since its start, or over a moment. Worth is in units of
// importance. What an earlier text does not tell is zero, and not compared.
type Counts struct {
	Requests      float64                `cbor:"1,keyasint,omitempty" json:"Txns"`
	WeightOffered float64                `cbor:"2,keyasint,omitempty" json:"Asked"` // importance asked for
	WeightEarned  float64                `cbor:"3,keyasint,omitempty" json:"Earned"`
	Rejected      float64                `cbor:"4,keyasint,omitempty" json:"Refused"`
	Failed        float64                `cbor:"5,keyasint,omitempty"`                 // aborted, or the client left without an answer
	Completed     float64                `cbor:"6,keyasint,omitempty" json:"Answered"` // completed
	LogLatencySum float64                `cbor:"7,keyasint,omitempty" json:"Time"`     // sum of ln(time / SLA time) of those
	Attempts      float64                `cbor:"8,keyasint,omitempty" json:"Hops"`
	Classes       map[string]ClassCounts `cbor:"9,keyasint,omitempty" json:"Rules"` // by remap rule
}

// ClassCounts of a remap rule's txns.
type ClassCounts struct {
	_             struct{} `cbor:",toarray"`
	Requests      float64  `json:"Txns"`
	WeightOffered float64  `json:"Asked"`
	WeightEarned  float64  `json:"Earned"`
}

// MaxClasses are told apart; more come in under what all rules earn together.
const MaxClasses = 8

// Minus is what came since.
func (c Counts) Minus(o Counts) Counts { return c.add(o, -1) }

// Plus adds.
func (c Counts) Plus(o Counts) Counts { return c.add(o, 1) }

func (c Counts) add(o Counts, sign float64) Counts {
	d := Counts{
		Requests: c.Requests + sign*o.Requests, WeightOffered: c.WeightOffered + sign*o.WeightOffered, WeightEarned: c.WeightEarned + sign*o.WeightEarned, Rejected: c.Rejected + sign*o.Rejected,
		Failed: c.Failed + sign*o.Failed, Completed: c.Completed + sign*o.Completed, LogLatencySum: c.LogLatencySum + sign*o.LogLatencySum, Attempts: c.Attempts + sign*o.Attempts,
	}
	for _, rules := range []map[string]ClassCounts{c.Classes, o.Classes} {
		for name := range rules {
			if d.Classes == nil {
				d.Classes = map[string]ClassCounts{}
			}
			if a, b := c.Classes[name], o.Classes[name]; len(d.Classes) < MaxClasses || d.Classes[name] != (ClassCounts{}) {
				d.Classes[name] = ClassCounts{Requests: a.Requests + sign*b.Requests, WeightOffered: a.WeightOffered + sign*b.WeightOffered, WeightEarned: a.WeightEarned + sign*b.WeightEarned}
			}
		}
	}
	return d
}

// Metric is one that is compared; more is worse.
type Metric uint8

// Figures.
const (
	MetricLoss       Metric = iota // of worth, as a share of what was asked for
	MetricRejections               // share of txns
	MetricFailures                 // the same
	MetricSlowness                 // mean ln(time / SLA time) of completed txns: 0.18 is a fifth slower
	MetricAttempts                 // a txn
	MetricCount
)

var figureNames = [MetricCount]string{"loss of worth", "refusals", "failures", "slowness", "hops a txn"}

func (f Metric) String() string { return figureNames[f] }

// of tells a figure; false: nothing was told of it.
func (f Metric) of(c Counts) (float64, bool) {
	switch f {
	case MetricLoss:
		return 1 - c.WeightEarned/max(c.WeightOffered, 1e-9), true
	case MetricRejections:
		return c.Rejected / max(c.Requests, 1), true
	case MetricFailures:
		return c.Failed / max(c.Requests, 1), true
	case MetricSlowness:
		return c.LogLatencySum / max(c.Completed, 1), c.Completed > 0
	}
	return c.Attempts / max(c.Requests, 1), c.Attempts > 0
}

// Settings of a judgement.
type Settings struct {
	FalseStopProbability float64              // of stopping one that is the same, over all figures and looks
	Tolerance            [MetricCount]float64 // differences that are borne: no stop for less
	ClassTolerance       float64              // loss of worth of a single remap rule that is borne
	MaxLoss              float64              // the loss of worth that must be ruled out for a pass
	MinRequests          float64              // txns of each arm that make a moment
	SkipMicros           int64                // microseconds from a router's change on that are left out
}

// DefaultSettings settings: a loss of 0.05 must be ruled out; half a hundredth of refusals and
// failures, and a hundredth of worth, are borne, since two routers of an office never
// see quite the same; so are a twentieth of the time and of a hop, and 0.03 of what a
// single remap rule earns.
func DefaultSettings() Settings {
	return Settings{FalseStopProbability: 0.05, Tolerance: [MetricCount]float64{0.01, 0.005, 0.005, 0.05, 0.05}, ClassTolerance: 0.03, MaxLoss: 0.05, MinRequests: 25, SkipMicros: 2_000_000}
}

// Verdict is what is said of a stage.
type Verdict uint8

// Words.
const (
	VerdictInconclusive Verdict = iota // too little was seen; it is no pass
	VerdictPass                        // no figure is worse, and the loss that matters is ruled out
	VerdictWorse
)

func (w Verdict) String() string { return [...]string{"can't tell", "good", "worse"}[w] }

// Interval is a figure's difference, new less old, with the sequence's bounds.
type Interval struct {
	Mean, Low, High float64
	Samples         int
}

// Analyzer of one stage.
type Analyzer struct {
	set     Settings
	offices map[string]*pair
	diffs   [MetricCount][]float64
	rules   map[string]*ruled
	chance  [MetricCount]float64
	rule    float64 // chance of each rule
}

// pair is what an office's two arms have gathered since their last moment.
type pair struct{ old, new Counts }

// ruled is a remap rule's worth, judged for itself: its txns may be few, and its
// moments long.
type ruled struct {
	offices map[string]*[2]ClassCounts
	diffs   []float64
}

// mostMoments kept of a stage: hours of them.
const mostMoments = 20_000

// mainShare of the stated chance goes to worth, refusals and failures, which most
// defects show in; the rest to all others together.
const mainShare = 0.8

// New judge. Stages share the chance of a false stop, and so do figures.
func New(set Settings, stages int) *Analyzer {
	j := &Analyzer{set: set, offices: map[string]*pair{}, rules: map[string]*ruled{}}
	each := set.FalseStopProbability / float64(max(stages, 1))
	const main, rest = 3, float64(MetricCount - 3 + MaxClasses)
	for f := range MetricCount {
		if j.chance[f] = each * mainShare / main; f > MetricFailures {
			j.chance[f] = each * (1 - mainShare) / rest
		}
	}
	j.rule = each * (1 - mainShare) / rest
	return j
}

// SkipMicros is how long after its change a router is left out, microseconds.
func (j *Analyzer) SkipMicros() int64 { return j.set.SkipMicros }

// Observe notes what a router of an office did over a moment.
func (j *Analyzer) Observe(office string, isNew bool, c Counts) {
	p := j.offices[office]
	if p == nil {
		p = &pair{}
		j.offices[office] = p
	}
	arm := 0
	if isNew {
		p.new, arm = p.new.Plus(c), 1
	} else {
		p.old = p.old.Plus(c)
	}
	for name, w := range c.Classes {
		r := j.rules[name]
		if r == nil && len(j.rules) < MaxClasses {
			r = &ruled{offices: map[string]*[2]ClassCounts{}}
			j.rules[name] = r
		}
		if r == nil {
			continue
		}
		if r.offices[office] == nil {
			r.offices[office] = &[2]ClassCounts{}
		}
		x := &r.offices[office][arm]
		x.Requests, x.WeightOffered, x.WeightEarned = x.Requests+w.Requests, x.WeightOffered+w.WeightOffered, x.WeightEarned+w.WeightEarned
	}
}

// EndSample ends one: all offices whose two arms have seen enough make one difference
// together, weighed by the smaller arm. What strikes an office strikes both its arms;
// what strikes one moment is one sample, however many offices it struck.
func (j *Analyzer) EndSample() {
	var weight, sum [MetricCount]float64
	for _, p := range j.offices {
		w := min(p.old.Requests, p.new.Requests)
		if w < j.set.MinRequests {
			continue
		}
		for f := range MetricCount {
			a, known := f.of(p.new)
			b, both := f.of(p.old)
			if known && both {
				weight[f] += w
				sum[f] += w * (a - b)
			}
		}
		*p = pair{}
	}
	for f := range MetricCount {
		if weight[f] > 0 && len(j.diffs[f]) < mostMoments {
			j.diffs[f] = append(j.diffs[f], sum[f]/weight[f])
		}
	}
	for _, r := range j.rules {
		weight, sum := 0.0, 0.0
		for _, x := range r.offices {
			w := min(x[0].Requests, x[1].Requests)
			if w < j.set.MinRequests {
				continue
			}
			weight += w
			sum += w * (x[0].WeightEarned/max(x[0].WeightOffered, 1e-9) - x[1].WeightEarned/max(x[1].WeightOffered, 1e-9))
			*x = [2]ClassCounts{}
		}
		if weight > 0 && len(r.diffs) < mostMoments {
			r.diffs = append(r.diffs, sum/weight)
		}
	}
}

// leastMoments before anything is said: the sequence's bounds are those of many.
const leastMoments = 15

// batch is how many moments' means the spread is taken from, as well as from single
// ones; the larger counts. Trouble lasts for seconds, and makes neighbours alike.
const batch = 5

// spread is the standard deviation that moments would have if they did not hang
// together.
func spread(d []float64) float64 {
	_, one := stat.MeanStdDev(d, nil)
	var means []float64
	for i := 0; i+batch <= len(d); i += batch {
		means = append(means, stat.Mean(d[i:i+batch], nil))
	}
	if len(means) < 3 {
		return one
	}
	_, many := stat.MeanStdDev(means, nil)
	return max(one, many*math.Sqrt(batch))
}

// Interval tells a figure's.
func (j *Analyzer) Interval(f Metric) Interval { return j.bound(j.diffs[f], j.chance[f]) }

func (j *Analyzer) bound(d []float64, chance float64) Interval {
	n := float64(len(d))
	if len(d) < 2 {
		return Interval{Low: math.Inf(-1), High: math.Inf(1), Samples: len(d)}
	}
	// floor keeps a figure that has not moved yet from being certain: a single txn of
	// the least moment, once in all of them.
	floor := 1 / (j.set.MinRequests * math.Sqrt(n))
	sd := max(spread(d), floor)
	half := sd * HalfWidth(len(d), chance)
	m := stat.Mean(d, nil)
	return Interval{m, m - half, m + half, len(d)}
}

// Classes are the remap rules that were seen in both arms, by name.
func (j *Analyzer) Classes() (names []string) {
	for name, r := range j.rules {
		if len(r.diffs) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// ClassInterval tells the loss of worth of a remap rule's txns, and its moments.
func (j *Analyzer) ClassInterval(name string) (Interval, []float64) {
	d := j.rules[name].diffs
	return j.bound(d, j.rule), d
}

// tightAt is the number of moments at which the bounds are tightest for their chance.
const tightAt = 60

// HalfWidth is half of the sequence's, in standard deviations of a moment, after n moments.
func HalfWidth(n int, chance float64) float64 {
	v := -math.Log(chance*chance) + math.Log(-math.Log(chance*chance)) + 1
	rho2 := v / tightAt
	x := float64(n)*rho2 + 1
	return math.Sqrt(2 * x / (float64(n) * float64(n) * rho2) * math.Log(math.Sqrt(x)/(chance/2)))
}

// Samples are a figure's differences so far.
func (j *Analyzer) Samples(f Metric) []float64 { return j.diffs[f] }

// Verdict judges what was seen. Why names the figure.
func (j *Analyzer) Verdict() (w Verdict, why string) {
	if len(j.diffs[0]) < leastMoments {
		return VerdictInconclusive, fmt.Sprintf("%d moments, %d are wanted", len(j.diffs[0]), leastMoments)
	}
	for f := range MetricCount {
		if b := j.Interval(f); b.Samples >= leastMoments && b.Low > j.set.Tolerance[f] {
			return VerdictWorse, fmt.Sprintf("%v: %+.4f, at least %+.4f, %.4f is borne (%d moments)", f, b.Mean, b.Low, j.set.Tolerance[f], b.Samples)
		}
	}
	for _, name := range j.Classes() {
		if b, _ := j.ClassInterval(name); b.Samples >= leastMoments && b.Low > j.set.ClassTolerance {
			return VerdictWorse, fmt.Sprintf("%v of %s: %+.4f, at least %+.4f, %.4f is borne (%d moments)", MetricLoss, name, b.Mean, b.Low, j.set.ClassTolerance, b.Samples)
		}
	}
	b := j.Interval(MetricLoss)
	if b.High < j.set.MaxLoss {
		return VerdictPass, fmt.Sprintf("%v: %+.4f, at most %+.4f (%d moments)", MetricLoss, b.Mean, b.High, b.Samples)
	}
	return VerdictInconclusive, fmt.Sprintf("%v: %+.4f, from %+.4f to %+.4f (%d moments)", MetricLoss, b.Mean, b.Low, b.High, b.Samples)
}

// FleetRegressed tells whether a whole fleet loses more worth than it did before: where nobody is
// left to compare with, this is all that can be asked. By how much at the least, by the
// bounds of both means. It can't tell a change from trouble that began with it.
func FleetRegressed(set Settings, stages int, before, after []float64) (by float64, fell bool) {
	if len(before) < leastMoments || len(after) < leastMoments {
		return 0, false
	}
	chance := New(set, stages).chance[MetricLoss]
	low := func(d []float64) (mean, half float64) {
		return stat.Mean(d, nil), spread(d) * HalfWidth(len(d), chance/2)
	}
	b, bh := low(before)
	a, ah := low(after)
	by = a - ah - b - bh
	return by, by > set.MaxLoss
}

// LossOf is the share of importance that was not earned; false: too few txns.
func (s *Settings) LossOf(c Counts) (float64, bool) {
	loss, _ := MetricLoss.of(c)
	return loss, c.Requests >= s.MinRequests
}

// SamplesNeeded is how many moments tell a loss apart, for a spread of moments: it is found
// where it is there (stop), and the loss that matters is ruled out where there is none
// (pass). 0: not within most of them.
func SamplesNeeded(set Settings, stages int, sd, loss float64, most int) (stop, pass int) {
	chance := New(set, stages).chance[MetricLoss]
	at := func(gap float64) int {
		for n := leastMoments; n <= most; n += max(n/50, 1) {
			if sd*HalfWidth(n, chance) < gap {
				return n
			}
		}
		return 0
	}
	return at(loss - set.Tolerance[MetricLoss]), at(set.MaxLoss)
}
