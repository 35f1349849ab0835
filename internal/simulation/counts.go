package simulation

import "quilldoor/internal/scenario"

// outcomes returns the counts for the traffic class and phase of a client's request.
func (r *Result) outcomes(clientRequest *clientRequest) *Outcomes {
	class := r.Classes[clientRequest.class]
	outcomes := class.Phases[clientRequest.phase]
	if outcomes == nil {
		outcomes = &Outcomes{}
		class.Phases[clientRequest.phase] = outcomes
	}
	return outcomes
}

// countRequest counts a client's new request.
func (r *Result) countRequest(sim *Simulation, clientRequest *clientRequest) {
	r.current.Requests++
	outcomes := r.outcomes(clientRequest)
	outcomes.Requests++
	outcomes.PossibleWeight += sim.classes[clientRequest.class].PriorityWeight
	if clientRequest.phase != phaseWarmUp && clientRequest.class != scenario.ClassAccept {
		r.RequestedKB += sim.catalogue.size(clientRequest.object, clientRequest.part)
	}
}

// countFill counts kilobytes that are transferred into an office.
func (r *Result) countFill(sim *Simulation, kb float64, fromOrigin bool) {
	if sim.currentPhase() == phaseWarmUp {
		return
	}
	r.FilledKB += kb
	if fromOrigin {
		r.OriginKB += kb
	}
}

// countParentFill counts kilobytes that a parent fetches from the origin.
func (r *Result) countParentFill(sim *Simulation, kb float64) {
	if sim.currentPhase() != phaseWarmUp {
		r.OriginKB += kb
	}
}

// countCompleted counts a request with a usable answer by its latency, from the client's first attempt on.
func (r *Result) countCompleted(sim *Simulation, clientRequest *clientRequest, issuedAt int64) {
	class := &sim.classes[clientRequest.class]
	latency := sim.now - clientRequest.startedAt
	r.Classes[clientRequest.class].latencies.RecordValue(latency) // a latency beyond the bounds is left out
	transferTime := sim.flowTime(sim.catalogue.size(clientRequest.object, clientRequest.part))
	if class.Write {
		transferTime = 0
	}
	outcomes := r.outcomes(clientRequest)
	weight := class.PriorityWeight
	if latency <= class.LatencyObjective+int64(class.ObjectiveStretch*transferTime) {
		outcomes.InTime++
		r.current.InTime++
	} else {
		outcomes.Late++
		r.current.Late++
		weight *= class.LateValueShare
	}
	if !class.Write && class.FreshFor > 0 && sim.now-issuedAt > class.FreshFor {
		outcomes.Stale++
		weight *= class.StaleValueShare
	}
	outcomes.EarnedWeight += weight
}

// countFailed counts a request without a usable answer.
func (r *Result) countFailed(clientRequest *clientRequest, retrySafe bool) {
	r.current.NotCompleted++
	outcomes := r.outcomes(clientRequest)
	if retrySafe {
		outcomes.Rejected++
	} else {
		outcomes.Failed++
	}
}

// closeSecond ends a second of the timeline and begins the next one.
func (r *Result) closeSecond(sim *Simulation) {
	closed := r.current
	closed.At = int(sim.now / second)
	closed.ActiveFaults = sim.activeFaults
	closed.Attempts = len(sim.attempts)
	closed.Servers = sim.cachesUp()
	closed.filledKB = 0
	totalKBPerS := 0.0
	for _, link := range sim.links {
		link.advance()
		closed.filledKB += link.served
		totalKBPerS += link.totalRate * second
	}
	closed.LinkUtilization = (closed.filledKB - r.current.filledKB) / totalKBPerS
	r.Timeline = append(r.Timeline, closed)
	r.current = Second{filledKB: closed.filledKB}
}

func (s *Simulation) cachesUp() (count int) {
	for _, caches := range s.caches {
		for _, cache := range caches {
			if cache.up {
				count++
			}
		}
	}
	return count
}
