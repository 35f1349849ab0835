package simulation

import "quilldoor/internal/policy"

// report works out a server's load; it is seen in answers after its delay.
func (s *server) report() {
	w, f := s.w, &s.w.set.Fleet
	every := w.jitter(f.ReportMS * 1000)
	if s.listed == policy.EndpointGone && !s.up && s.fell {
		return
	}
	noise := func(v float64) float64 { return max(0, v*(1+f.ReportNoise*w.dice.NormFloat64())) }
	load := map[string]float64{}
	if s.cpu != nil {
		s.cpu.advance()
		load["util"] = noise(min(1, (s.cpu.served-s.usedCPU)/float64(every)/s.weight))
		s.usedCPU = s.cpu.served
	}
	if s.served > 0 {
		load["x0"] = float64(s.hits) / float64(s.served)
	}
	s.served, s.hits = 0, 0
	if s.office >= 0 {
		l := w.links[s.office]
		l.advance()
		load["x1"] = noise(min(1, (l.served-s.usedLink)/float64(every)/l.total))
		s.usedLink = l.served
	} else {
		load["x1"] = float64(s.fillsN)
	}
	w.after(int64(f.ReportDelayMS*1000)+w.reportLag, func() { s.load = load })
	w.after(every, s.report)
}
