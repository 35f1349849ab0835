package simulation

const (
	// drainTime is how long the run goes on after the last client has come, so that open requests can end.
	drainTime = 8 * second

	// never is later than any event.
	never = 1 << 62
)

// Now is the time of the run.
func (s *Simulation) Now() int64 { return s.now }

// Next is the time of the next event.
func (s *Simulation) Next() int64 {
	if len(s.events) == 0 {
		return never
	}
	return s.events[0].at
}

// Step advances the clock to now and runs the first event that is due. It returns false if none is.
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

// AdvanceTo advances the clock to now without running events, before a router's input.
func (s *Simulation) AdvanceTo(now int64) { s.now = max(s.now, now) }

// After schedules an action of the driver after a delay, among the simulation's own events.
func (s *Simulation) After(delay int64, action func()) { s.schedule(delay, action) }

// schedule runs an action after a delay in microseconds; a negative delay counts as none.
func (s *Simulation) schedule(delay int64, action func()) {
	s.sequence++
	s.events.push(event{s.now + max(delay, 0), s.sequence, action})
}

// tick closes a second of the timeline.
func (s *Simulation) tick() {
	s.Result.closeSecond(s)
	s.schedule(second, s.tick)
}

// Length is when the run ends: clients stop at the scenario's length, and requests that are open then get some time.
func (s *Simulation) Length() int64 { return s.clientsUntil + drainTime }

// Over tells whether clients have stopped and all requests have their outcomes.
func (s *Simulation) Over() bool { return s.openRequests == 0 && s.now > s.clientsUntil }

// Close lets no more clients arrive. Requests that are open are still answered.
func (s *Simulation) Close() { s.clientsUntil = min(s.clientsUntil, s.now) }
