package simulation

import "quilldoor/internal/policy"

// reportLoad works out a server's load; it is seen in answers after its delay.
func (s *server) reportLoad() {
	w, fleet := s.world, &s.world.scenario.Fleet
	every := w.jitter(fleet.ReportMS * 1000)
	if s.listed == policy.EndpointGone && !s.up && s.collapsed {
		return
	}
	noise := func(v float64) float64 { return max(0, v*(1+fleet.ReportNoise*w.random.NormFloat64())) }
	load := map[string]float64{}
	if s.cpu != nil {
		s.cpu.advance()
		load["util"] = noise(min(1, (s.cpu.served-s.reportedCPU)/float64(every)/s.weight))
		s.reportedCPU = s.cpu.served
	}
	if s.reportServed > 0 {
		load["x0"] = float64(s.reportHits) / float64(s.reportServed)
	}
	s.reportServed, s.reportHits = 0, 0
	if s.office >= 0 {
		link := w.links[s.office]
		link.advance()
		load["x1"] = noise(min(1, (link.served-s.reportedLink)/float64(every)/link.totalRate))
		s.reportedLink = link.served
	} else {
		load["x1"] = float64(s.fillCount)
	}
	w.schedule(int64(fleet.ReportDelayMS*1000)+w.reportDelay, func() { s.visibleLoad = load })
	w.schedule(every, s.reportLoad)
}
