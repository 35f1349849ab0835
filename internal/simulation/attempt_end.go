package simulation

import (
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// finish answers an attempt. The answer takes one network latency to its router, and a fault may change or lose it.
func (s *server) finish(attempt *Attempt, end AttemptResult) {
	if attempt.state == attemptEnded {
		return
	}
	s.detach(attempt)
	end.Load = s.visibleLoad
	if end.Outcome != policy.OutcomeConnectionReset && end.Outcome != policy.OutcomeConnectionRefused {
		s.simulation.Result.AttemptOutcomes[end.Outcome.String()]++
		end = s.simulation.applyResponseFaults(s, end)
		if end.Outcome == policy.OutcomeUnknown {
			return // the answer is lost
		}
	}
	s.simulation.schedule(attempt.latency, func() { s.simulation.deliver(attempt, end) })
}

// deliver brings an answer to the router, unless the router has cancelled the attempt.
func (s *Simulation) deliver(attempt *Attempt, end AttemptResult) {
	key := attempt.key()
	if s.attempts[key] != attempt {
		return
	}
	delete(s.attempts, key)
	entry := attempt.entry(eventlog.KindEnded)
	entry.Outcome = end.Outcome.String()
	entry.Issued = end.Issued
	s.record(entry)
	s.driver.AttemptEnded(attempt.Router, attempt, end)
}

// detach removes an attempt that was answered or cancelled from its server and stops the work for it.
func (s *server) detach(attempt *Attempt) {
	if attempt.state == attemptEnded {
		return
	}
	previous := attempt.state
	attempt.state = attemptEnded
	s.forgetAttempt(attempt)
	if fill := attempt.fill; fill != nil {
		attempt.fill = nil
		fill.removeAttempt(attempt)
	}
	if attempt.job != nil {
		attempt.job.resource.remove(attempt.job)
		attempt.job = nil
	}
	if s.kind == kindCache {
		s.releaseSlot(attempt, previous)
	}
}

// forgetAttempt takes an attempt off the server's list; the last one of the list moves to its place.
func (s *server) forgetAttempt(attempt *Attempt) {
	if attempt.index >= len(s.attempts) || s.attempts[attempt.index] != attempt {
		return
	}
	last := len(s.attempts) - 1
	s.attempts[attempt.index] = s.attempts[last]
	s.attempts[attempt.index].index = attempt.index
	s.attempts[last] = nil
	s.attempts = s.attempts[:last]
}

// releaseSlot frees the place in the queue or the slot that an attempt had at a cache.
func (s *server) releaseSlot(attempt *Attempt, previous attemptState) {
	switch previous {
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
