package simulation

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"quilldoor/internal/scenario"
)

// Phases of a run, by their names in results.
const (
	phaseWarmUp = "settle" // excluded from EarnedShare and from the counts of kilobytes
	phaseCalm   = "calm"
	phaseFault  = "trouble" // at least one fault is in force
)

// Phases are the phases of a run, in order.
var Phases = []string{phaseWarmUp, phaseCalm, phaseFault}

// Bounds of the latency histograms.
const (
	minLatency         = 100 // microseconds
	maxLatency         = 60 * second
	latencySignificant = 3 // significant decimal digits
)

// Result is the outcome of a run. Its JSON keys differ from its field names and are kept for compatibility. Counts
// include the warm-up unless their comments say otherwise; ClassResult counts by phase.
type Result struct {
	Classes  []*ClassResult `json:"Rules"` // by traffic class
	Timeline []Second
	Faults   []string `json:"Troubles"` // faults that started, with their times

	ClientAttempts     int            `json:"Taken"`       // attempts of clients that reached routers
	Attempts           int            `json:"Hops"`        // attempts that routers sent to servers
	TimedOut           int            `json:"Lost"`        // attempts of clients that timed out without an answer
	AttemptOutcomes    map[string]int `json:"Ends"`        // responses of servers by outcome
	Collapsed          int            `json:"Fallen"`      // servers that collapsed while they warmed up
	OriginStops        int            `json:"LedgerStops"` // stops of the origin after too many arrivals
	Forwarded          int            `json:"Crossed"`     // requests that were forwarded to another site
	ForwardedCompleted int            `json:"CrossedDone"` // forwarded requests that the other site completed
	FilledKB           float64        // transferred into offices, after the warm-up
	OriginKB           float64        `json:"LedgerKB"` // sent by the origin, after the warm-up
	RequestedKB        float64        `json:"AskedKB"`  // requested by clients, after the warm-up

	current Second // the second in progress
}

// ClassResult is the outcome of a traffic class.
type ClassResult struct {
	Name      string
	Phases    map[string]*Outcomes
	latencies *hdrhistogram.Histogram // microseconds, from a client's first attempt
}

// Outcomes counts requests. A client's attempts at one request count as one.
type Outcomes struct {
	Requests       int     `json:"Asked"`
	InTime         int     // completed within the latency objective
	Late           int     // completed after it
	Stale          int     // InTime or Late, with a copy past its freshness time
	Rejected       int     `json:"Refused"` // not completed, and a retry would be safe
	Failed         int     // not completed, and it may have been executed
	EarnedWeight   float64 `json:"Worth"`     // priority weight that was earned
	PossibleWeight float64 `json:"WorthMost"` // priority weight if all had completed in time with fresh copies
}

// Second is one second of the timeline.
type Second struct {
	At              int // seconds from the start
	Requests        int `json:"Asked"`
	InTime          int
	Late            int
	NotCompleted    int     `json:"None"`     // requests without a usable answer
	Attempts        int     `json:"Hops"`     // attempts in flight at the end of the second
	ActiveFaults    int     `json:"Troubles"` // faults in force at the end of the second
	Servers         int     // caches that are up at the end of the second
	LinkUtilization float64 `json:"LinkUse"` // utilization of the offices' links

	filledKB float64 // transferred over all offices' links since the start
}

func newResult(s *scenario.Scenario) *Result {
	r := &Result{AttemptOutcomes: map[string]int{}}
	for _, class := range s.Classes() {
		r.Classes = append(r.Classes, &ClassResult{
			Name: class.Name, Phases: map[string]*Outcomes{},
			latencies: hdrhistogram.New(minLatency, maxLatency, latencySignificant),
		})
	}
	return r
}

// EarnedShare is the earned share of the priority weight of all requests after the warm-up.
func (r *Result) EarnedShare() float64 {
	earned := 0.0
	possible := 0.0
	for _, class := range r.Classes {
		for _, phase := range Phases[1:] {
			if outcomes := class.Phases[phase]; outcomes != nil {
				earned += outcomes.EarnedWeight
				possible += outcomes.PossibleWeight
			}
		}
	}
	if possible == 0 {
		return 0
	}
	return earned / possible
}

// Quantile is a quantile of the latency of completed requests in microseconds, from the client's first attempt.
// Requests of the warm-up are included.
func (r *ClassResult) Quantile(q float64) int64 { return r.latencies.ValueAtQuantile(q) }
