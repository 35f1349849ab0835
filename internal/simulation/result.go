package simulation

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"quilldoor/internal/scenario"
)

// Result is what came of a run. Counts leave out requests that began while the
// run settled, but for those of servers and links.
type Result struct {
	Rules    []*RuleResult
	Timeline []Second
	Troubles []string

	Taken       int // tries that came to routers
	Hops        int
	Lost        int // tries whose time was over without an answer
	Ends        map[string]int
	Fallen      int // servers pushed over
	LedgerStops int
	Crossed     int     // txns handed over to another site
	CrossedDone int     // of those: completed there
	FilledKB    float64 // into offices
	LedgerKB    float64 // from the ledger
	AskedKB     float64 // all three past settling

	now Second
}

// RuleResult is that of a remap rule, by phase.
type RuleResult struct {
	Name   string
	Phases map[string]*Outcomes
	took   *hdrhistogram.Histogram
}

// Outcomes counts requests, a client's retries as part of the first try.
type Outcomes struct {
	Asked     int
	InTime    int // completed within the SLA time
	Late      int // completed after it
	Stale     int // of both: with a copy past its fresh time
	Refused   int // no answer, and trying again is harmless
	Failed    int // no answer, and it may have run
	Worth     float64
	WorthMost float64
}

// Second is a line of the timeline.
type Second struct {
	At                              int
	Asked, InTime, Late, None, Hops int
	Troubles                        int
	Servers                         int // caches up
	LinkUse                         float64
	filled                          float64
}

func newResult(s *scenario.Scenario) *Result {
	r := &Result{Ends: map[string]int{}}
	for _, k := range s.Classes() {
		r.Rules = append(r.Rules, &RuleResult{
			Name: k.Name, Phases: map[string]*Outcomes{},
			took: hdrhistogram.New(100, 60_000_000, 3),
		})
	}
	return r
}

func (r *Result) of(c *client) *Outcomes {
	rule := r.Rules[c.rule]
	o := rule.Phases[c.phase]
	if o == nil {
		o = &Outcomes{}
		rule.Phases[c.phase] = o
	}
	return o
}

func (r *Result) asked(w *World, c *client) {
	r.now.Asked++
	o := r.of(c)
	o.Asked++
	o.WorthMost += w.rules[c.rule].PriorityWeight
	if c.phase != "settle" && c.rule != scenario.ClassAccept {
		r.AskedKB += w.cat.size(c.object, c.part)
	}
}

// filled counts bytes that come into an office, and those from the ledger.
func (r *Result) filled(w *World, kb float64, ledger bool) {
	if w.phase() == "settle" {
		return
	}
	r.FilledKB += kb
	if ledger {
		r.LedgerKB += kb
	}
}

// completed counts an answer by how long the client waited from its first try.
func (r *Result) completed(w *World, c *client, issued int64) {
	k := &w.rules[c.rule]
	took := w.now - c.first
	r.Rules[c.rule].took.RecordValue(took)
	work := w.cat.size(c.object, c.part) / w.set.Fleet.FlowKBPerS * 1e6
	if k.Write {
		work = 0
	}
	o, worth := r.of(c), k.PriorityWeight
	if took <= k.LatencyObjective+int64(k.ObjectiveStretch*work) {
		o.InTime++
		r.now.InTime++
	} else {
		o.Late++
		r.now.Late++
		worth *= k.LateValueShare
	}
	if !k.Write && k.FreshFor > 0 && w.now-issued > k.FreshFor {
		o.Stale++
		worth *= k.StaleValueShare
	}
	o.Worth += worth
}

func (r *Result) failed(_ *World, c *client, harmless bool) {
	r.now.None++
	if o := r.of(c); harmless {
		o.Refused++
	} else {
		o.Failed++
	}
}

func (r *Result) second(w *World) {
	s := r.now
	s.At, s.Troubles, s.Hops = int(w.now/second), w.troubled, len(w.hops)
	for _, l := range w.caches {
		for _, c := range l {
			if c.up {
				s.Servers++
			}
		}
	}
	s.filled = 0
	total := 0.0
	for _, l := range w.links {
		l.advance()
		s.filled += l.served
		total += l.total * 1e6
	}
	s.LinkUse = (s.filled - r.now.filled) / total
	r.Timeline = append(r.Timeline, s)
	r.now = Second{filled: s.filled}
}

// Phases of a run, in order.
var Phases = []string{"settle", "calm", "trouble"}

// Worth is the share of the importance asked for that was earned, past settling.
func (r *Result) Worth() float64 {
	got, most := 0.0, 0.0
	for _, k := range r.Rules {
		for _, phase := range Phases[1:] {
			if o := k.Phases[phase]; o != nil {
				got, most = got+o.Worth, most+o.WorthMost
			}
		}
	}
	if most == 0 {
		return 0
	}
	return got / most
}

// Quantile of the time that clients of a rule waited for what they got, from
// their first try, in microseconds; the settling time counts too.
func (k *RuleResult) Quantile(q float64) int64 { return k.took.ValueAtQuantile(q) }
