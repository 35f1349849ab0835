package simulation

import (
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// crash ends the server's process, and the contents of its memory are lost. Connections of routers are reset unless the
// server goes silent.
func (s *server) crash(silent bool) {
	s.up = false
	s.silent = silent
	s.incarnation++
	s.simulation.record(Entry{Kind: eventlog.KindDown, Endpoint: s.id})
	s.dropAttempts(silent)
	for _, key := range sortedKeys(s.fills) {
		s.fills[key].cancel()
	}
	s.fills = map[int64]*fill{}
	s.fillCount = 0
	if s.store != nil {
		s.store.clear()
	}
	if s.cpu != nil {
		s.cpu.advance()
		s.cpu.jobs = nil
		s.cpu.scheduleNext()
	}
	s.recentWork = nil
	s.recentWorkTotal = 0
	s.activePauses = 0
}

// dropAttempts ends all attempts at a server that has crashed.
func (s *server) dropAttempts(silent bool) {
	for _, attempt := range slices.Clone(s.attempts) {
		if silent {
			s.detach(attempt)
		} else {
			s.finish(attempt, AttemptResult{Outcome: policy.OutcomeConnectionReset})
		}
	}
	for _, attempt := range s.attempts {
		attempt.state = attemptEnded
	}
	s.attempts = nil
	s.queue = nil
	s.busySlots = 0
}

// sortedKeys returns the keys of fills in a fixed order, since the iteration order of a map differs between runs.
func sortedKeys(fills map[int64]*fill) (keys []int64) {
	for key := range fills {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// start starts a server, cold and with an empty cache. A server that collapsed stays down.
func (s *server) start() {
	if s.collapsed || s.up {
		return
	}
	s.up = true
	s.silent = false
	s.incarnation++
	s.startedAt = max(s.simulation.now, 1) // 0 would mean before the run
	s.simulation.record(Entry{Kind: eventlog.KindStarted, Endpoint: s.id})
	s.warmUp(s.incarnation)
}
