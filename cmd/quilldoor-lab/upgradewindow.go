package main

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simulation"
)

// windowRecorder measures the earned weight and the latency of the requests that routers received in
// the window after the upgrade.
type windowRecorder struct {
	weights         map[string]float64 // priority weight by traffic class
	pending         map[string]pendingRequest
	latency         *hdrhistogram.Histogram
	earned, offered float64 // priority weight in the window
}

// pendingRequest is a request that awaits its response.
type pendingRequest struct {
	receivedAt int64 // microseconds from the start of the run
	class      string
}

func newWindowRecorder(s *scenario.Scenario, latency *hdrhistogram.Histogram) *windowRecorder {
	recorder := &windowRecorder{weights: map[string]float64{}, pending: map[string]pendingRequest{}, latency: latency}
	for _, class := range s.Classes() {
		recorder.weights[class.Name] = class.PriorityWeight
	}
	return recorder
}

// record processes an entry of the event log. Entries must come in order.
func (w *windowRecorder) record(entry *eventlog.Entry) {
	from, to := upgradeAt.Microseconds(), (upgradeAt + upgradeWindow).Microseconds()
	switch entry.Kind {
	case eventlog.KindReceived:
		if entry.At >= from && entry.At < to {
			w.pending[entry.Request] = pendingRequest{receivedAt: entry.At, class: entry.Class}
			w.offered += w.weights[entry.Class]
		}
	case eventlog.KindAnswered:
		if request, ok := w.pending[entry.Request]; ok && entry.Outcome == string(simulation.AnswerCompleted) {
			w.latency.RecordValue(entry.At - request.receivedAt)
			w.earned += w.weights[request.class]
		}
	}
}
