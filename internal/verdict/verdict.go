// Package verdict decides whether routers that run something new do worse than those
// beside them that run the old: paired by office and moment, looked at as often as one
// likes. It does no I/O and has no clock of its own.
//
// For each figure it keeps the differences of the moments, and an asymptotic confidence
// sequence for their mean (Waudby-Smith, Arbour, Sinha, Kennedy, Ramdas: Time-uniform
// central limit theory and asymptotic confidence sequences, 2021, theorem 2.2): bounds
// that hold at all moments together with a stated chance, so that looking often costs
// nothing.
package verdict

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Counts of one router since its start, or over a moment. Worth is in units of
// importance.
type Counts struct {
	Txns    float64 `cbor:"1,keyasint,omitempty"`
	Asked   float64 `cbor:"2,keyasint,omitempty"` // importance asked for
	Earned  float64 `cbor:"3,keyasint,omitempty"`
	Refused float64 `cbor:"4,keyasint,omitempty"`
	Failed  float64 `cbor:"5,keyasint,omitempty"` // aborted, or the client left without an answer
}

// Minus is what came since.
func (c Counts) Minus(o Counts) Counts {
	return Counts{c.Txns - o.Txns, c.Asked - o.Asked, c.Earned - o.Earned, c.Refused - o.Refused, c.Failed - o.Failed}
}

// Plus adds.
func (c Counts) Plus(o Counts) Counts {
	return Counts{c.Txns + o.Txns, c.Asked + o.Asked, c.Earned + o.Earned, c.Refused + o.Refused, c.Failed + o.Failed}
}

// Figure is one that is compared; more is worse.
type Figure uint8

// Figures.
const (
	Loss Figure = iota // of worth, as a share of what was asked for
	Refusals
	Failures
	Figures
)

var figureNames = [Figures]string{"loss of worth", "refusals", "failures"}

func (f Figure) String() string { return figureNames[f] }

func (f Figure) of(c Counts) float64 {
	switch f {
	case Loss:
		return 1 - c.Earned/max(c.Asked, 1e-9)
	case Refusals:
		return c.Refused / max(c.Txns, 1)
	}
	return c.Failed / max(c.Txns, 1)
}

// Settings of a judgement.
type Settings struct {
	Chance float64          // of stopping one that is the same, over all figures and looks
	Bear   [Figures]float64 // differences that are borne: no stop for less
	Most   float64          // the loss of worth that must be ruled out for a pass
	Least  float64          // txns of each arm in a moment; a moment lasts until there are so many
	Skip   int64            // microseconds from a router's change on that are left out
}

// Default settings: a loss of 0.05 must be ruled out; half a hundredth of refusals and
// failures, and a hundredth of worth, are borne, since two routers of an office never
// see quite the same.
func Default() Settings {
	return Settings{Chance: 0.05, Bear: [Figures]float64{0.01, 0.005, 0.005}, Most: 0.05, Least: 25, Skip: 2_000_000}
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
	chance  float64 // of each figure
}

// pair is what an office's two arms have gathered since their last moment.
type pair struct{ old, new Counts }

// mostMoments kept of a stage: hours of them.
const mostMoments = 20_000

// New judge. Stages share the chance of a false stop.
func New(set Settings, stages int) *Judge {
	return &Judge{set: set, offices: map[string]*pair{}, chance: set.Chance / float64(Figures) / float64(max(stages, 1))}
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
	if isNew {
		p.new = p.new.Plus(c)
	} else {
		p.old = p.old.Plus(c)
	}
}

// Moment ends one: all offices whose two arms have seen enough make one difference
// together, weighed by the smaller arm. What strikes an office strikes both its arms;
// what strikes one moment is one sample, however many offices it struck.
func (j *Judge) Moment() {
	var weight float64
	var sum [Figures]float64
	for _, p := range j.offices {
		w := min(p.old.Txns, p.new.Txns)
		if w < j.set.Least {
			continue
		}
		weight += w
		for f := range Figures {
			sum[f] += w * (f.of(p.new) - f.of(p.old))
		}
		*p = pair{}
	}
	if weight == 0 || len(j.diffs[0]) >= mostMoments {
		return
	}
	for f := range Figures {
		j.diffs[f] = append(j.diffs[f], sum[f]/weight)
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
func (j *Judge) Bound(f Figure) Bound {
	d := j.diffs[f]
	n := float64(len(d))
	if len(d) < 2 {
		return Bound{Low: math.Inf(-1), High: math.Inf(1), Moments: len(d)}
	}
	// floor keeps a figure that has not moved yet from being certain: a single txn of
	// the least moment, once in all of them.
	floor := 1 / (j.set.Least * math.Sqrt(n))
	sd := max(spread(d), floor)
	half := sd * Width(len(d), j.chance)
	m := stat.Mean(d, nil)
	return Bound{m, m - half, m + half, len(d)}
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
		if b := j.Bound(f); b.Low > j.set.Bear[f] {
			return Worse, fmt.Sprintf("%v: %+.4f, at least %+.4f, %.4f is borne (%d moments)", f, b.Mean, b.Low, j.set.Bear[f], b.Moments)
		}
	}
	b := j.Bound(Loss)
	if b.High < j.set.Most {
		return Good, fmt.Sprintf("%v: %+.4f, at most %+.4f (%d moments)", Loss, b.Mean, b.High, b.Moments)
	}
	return CantTell, fmt.Sprintf("%v: %+.4f, from %+.4f to %+.4f (%d moments)", Loss, b.Mean, b.Low, b.High, b.Moments)
}

// Needed is how many moments tell a loss apart, for a spread of moments: it is found
// where it is there (stop), and the loss that matters is ruled out where there is none
// (pass). 0: not within most of them.
func Needed(set Settings, stages int, sd, loss float64, most int) (stop, pass int) {
	chance := set.Chance / float64(Figures) / float64(max(stages, 1))
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
