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

	current Second
}

// RuleResult is that of a remap rule, by phase.
type RuleResult struct {
	Name      string
	Phases    map[string]*Outcomes
	latencies *hdrhistogram.Histogram
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
	filledKB                        float64
}

func newResult(s *scenario.Scenario) *Result {
	r := &Result{Ends: map[string]int{}}
	for _, class := range s.Classes() {
		r.Rules = append(r.Rules, &RuleResult{
			Name: class.Name, Phases: map[string]*Outcomes{},
			latencies: hdrhistogram.New(100, 60_000_000, 3),
		})
	}
	return r
}

func (r *Result) outcomes(client *client) *Outcomes {
	rule := r.Rules[client.rule]
	outcomes := rule.Phases[client.phase]
	if outcomes == nil {
		outcomes = &Outcomes{}
		rule.Phases[client.phase] = outcomes
	}
	return outcomes
}

func (r *Result) countRequest(w *World, client *client) {
	r.current.Asked++
	outcomes := r.outcomes(client)
	outcomes.Asked++
	outcomes.WorthMost += w.classes[client.rule].PriorityWeight
	if client.phase != "settle" && client.rule != scenario.ClassAccept {
		r.AskedKB += w.catalogue.size(client.object, client.part)
	}
}

// countFill counts bytes that come into an office, and those from the ledger.
func (r *Result) countFill(w *World, kb float64, ledger bool) {
	if w.currentPhase() == "settle" {
		return
	}
	r.FilledKB += kb
	if ledger {
		r.LedgerKB += kb
	}
}

// countCompleted counts an answer by how long the client waited from its first try.
func (r *Result) countCompleted(w *World, client *client, issuedAt int64) {
	class := &w.classes[client.rule]
	latency := w.now - client.startedAt
	r.Rules[client.rule].latencies.RecordValue(latency)
	work := w.catalogue.size(client.object, client.part) / w.scenario.Fleet.FlowKBPerS * 1e6
	if class.Write {
		work = 0
	}
	outcomes, weight := r.outcomes(client), class.PriorityWeight
	if latency <= class.LatencyObjective+int64(class.ObjectiveStretch*work) {
		outcomes.InTime++
		r.current.InTime++
	} else {
		outcomes.Late++
		r.current.Late++
		weight *= class.LateValueShare
	}
	if !class.Write && class.FreshFor > 0 && w.now-issuedAt > class.FreshFor {
		outcomes.Stale++
		weight *= class.StaleValueShare
	}
	outcomes.Worth += weight
}

func (r *Result) countFailed(_ *World, client *client, harmless bool) {
	r.current.None++
	if outcomes := r.outcomes(client); harmless {
		outcomes.Refused++
	} else {
		outcomes.Failed++
	}
}

func (r *Result) closeSecond(w *World) {
	finished := r.current
	finished.At, finished.Troubles, finished.Hops = int(w.now/second), w.activeFaults, len(w.attempts)
	for _, servers := range w.caches {
		for _, server := range servers {
			if server.up {
				finished.Servers++
			}
		}
	}
	finished.filledKB = 0
	total := 0.0
	for _, link := range w.links {
		link.advance()
		finished.filledKB += link.served
		total += link.totalRate * 1e6
	}
	finished.LinkUse = (finished.filledKB - r.current.filledKB) / total
	r.Timeline = append(r.Timeline, finished)
	r.current = Second{filledKB: finished.filledKB}
}

// Phases of a run, in order.
var Phases = []string{"settle", "calm", "trouble"}

// Worth is the share of the importance asked for that was earned, past settling.
func (r *Result) Worth() float64 {
	earned, possible := 0.0, 0.0
	for _, class := range r.Rules {
		for _, phase := range Phases[1:] {
			if outcomes := class.Phases[phase]; outcomes != nil {
				earned, possible = earned+outcomes.Worth, possible+outcomes.WorthMost
			}
		}
	}
	if possible == 0 {
		return 0
	}
	return earned / possible
}

// Quantile of the time that clients of a rule waited for what they got, from
// their first try, in microseconds; the settling time counts too.
func (k *RuleResult) Quantile(q float64) int64 { return k.latencies.ValueAtQuantile(q) }
