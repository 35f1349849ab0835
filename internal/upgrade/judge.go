package upgrade

import (
	"fmt"
	"maps"
	"math"
)

// RequestCounts counts how txns ended since a generation's start.
type RequestCounts struct {
	Completed     int64   `cbor:"1,keyasint,omitempty"`
	Rejected      int64   `cbor:"2,keyasint,omitempty"`
	Aborted       int64   `cbor:"3,keyasint,omitempty"`
	ClientGone    int64   `cbor:"4,keyasint,omitempty" json:"Left"`   // the client went without an answer
	Late          int64   `cbor:"5,keyasint,omitempty"`               // of the answers
	WeightOffered float64 `cbor:"6,keyasint,omitempty" json:"Asked"`  // importance
	WeightEarned  float64 `cbor:"7,keyasint,omitempty" json:"Earned"` // of it, by the remap rules' SLA times
	LogLatencySum float64 `cbor:"8,keyasint,omitempty" json:"Time"`   // sum of ln(time / SLA time) of the completed
	Attempts      int64   `cbor:"9,keyasint,omitempty" json:"Hops"`   // of all
	// Classes have txns, importance asked for and earned, by remap rule.
	Classes map[string][3]float64 `cbor:"10,keyasint,omitempty" json:"Rules"`
}

func (e RequestCounts) all() int64 { return e.Completed + e.Rejected + e.Aborted + e.ClientGone }

func (e RequestCounts) bad() int64 { return min(e.Rejected+e.Aborted+e.ClientGone+e.Late, e.all()) }

func (e RequestCounts) since(o RequestCounts) RequestCounts {
	return RequestCounts{Completed: e.Completed - o.Completed, Rejected: e.Rejected - o.Rejected, Aborted: e.Aborted - o.Aborted, ClientGone: e.ClientGone - o.ClientGone, Late: e.Late - o.Late}
}

// Add adds.
func (e RequestCounts) Add(o RequestCounts) RequestCounts {
	rules := maps.Clone(e.Classes)
	for name, w := range o.Classes {
		if rules == nil {
			rules = map[string][3]float64{}
		}
		sum := rules[name]
		rules[name] = [3]float64{sum[0] + w[0], sum[1] + w[1], sum[2] + w[2]}
	}
	return RequestCounts{
		e.Completed + o.Completed, e.Rejected + o.Rejected, e.Aborted + o.Aborted, e.ClientGone + o.ClientGone, e.Late + o.Late, e.WeightOffered + o.WeightOffered, e.WeightEarned + o.WeightEarned,
		e.LogLatencySum + o.LogLatencySum, e.Attempts + o.Attempts, rules,
	}
}

// TrialMonitor compares a new generation on trial with what the old one did before. It
// stops what is plainly broken; small losses are for many routers to tell.
type TrialMonitor struct {
	before []RequestCounts // of what served, a sample a second, counted on over generations
	at     []int64
	base   RequestCounts // of the generations before the old one
	last   RequestCounts // of the old one
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

// ObserveOld notes what the old generation has done by now.
func (j *TrialMonitor) ObserveOld(now int64, e RequestCounts) {
	j.last = e
	if n := len(j.at); n > 0 && now-j.at[n-1] < second {
		return
	}
	j.at, j.before = append(j.at, now), append(j.before, j.base.Add(e))
	for len(j.at) > 1 && j.at[1] <= now-compareWith {
		j.at, j.before = j.at[1:], j.before[1:]
	}
}

// Promote says that a new generation is the old one now: what was before it counts on.
func (j *TrialMonitor) Promote() { j.base, j.last = j.base.Add(j.last), RequestCounts{} }

// ObserveNew notes what the new one has done by now; an error says how it is worse.
func (j *TrialMonitor) ObserveNew(e RequestCounts) error {
	n, bad := float64(e.all()), float64(e.bad())
	if n < leastTxns {
		return nil
	}
	m, was := 0.0, 0.0
	if len(j.before) > 0 {
		o := j.base.Add(j.last).since(j.before[0])
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
