package emulator

import (
	"math"

	"quilldoor/internal/canary"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/simulation"
)

// rolloutRequest is the state of an unanswered request that the canary analysis needs.
type rolloutRequest struct {
	receivedAt int64
	class      string
	attempts   int
}

// minLatencyMicros is the lower bound of counted latencies. It is needed because their logarithms,
// which have no lower bound, are summed.
const minLatencyMicros = 1000

// record tracks the requests in the event log.
func (r *rolloutRun) record(entry *eventlog.Entry) {
	switch entry.Kind {
	case eventlog.KindReceived:
		r.pending[entry.Request] = &rolloutRequest{receivedAt: entry.At, class: entry.Class}
	case eventlog.KindSent:
		if request := r.pending[entry.Request]; request != nil {
			request.attempts++
		}
	case eventlog.KindAnswered, eventlog.KindClientTimedOut:
		if request := r.pending[entry.Request]; request != nil {
			delete(r.pending, entry.Request)
			r.count(entry, request)
		}
	}
}

// count adds a request that has ended to its router's canary counts. It differs from the router's
// own counting in two points: late responses earn nothing, and every transfer counts as
// assumedTransferMicros.
func (r *rolloutRun) count(entry *eventlog.Entry, request *rolloutRequest) {
	weight := r.weights[request.class]
	counts := &r.states[entry.Router].counts
	counts.Requests++
	counts.WeightOffered += weight
	counts.Attempts += float64(request.attempts)
	earned := 0.0
	switch simulation.AnswerOutcome(entry.Outcome) {
	case simulation.AnswerCompleted:
		earned = r.countCompleted(entry, request)
	case simulation.AnswerRejected:
		counts.Rejected++
	default:
		counts.Failed++
	}
	counts.WeightEarned += earned
	countClass(counts, request.class, weight, earned)
}

// countCompleted counts a completed request and returns the weight that it earned: its class's
// weight if it met the latency objective, otherwise 0.
func (r *rolloutRun) countCompleted(entry *eventlog.Entry, request *rolloutRequest) float64 {
	counts := &r.states[entry.Router].counts
	objective := r.objectives[request.class]
	latency := entry.At - request.receivedAt
	counts.Completed++
	counts.LogLatencySum += math.Log(float64(max(latency, minLatencyMicros)) / float64(objective))
	if r.config.ExtraTimeShare > 0 && r.servesNewProgram(entry.Router) {
		r.countHarmedRequest()
	}
	if latency > objective {
		return 0
	}
	return r.weights[request.class]
}

// countClass counts a request in the counts of its traffic class.
func countClass(counts *canary.Counts, name string, offered, earned float64) {
	if counts.Classes == nil {
		counts.Classes = map[string]canary.ClassCounts{}
	}
	class := counts.Classes[name]
	class.Requests++
	class.WeightOffered += offered
	class.WeightEarned += earned
	counts.Classes[name] = class
}
