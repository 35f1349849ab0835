package downstream

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"quilldoor/internal/engine"
)

// RequestCounts says how many requests ended how since the start. ClientGone: the
// client went without a response. Late are of all responses. Its fields are those
// of upgrade.RequestCounts, which it is converted to.
type RequestCounts struct {
	Completed, Rejected, Aborted, ClientGone, Late int64

	WeightOffered, WeightEarned float64               // priority weight, by the traffic classes
	LogLatencySum               float64               // sum of ln(latency / objective) of the completed
	Attempts                    int64                 // of all requests
	Classes                     map[string][3]float64 // by class: requests, weight offered, weight earned
}

// minLatencyMicros is the least latency that counts: what is sooner is as good.
const minLatencyMicros = 1000.0

// stats counts since the start.
type stats struct {
	completed       atomic.Int64
	rejected        atomic.Int64
	failed          atomic.Int64
	clientGone      atomic.Int64
	late            atomic.Int64 // responses after their deadlines
	lateUncollected atomic.Int64 // of them, those since CollectStats

	mu            sync.Mutex // for what follows
	weightOffered float64
	weightEarned  float64
	logLatencySum float64
	attempts      int64
	classes       map[string]classStats // the settings bound their names
}

type classStats struct {
	requests      float64
	weightOffered float64
	weightEarned  float64
}

// countEnd counts a request by the command that ended it.
func (s *stats) countEnd(kind engine.CommandKind) {
	switch kind {
	case engine.CommandRespond:
		s.completed.Add(1)
	case engine.CommandReject:
		s.rejected.Add(1)
	case engine.CommandFail:
		s.failed.Add(1)
	}
}

// weigh counts a request's weight, and what its response of some bytes earns of
// it: all within the class's latency objective and its own sending time, a share
// after it.
func (s *Server) weigh(r *clientRequest, completed bool, bytes, attempts int) {
	class, _ := s.engine.Class(r.event.Class)
	earned, logLatency := 0.0, 0.0
	if completed {
		objective := float64(class.LatencyObjective)
		if s.clientRate > 0 {
			objective += class.ObjectiveStretch * float64(bytes) / s.clientRate * 1e6
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
	sum := s.stats.classes[class.Name]
	sum.requests++
	sum.weightOffered += class.PriorityWeight
	sum.weightEarned += earned
	s.stats.classes[class.Name] = sum
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

// CollectStats returns how many clients there are, and how many responses came
// late since it was last called.
func (s *Server) CollectStats() (clients int, late int64) {
	return s.Clients(), s.stats.lateUncollected.Swap(0)
}
