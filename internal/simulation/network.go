package simulation

// sendToOffice brings an answer from a trunk into the office of its router: over the server's link out, over the
// office's link in, and no faster than one client flow. done is called when all three are finished.
func (s *server) sendToOffice(attempt *Attempt, done func()) {
	sim := s.simulation
	sim.Result.countFill(sim, attempt.SizeKB, s.kind == kindOrigin)
	pendingParts := 3
	partDone := func() {
		pendingParts--
		if pendingParts == 0 && attempt.state != attemptEnded {
			done()
		}
	}
	sim.schedule(int64(sim.flowTime(attempt.SizeKB)), partDone)
	s.egress.add(attempt.SizeKB, partDone)
	sim.links[sim.routers[attempt.Router].office].add(attempt.SizeKB, partDone)
}

// newLink makes a link, which its transfers share equally; one alone may use all of it.
func (s *Simulation) newLink(kbPerS float64) *sharedResource {
	return &sharedResource{simulation: s, totalRate: kbPerS / second, maxJobRate: kbPerS / second}
}

// oneWayDelay is the network latency between an office and a server, one way, in microseconds.
func (s *Simulation) oneWayDelay(office int, server *server) int64 {
	fleet := &s.scenario.Fleet
	if server.office >= 0 {
		return int64(fleet.LocalMS * oneWay)
	}
	return int64((fleet.TrunkMS + fleet.FarMS*float64(s.trunkDistance(office, server))) * oneWay)
}

// trunkDistance is how many trunks beyond its own lie between an office and a parent or the origin.
func (s *Simulation) trunkDistance(office int, server *server) int {
	distance := s.scenario.Fleet.Trunk(office) - server.trunk
	return max(distance, -distance)
}
