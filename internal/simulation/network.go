package simulation

// sendToOffice brings an answer from a trunk into the office of its router, at a
// client's flow at the most.
func (s *server) sendToOffice(attempt *Hop, done func()) {
	w := s.world
	w.Result.countFill(w, attempt.SizeKB, s.kind == kindOrigin)
	pendingParts := 3
	partDone := func() {
		if pendingParts--; pendingParts == 0 && attempt.state != attemptEnded {
			done()
		}
	}
	w.schedule(int64(attempt.SizeKB/w.scenario.Fleet.FlowKBPerS*1e6), partDone)
	s.egress.add(attempt.SizeKB, partDone)
	w.links[w.routers[attempt.Router].office].add(attempt.SizeKB, partDone)
}

// newLink makes a link of so many KB a second.
func (w *World) newLink(kbPerS float64) *sharedResource {
	return &sharedResource{world: w, totalRate: kbPerS / 1e6, maxJobRate: kbPerS / 1e6}
}

// oneWayDelay is the way from an office to a server, one way, in microseconds.
func (w *World) oneWayDelay(office int, server *server) int64 {
	fleet := &w.scenario.Fleet
	if server.office >= 0 {
		return int64(fleet.LocalMS * 500)
	}
	return int64((fleet.TrunkMS + fleet.FarMS*float64(w.trunkDistance(office, server))) * 500)
}

// trunkDistance is how many further trunks lie between an office and a parent or the ledger.
func (w *World) trunkDistance(office int, server *server) int {
	distance := w.scenario.Fleet.Trunk(office) - server.trunk
	return max(distance, -distance)
}
