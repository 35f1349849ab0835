package simulation

// sendToOffice sends a response from a server at a trunk to the office of the attempt's router, over the server's
// outbound link and the office's inbound link, at no more than the rate of one client flow. done is called when both
// links have transferred the response and the transfer time of one client flow has passed.
func (s *server) sendToOffice(attempt *Attempt, done func()) {
	sim := s.simulation
	sim.Result.countFill(sim, attempt.SizeKB, s.kind == kindOrigin)
	pendingSteps := 3
	stepDone := func() {
		pendingSteps--
		if pendingSteps == 0 && attempt.state != attemptEnded {
			done()
		}
	}
	sim.schedule(int64(sim.flowTime(attempt.SizeKB)), stepDone)
	s.egress.add(attempt.SizeKB, stepDone)
	sim.links[sim.routers[attempt.Router].office].add(attempt.SizeKB, stepDone)
}

// newLink creates a link. Its transfers share its capacity equally; a single transfer may use all of it.
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

// trunkDistance is the number of trunks from an office's own trunk to the trunk of a parent or the origin.
func (s *Simulation) trunkDistance(office int, server *server) int {
	distance := s.scenario.Fleet.Trunk(office) - server.trunk
	return max(distance, -distance)
}
