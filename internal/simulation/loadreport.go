package simulation

import "quilldoor/internal/policy"

// Keys of a load report as routers read them.
const (
	loadUtilization = "util"
	loadHitShare    = "x0"
	loadLink        = "x1" // of a cache: utilization of the office's link; of a parent: fills in flight
)

// reportLoad measures a server's load since its last report and schedules the next report. Responses carry the new
// report once the report delay has passed.
func (s *server) reportLoad() {
	sim := s.simulation
	fleet := &sim.scenario.Fleet
	interval := sim.jitter(fleet.ReportMS * millisecond)
	if s.listedState == policy.EndpointRemoved && !s.up && s.collapsed {
		return // a collapsed server does not start again
	}
	load := map[string]float64{}
	if s.cpu != nil {
		load[loadUtilization] = s.reportUtilization(interval)
	}
	if s.reportServed > 0 {
		load[loadHitShare] = float64(s.reportHits) / float64(s.reportServed)
	}
	s.reportServed = 0
	s.reportHits = 0
	if s.office >= 0 {
		load[loadLink] = s.reportLinkUse(interval)
	} else {
		load[loadLink] = float64(s.fillCount)
	}
	sim.schedule(int64(fleet.ReportDelayMS*millisecond)+sim.reportDelay, func() { s.visibleLoad = load })
	sim.schedule(interval, s.reportLoad)
}

// reportUtilization measures the utilization of the processor since the last report, and adds noise.
func (s *server) reportUtilization(interval int64) float64 {
	s.cpu.advance()
	utilization := min(1, (s.cpu.served-s.reportedCPU)/float64(interval)/s.weight)
	s.reportedCPU = s.cpu.served
	return s.simulation.reportNoise(utilization)
}

// reportLinkUse measures the utilization of the office's link since the last report, and adds noise.
func (s *server) reportLinkUse(interval int64) float64 {
	link := s.simulation.links[s.office]
	link.advance()
	utilization := min(1, (link.served-s.reportedLink)/float64(interval)/link.totalRate)
	s.reportedLink = link.served
	return s.simulation.reportNoise(utilization)
}

// reportNoise adds normally distributed relative noise to a reported value.
func (s *Simulation) reportNoise(value float64) float64 {
	return max(0, value*(1+s.scenario.Fleet.ReportNoise*s.random.NormFloat64()))
}
