package simulation

const (
	// drainTime is how long the run continues after the last arrival of a client, so that open requests can complete.
	drainTime = 8 * second

	// never is later than any event.
	never = 1 << 62
)

// Now is the time of the run.
func (s *Simulation) Now() int64 { return s.now }

// Next is the time of the next event. If none is scheduled, it is a time that is never reached.
func (s *Simulation) Next() int64 {
	if len(s.events) == 0 {
		return never
	}
	return s.events[0].at
}

// Step advances the clock to now and runs the first event that is due. It returns false if no event is due.
func (s *Simulation) Step(now int64) bool {
	if len(s.events) == 0 || s.events[0].at > now {
		s.now = max(s.now, now)
		return false
	}
	e := s.events.pop()
	s.now = max(s.now, e.at)
	e.action()
	return true
}

// AdvanceTo advances the clock to now without running events. The driver calls it before it passes on a router's input.
func (s *Simulation) AdvanceTo(now int64) { s.now = max(s.now, now) }

// After schedules an action of the driver after a delay, among the simulation's own events.
func (s *Simulation) After(delay int64, action func()) { s.schedule(delay, action) }

// schedule runs an action after a delay in microseconds; a negative delay counts as none.
func (s *Simulation) schedule(delay int64, action func()) {
	s.sequence++
	s.events.push(event{s.now + max(delay, 0), s.sequence, action})
}

// tick closes a second of the timeline and schedules the end of the next one.
func (s *Simulation) tick() {
	s.Result.closeSecond(s)
	s.schedule(second, s.tick)
}

// Length is the time at which the run ends: clients stop arriving at the scenario's length, and requests that are open
// then have drainTime to complete.
func (s *Simulation) Length() int64 { return s.clientsUntil + drainTime }

// Done reports whether clients have stopped arriving and every request has its outcome.
func (s *Simulation) Done() bool { return s.openRequests == 0 && s.now > s.clientsUntil }

// StopClients stops the arrival of clients. Open requests are still answered.
func (s *Simulation) StopClients() { s.clientsUntil = min(s.clientsUntil, s.now) }
