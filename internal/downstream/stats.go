package downstream

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"quilldoor/internal/engine"
)

// RequestCounts holds the number of requests since the start by outcome. ClientGone
// counts requests whose client disconnected without a response; Late counts late
// responses, whatever their outcome. The fields match those of
// upgrade.RequestCounts, to which a value is converted.
type RequestCounts struct {
	Completed, Rejected, Aborted, ClientGone, Late int64

	WeightOffered, WeightEarned float64               // sums of priority weights of the traffic classes
	LogLatencySum               float64               // sum of ln(latency / objective) of completed requests
	Attempts                    int64                 // of all requests
	Classes                     map[string][3]float64 // by class: requests, weight offered, weight earned
}

// minLatencyMicros is the lower bound of latencies and objectives in LogLatencySum,
// in microseconds: being faster has no further value.
const minLatencyMicros = 1000.0

// stats holds the server's counters since its start.
type stats struct {
	completed       atomic.Int64
	rejected        atomic.Int64
	failed          atomic.Int64
	clientGone      atomic.Int64
	late            atomic.Int64 // responses more than ResponseGrace / 2 after their deadlines
	lateUncollected atomic.Int64 // those of late that are newer than the last CollectStats

	mu            sync.Mutex // guards the fields below
	weightOffered float64
	weightEarned  float64
	logLatencySum float64
	attempts      int64
	classes       map[string]classStats // by class name; bounded, since the settings list the classes
}

// classStats holds the sums of one traffic class.
type classStats struct {
	requests      float64
	weightOffered float64
	weightEarned  float64
}

// countOutcome counts a request by its final command.
func (s *stats) countOutcome(kind engine.CommandKind) {
	switch kind {
	case engine.CommandRespond:
		s.completed.Add(1)
	case engine.CommandReject:
		s.rejected.Add(1)
	case engine.CommandFail:
		s.failed.Add(1)
	}
}

// countWeight adds a request to the sums of weights, latencies and attempts. A
// completed request earns the full priority weight of its class within the latency
// objective, and the class's LateValueShare of it after that. The objective grows
// by ObjectiveStretch times the time to send responseBytes at the client rate.
func (s *Server) countWeight(r *clientRequest, completed bool, responseBytes, attempts int) {
	class, _ := s.engine.Class(r.event.Class)
	earned, logLatency := 0.0, 0.0
	if completed {
		objective := float64(class.LatencyObjective)
		if s.clientRate > 0 {
			objective += class.ObjectiveStretch * float64(responseBytes) / s.clientRate * 1e6
		}
		latency := float64((time.Since(r.arrivedAt) + r.stalled).Microseconds())
		earned = class.PriorityWeight
		if latency > objective {
			earned *= class.LateValueShare
		}
		logLatency = math.Log(max(latency, minLatencyMicros) / max(objective, minLatencyMicros))
	}
	s.stats.mu.Lock()
	defer s.stats.mu.Unlock()
	s.stats.weightOffered += class.PriorityWeight
	s.stats.weightEarned += earned
	s.stats.logLatencySum += logLatency
	s.stats.attempts += int64(attempts)
	totals := s.stats.classes[class.Name]
	totals.requests++
	totals.weightOffered += class.PriorityWeight
	totals.weightEarned += earned
	s.stats.classes[class.Name] = totals
}

// RequestCounts returns the counts since the start.
func (s *Server) RequestCounts() RequestCounts {
	s.stats.mu.Lock()
	defer s.stats.mu.Unlock()
	classes := map[string][3]float64{}
	for name, class := range s.stats.classes {
		classes[name] = [3]float64{class.requests, class.weightOffered, class.weightEarned}
	}
	return RequestCounts{
		Completed:     s.stats.completed.Load(),
		Rejected:      s.stats.rejected.Load(),
		Aborted:       s.stats.failed.Load(),
		ClientGone:    s.stats.clientGone.Load(),
		Late:          s.stats.late.Load(),
		WeightOffered: s.stats.weightOffered,
		WeightEarned:  s.stats.weightEarned,
		LogLatencySum: s.stats.logLatencySum,
		Attempts:      s.stats.attempts,
		Classes:       classes,
	}
}

// CollectStats returns the number of client connections, and the number of late
// responses since the last call.
func (s *Server) CollectStats() (clients int, late int64) {
	return s.Clients(), s.stats.lateUncollected.Swap(0)
}
