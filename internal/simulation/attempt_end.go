package simulation

import (
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// finish ends an attempt with a result, which reaches the router one network latency later. A fault may change or drop
// the response of a server.
func (s *server) finish(attempt *Attempt, result AttemptResult) {
	if attempt.state == attemptEnded {
		return
	}
	s.detach(attempt)
	result.Load = s.visibleLoad
	if result.Outcome != policy.OutcomeConnectionReset && result.Outcome != policy.OutcomeConnectionRefused {
		s.simulation.Result.AttemptOutcomes[result.Outcome.String()]++
		result = s.simulation.applyResponseFaults(s, result)
		if result.Outcome == policy.OutcomeUnknown {
			return // the response is lost
		}
	}
	s.simulation.schedule(attempt.latency, func() { s.simulation.deliver(attempt, result) })
}

// deliver hands the result of an attempt to its router, unless the router has cancelled the attempt.
func (s *Simulation) deliver(attempt *Attempt, result AttemptResult) {
	key := attempt.key()
	if s.attempts[key] != attempt {
		return
	}
	delete(s.attempts, key)
	entry := attempt.entry(eventlog.KindEnded)
	entry.Outcome = result.Outcome.String()
	entry.Issued = result.Issued
	s.record(entry)
	s.driver.AttemptEnded(attempt.Router, attempt, result)
}

// detach removes an attempt that was answered or cancelled from its server and stops its work.
func (s *server) detach(attempt *Attempt) {
	if attempt.state == attemptEnded {
		return
	}
	previousState := attempt.state
	attempt.state = attemptEnded
	s.unlinkAttempt(attempt)
	if fill := attempt.fill; fill != nil {
		attempt.fill = nil
		fill.removeAttempt(attempt)
	}
	if attempt.job != nil {
		attempt.job.resource.remove(attempt.job)
		attempt.job = nil
	}
	if s.kind == kindCache {
		s.releaseSlot(attempt, previousState)
	}
}

// unlinkAttempt removes an attempt from the server's list and moves the last attempt of the list to its index.
func (s *server) unlinkAttempt(attempt *Attempt) {
	if attempt.index >= len(s.attempts) || s.attempts[attempt.index] != attempt {
		return
	}
	last := len(s.attempts) - 1
	s.attempts[attempt.index] = s.attempts[last]
	s.attempts[attempt.index].index = attempt.index
	s.attempts[last] = nil
	s.attempts = s.attempts[:last]
}

// releaseSlot frees the slot or the queue position that an attempt held at a cache in its state before it ended.
func (s *server) releaseSlot(attempt *Attempt, previousState attemptState) {
	switch previousState {
	case attemptQueued:
		if i := slices.Index(s.queue, attempt); i >= 0 {
			s.queue = slices.Delete(s.queue, i, i+1)
		}
	case attemptWorking:
		s.busySlots--
		s.updateRate()
		s.startQueued()
	}
}
