package main

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simulation"
)

// windowRecorder counts the requests that came within the window after the upgrade.
type windowRecorder struct {
	weights         map[string]float64 // priority weight by traffic class
	open            map[string]openRequest
	latency         *hdrhistogram.Histogram
	earned, offered float64 // weight
}

// openRequest is a request without a response so far.
type openRequest struct {
	at    int64 // microseconds
	class string
}

func newWindowRecorder(s *scenario.Scenario, latency *hdrhistogram.Histogram) *windowRecorder {
	recorder := &windowRecorder{weights: map[string]float64{}, open: map[string]openRequest{}, latency: latency}
	for _, class := range s.Classes() {
		recorder.weights[class.Name] = class.PriorityWeight
	}
	return recorder
}

// record takes the events of the run in order.
func (w *windowRecorder) record(entry *eventlog.Entry) {
	from, to := upgradeAt.Microseconds(), (upgradeAt + upgradeWindow).Microseconds()
	switch entry.Kind {
	case eventlog.KindTaken:
		if entry.At >= from && entry.At < to {
			w.open[entry.Request] = openRequest{at: entry.At, class: entry.Class}
			w.offered += w.weights[entry.Class]
		}
	case eventlog.KindAnswered:
		if request, ok := w.open[entry.Request]; ok && entry.Outcome == string(simulation.AnswerCompleted) {
			w.latency.RecordValue(entry.At - request.at)
			w.earned += w.weights[request.class]
		}
	}
}
