package upgrade

import (
	"fmt"
	"maps"
	"math"
)

// Ends counts how txns ended since a generation's start.
type Ends struct {
	Completed int64   `cbor:"1,keyasint,omitempty"`
	Rejected  int64   `cbor:"2,keyasint,omitempty"`
	Aborted   int64   `cbor:"3,keyasint,omitempty"`
	Left      int64   `cbor:"4,keyasint,omitempty"` // the client went without an answer
	Late      int64   `cbor:"5,keyasint,omitempty"` // of the answers
	Asked     float64 `cbor:"6,keyasint,omitempty"` // importance
	Earned    float64 `cbor:"7,keyasint,omitempty"` // of it, by the remap rules' SLA times
	Time      float64 `cbor:"8,keyasint,omitempty"` // sum of ln(time / SLA time) of the completed
	Hops      int64   `cbor:"9,keyasint,omitempty"` // of all
	// Rules have txns, importance asked for and earned, by remap rule.
	Rules map[string][3]float64 `cbor:"10,keyasint,omitempty"`
}

func (e Ends) all() int64 { return e.Completed + e.Rejected + e.Aborted + e.Left }

func (e Ends) bad() int64 { return min(e.Rejected+e.Aborted+e.Left+e.Late, e.all()) }

func (e Ends) since(o Ends) Ends {
	return Ends{Completed: e.Completed - o.Completed, Rejected: e.Rejected - o.Rejected, Aborted: e.Aborted - o.Aborted, Left: e.Left - o.Left, Late: e.Late - o.Late}
}

// And adds.
func (e Ends) And(o Ends) Ends {
	rules := maps.Clone(e.Rules)
	for name, w := range o.Rules {
		if rules == nil {
			rules = map[string][3]float64{}
		}
		sum := rules[name]
		rules[name] = [3]float64{sum[0] + w[0], sum[1] + w[1], sum[2] + w[2]}
	}
	return Ends{e.Completed + o.Completed, e.Rejected + o.Rejected, e.Aborted + o.Aborted, e.Left + o.Left, e.Late + o.Late, e.Asked + o.Asked, e.Earned + o.Earned,
		e.Time + o.Time, e.Hops + o.Hops, rules}
}

// Judge compares a new generation on trial with what the old one did before. It
// stops what is plainly broken; small losses are for many routers to tell.
type Judge struct {
	before []Ends // of what served, a sample a second, counted on over generations
	at     []int64
	base   Ends // of the generations before the old one
	last   Ends // of the old one
}

const (
	// compareWith is how long before the hand-over the old one's share is taken from.
	compareWith = 30 * second
	// leastTxns on trial before anything is said.
	leastTxns = 30
	// A new one is worse when its share of txns without a good end is above the old
	// one's by worseBy and by worseSigma standard errors: with a look a second over half
	// a minute, chance alone does that less than once in a million changes. Trouble that
	// begins with the trial may do it; then the old one serves in it, at no loss.
	worseBy, worseSigma = 0.2, 6.0
)

// Old notes what the old generation has done by now.
func (j *Judge) Old(now int64, e Ends) {
	j.last = e
	if n := len(j.at); n > 0 && now-j.at[n-1] < second {
		return
	}
	j.at, j.before = append(j.at, now), append(j.before, j.base.And(e))
	for len(j.at) > 1 && j.at[1] <= now-compareWith {
		j.at, j.before = j.at[1:], j.before[1:]
	}
}

// Follows says that a new generation is the old one now: what was before it counts on.
func (j *Judge) Follows() { j.base, j.last = j.base.And(j.last), Ends{} }

// New notes what the new one has done by now; an error says how it is worse.
func (j *Judge) New(e Ends) error {
	n, bad := float64(e.all()), float64(e.bad())
	if n < leastTxns {
		return nil
	}
	m, was := 0.0, 0.0
	if len(j.before) > 0 {
		o := j.base.And(j.last).since(j.before[0])
		m, was = float64(o.all()), float64(o.bad())
	}
	p, q := bad/n, was/max(m, 1)
	all := (bad + was) / (n + m)
	err := math.Sqrt(all * (1 - all) * (1/n + 1/max(m, leastTxns)))
	if p-q > worseBy && p-q > worseSigma*err {
		return fmt.Errorf("%.0f of %.0f txns without a good end, %.0f of %.0f before", bad, n, was, m)
	}
	return nil
}
