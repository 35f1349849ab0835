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
	Txns     float64          `cbor:"1,keyasint,omitempty"`
	Asked    float64          `cbor:"2,keyasint,omitempty"` // importance asked for
	Earned   float64          `cbor:"3,keyasint,omitempty"`
	Refused  float64          `cbor:"4,keyasint,omitempty"`
	Failed   float64          `cbor:"5,keyasint,omitempty"` // aborted, or the client left without an answer
	Answered float64          `cbor:"6,keyasint,omitempty"` // completed
	Time     float64          `cbor:"7,keyasint,omitempty"` // sum of ln(time / SLA time) of those
	Hops     float64          `cbor:"8,keyasint,omitempty"`
	Rules    map[string]Worth `cbor:"9,keyasint,omitempty"` // by remap rule
}

// Worth of a remap rule's txns.
type Worth struct {
	_                   struct{} `cbor:",toarray"`
	Txns, Asked, Earned float64
}

// MostRules are told apart; more come in under what all rules earn together.
const MostRules = 8

// Minus is what came since.
func (c Counts) Minus(o Counts) Counts { return c.add(o, -1) }

// Plus adds.
func (c Counts) Plus(o Counts) Counts { return c.add(o, 1) }

func (c Counts) add(o Counts, sign float64) Counts {
	d := Counts{Txns: c.Txns + sign*o.Txns, Asked: c.Asked + sign*o.Asked, Earned: c.Earned + sign*o.Earned, Refused: c.Refused + sign*o.Refused,
		Failed: c.Failed + sign*o.Failed, Answered: c.Answered + sign*o.Answered, Time: c.Time + sign*o.Time, Hops: c.Hops + sign*o.Hops}
	for _, rules := range []map[string]Worth{c.Rules, o.Rules} {
		for name := range rules {
			if d.Rules == nil {
				d.Rules = map[string]Worth{}
			}
			if a, b := c.Rules[name], o.Rules[name]; len(d.Rules) < MostRules || d.Rules[name] != (Worth{}) {
				d.Rules[name] = Worth{Txns: a.Txns + sign*b.Txns, Asked: a.Asked + sign*b.Asked, Earned: a.Earned + sign*b.Earned}
			}
		}
	}
	return d
}

// Figure is one that is compared; more is worse.
type Figure uint8

// Figures.
const (
	Loss     Figure = iota // of worth, as a share of what was asked for
	Refusals               // share of txns
	Failures               // the same
	Slowness               // mean ln(time / SLA time) of completed txns: 0.18 is a fifth slower
	Hops                   // a txn
	Figures
)

var figureNames = [Figures]string{"loss of worth", "refusals", "failures", "slowness", "hops a txn"}

func (f Figure) String() string { return figureNames[f] }

// of tells a figure; false: nothing was told of it.
func (f Figure) of(c Counts) (float64, bool) {
	switch f {
	case Loss:
		return 1 - c.Earned/max(c.Asked, 1e-9), true
	case Refusals:
		return c.Refused / max(c.Txns, 1), true
	case Failures:
		return c.Failed / max(c.Txns, 1), true
	case Slowness:
		return c.Time / max(c.Answered, 1), c.Answered > 0
	}
	return c.Hops / max(c.Txns, 1), c.Hops > 0
}

// Settings of a judgement.
type Settings struct {
	Chance float64          // of stopping one that is the same, over all figures and looks
	Bear   [Figures]float64 // differences that are borne: no stop for less
	Rule   float64          // loss of worth of a single remap rule that is borne
	Most   float64          // the loss of worth that must be ruled out for a pass
	Least  float64          // txns of each arm that make a moment
	Skip   int64            // microseconds from a router's change on that are left out
}

// Default settings: a loss of 0.05 must be ruled out; half a hundredth of refusals and
// failures, and a hundredth of worth, are borne, since two routers of an office never
// see quite the same; so are a twentieth of the time and of a hop, and 0.03 of what a
// single remap rule earns.
func Default() Settings {
	return Settings{Chance: 0.05, Bear: [Figures]float64{0.01, 0.005, 0.005, 0.05, 0.05}, Rule: 0.03, Most: 0.05, Least: 25, Skip: 2_000_000}
}

// Word is what is said of a stage.
type Word uint8

// Words.
const (
	CantTell Word = iota // too little was seen; it is no pass
	Good                 // no figure is worse, and the loss that matters is ruled out
	Worse
)

func (w Word) String() string { return [...]string{"can't tell", "good", "worse"}[w] }

// Bound is a figure's difference, new less old, with the sequence's bounds.
type Bound struct {
	Mean, Low, High float64
	Moments         int
}

// Judge of one stage.
type Judge struct {
	set     Settings
	offices map[string]*pair
	diffs   [Figures][]float64
	rules   map[string]*ruled
	chance  [Figures]float64
	rule    float64 // chance of each rule
}

// pair is what an office's two arms have gathered since their last moment.
type pair struct{ old, new Counts }

// ruled is a remap rule's worth, judged for itself: its txns may be few, and its
// moments long.
type ruled struct {
	offices map[string]*[2]Worth
	diffs   []float64
}

// mostMoments kept of a stage: hours of them.
const mostMoments = 20_000

// mainShare of the stated chance goes to worth, refusals and failures, which most
// defects show in; the rest to all others together.
const mainShare = 0.8

// New judge. Stages share the chance of a false stop, and so do figures.
func New(set Settings, stages int) *Judge {
	j := &Judge{set: set, offices: map[string]*pair{}, rules: map[string]*ruled{}}
	each := set.Chance / float64(max(stages, 1))
	const main, rest = 3, float64(Figures - 3 + MostRules)
	for f := range Figures {
		if j.chance[f] = each * mainShare / main; f > Failures {
			j.chance[f] = each * (1 - mainShare) / rest
		}
	}
	j.rule = each * (1 - mainShare) / rest
	return j
}

// Skip is how long after its change a router is left out, microseconds.
func (j *Judge) Skip() int64 { return j.set.Skip }

// Add notes what a router of an office did over a moment.
func (j *Judge) Add(office string, isNew bool, c Counts) {
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
	for name, w := range c.Rules {
		r := j.rules[name]
		if r == nil && len(j.rules) < MostRules {
			r = &ruled{offices: map[string]*[2]Worth{}}
			j.rules[name] = r
		}
		if r == nil {
			continue
		}
		if r.offices[office] == nil {
			r.offices[office] = &[2]Worth{}
		}
		x := &r.offices[office][arm]
		x.Txns, x.Asked, x.Earned = x.Txns+w.Txns, x.Asked+w.Asked, x.Earned+w.Earned
	}
}

// Moment ends one: all offices whose two arms have seen enough make one difference
// together, weighed by the smaller arm. What strikes an office strikes both its arms;
// what strikes one moment is one sample, however many offices it struck.
func (j *Judge) Moment() {
	var weight, sum [Figures]float64
	for _, p := range j.offices {
		w := min(p.old.Txns, p.new.Txns)
		if w < j.set.Least {
			continue
		}
		for f := range Figures {
			a, known := f.of(p.new)
			b, both := f.of(p.old)
			if known && both {
				weight[f] += w
				sum[f] += w * (a - b)
			}
		}
		*p = pair{}
	}
	for f := range Figures {
		if weight[f] > 0 && len(j.diffs[f]) < mostMoments {
			j.diffs[f] = append(j.diffs[f], sum[f]/weight[f])
		}
	}
	for _, r := range j.rules {
		weight, sum := 0.0, 0.0
		for _, x := range r.offices {
			w := min(x[0].Txns, x[1].Txns)
			if w < j.set.Least {
				continue
			}
			weight += w
			sum += w * (x[0].Earned/max(x[0].Asked, 1e-9) - x[1].Earned/max(x[1].Asked, 1e-9))
			*x = [2]Worth{}
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

// Bound tells a figure's.
func (j *Judge) Bound(f Figure) Bound { return j.bound(j.diffs[f], j.chance[f]) }

func (j *Judge) bound(d []float64, chance float64) Bound {
	n := float64(len(d))
	if len(d) < 2 {
		return Bound{Low: math.Inf(-1), High: math.Inf(1), Moments: len(d)}
	}
	// floor keeps a figure that has not moved yet from being certain: a single txn of
	// the least moment, once in all of them.
	floor := 1 / (j.set.Least * math.Sqrt(n))
	sd := max(spread(d), floor)
	half := sd * Width(len(d), chance)
	m := stat.Mean(d, nil)
	return Bound{m, m - half, m + half, len(d)}
}

// Rules are the remap rules that were seen in both arms, by name.
func (j *Judge) Rules() (names []string) {
	for name, r := range j.rules {
		if len(r.diffs) > 0 {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// OfRule tells the loss of worth of a remap rule's txns, and its moments.
func (j *Judge) OfRule(name string) (Bound, []float64) {
	d := j.rules[name].diffs
	return j.bound(d, j.rule), d
}

// tightAt is the number of moments at which the bounds are tightest for their chance.
const tightAt = 60

// Width is half of the sequence's, in standard deviations of a moment, after n moments.
func Width(n int, chance float64) float64 {
	v := -math.Log(chance*chance) + math.Log(-math.Log(chance*chance)) + 1
	rho2 := v / tightAt
	x := float64(n)*rho2 + 1
	return math.Sqrt(2 * x / (float64(n) * float64(n) * rho2) * math.Log(math.Sqrt(x)/(chance/2)))
}

// Moments are a figure's differences so far.
func (j *Judge) Moments(f Figure) []float64 { return j.diffs[f] }

// Say judges what was seen. Why names the figure.
func (j *Judge) Say() (w Word, why string) {
	if len(j.diffs[0]) < leastMoments {
		return CantTell, fmt.Sprintf("%d moments, %d are wanted", len(j.diffs[0]), leastMoments)
	}
	for f := range Figures {
		if b := j.Bound(f); b.Moments >= leastMoments && b.Low > j.set.Bear[f] {
			return Worse, fmt.Sprintf("%v: %+.4f, at least %+.4f, %.4f is borne (%d moments)", f, b.Mean, b.Low, j.set.Bear[f], b.Moments)
		}
	}
	for _, name := range j.Rules() {
		if b, _ := j.OfRule(name); b.Moments >= leastMoments && b.Low > j.set.Rule {
			return Worse, fmt.Sprintf("%v of %s: %+.4f, at least %+.4f, %.4f is borne (%d moments)", Loss, name, b.Mean, b.Low, j.set.Rule, b.Moments)
		}
	}
	b := j.Bound(Loss)
	if b.High < j.set.Most {
		return Good, fmt.Sprintf("%v: %+.4f, at most %+.4f (%d moments)", Loss, b.Mean, b.High, b.Moments)
	}
	return CantTell, fmt.Sprintf("%v: %+.4f, from %+.4f to %+.4f (%d moments)", Loss, b.Mean, b.Low, b.High, b.Moments)
}

// Fell tells whether a whole fleet loses more worth than it did before: where nobody is
// left to compare with, this is all that can be asked. By how much at the least, by the
// bounds of both means. It can't tell a change from trouble that began with it.
func Fell(set Settings, stages int, before, after []float64) (by float64, fell bool) {
	if len(before) < leastMoments || len(after) < leastMoments {
		return 0, false
	}
	chance := New(set, stages).chance[Loss]
	low := func(d []float64) (mean, half float64) { return stat.Mean(d, nil), spread(d) * Width(len(d), chance/2) }
	b, bh := low(before)
	a, ah := low(after)
	by = a - ah - b - bh
	return by, by > set.Most
}

// LossOf is the share of importance that was not earned; false: too few txns.
func (s *Settings) LossOf(c Counts) (float64, bool) {
	loss, _ := Loss.of(c)
	return loss, c.Txns >= s.Least
}

// Needed is how many moments tell a loss apart, for a spread of moments: it is found
// where it is there (stop), and the loss that matters is ruled out where there is none
// (pass). 0: not within most of them.
func Needed(set Settings, stages int, sd, loss float64, most int) (stop, pass int) {
	chance := New(set, stages).chance[Loss]
	at := func(gap float64) int {
		for n := leastMoments; n <= most; n += max(n/50, 1) {
			if sd*Width(n, chance) < gap {
				return n
			}
		}
		return 0
	}
	return at(loss - set.Bear[Loss]), at(set.Most)
}
