package simulation

import (
	"fmt"
	"slices"

	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
)

// deployDrainTime is the time for which a cache drains before a deployment replaces it.
const deployDrainTime = 3 * second

// startServerFault starts a fault of caches or parents.
func (s *Simulation) startServerFault(fault *scenario.Fault) (endFault func()) {
	switch fault.Kind {
	case scenario.KindOfficeLoss:
		target := *fault
		if target.Office == 0 {
			target.Office = 1 + s.random.IntN(len(s.caches))
		}
		return s.crashServers(s.drawCaches(&target), false)
	case scenario.KindParentLoss:
		trunk := fault.Trunk
		if trunk == 0 {
			trunk = 1 + s.random.IntN(len(s.parents))
		}
		return s.crashServers(drawShare(s.random, slices.Clone(s.parents[trunk-1]), fault.Share), false)
	case scenario.KindCachePause:
		return s.pauseRepeatedly(s.drawCaches(fault), fault)
	case scenario.KindCacheDeploy:
		s.deploy(s.drawCaches(fault), fault)
		return nil
	case scenario.KindCachePreemption:
		return s.preempt(s.drawCaches(fault), int64(fault.Strength*second))
	default:
		return s.crashServers(s.drawCaches(fault), fault.Kind == scenario.KindCacheSilence)
	}
}

// startOriginFault slows the origin down or stops it.
func (s *Simulation) startOriginFault(fault *scenario.Fault) (endFault func()) {
	origin := s.origin
	if fault.Kind == scenario.KindOriginSlow {
		origin.slowdown *= fault.Strength
		origin.updateRate()
		return func() {
			origin.slowdown /= fault.Strength
			origin.updateRate()
		}
	}
	origin.activePauses++
	origin.updateRate()
	return func() {
		origin.activePauses--
		origin.updateRate()
	}
}

// drawCaches draws a share of the caches that are up at the fault's office or trunk, or of all that are up.
func (s *Simulation) drawCaches(fault *scenario.Fault) []*server {
	var candidates []*server
	for office, caches := range s.caches {
		if fault.Office > 0 && office != fault.Office-1 {
			continue
		}
		if fault.Trunk > 0 && s.scenario.Fleet.Trunk(office) != fault.Trunk-1 {
			continue
		}
		for _, cache := range caches {
			if cache.up {
				candidates = append(candidates, cache)
			}
		}
	}
	return drawShare(s.random, candidates, fault.Share)
}

// crashServers crashes servers, which start again when the fault ends. The endpoint list shows each crash only after
// the detection time.
func (s *Simulation) crashServers(servers []*server, silent bool) (endFault func()) {
	for _, server := range servers {
		server.crash(silent)
		s.setListed(server, policy.EndpointRemoved, s.jitter(s.scenario.Fleet.CrashDetectionMS*millisecond))
	}
	return func() { s.restartServers(servers) }
}

// restartServers starts servers that are down, except those that collapsed or were replaced.
func (s *Simulation) restartServers(servers []*server) {
	for _, server := range servers {
		if server.up || server.collapsed || server.replaced {
			continue
		}
		server.start()
		s.setListed(server, policy.EndpointActive, 0)
	}
}

// pauseRepeatedly pauses each server at intervals until the fault ends or the server crashes. The fault's strength is
// the duration of each pause in milliseconds.
func (s *Simulation) pauseRepeatedly(servers []*server, fault *scenario.Fault) (endFault func()) {
	active := true
	for _, server := range servers {
		incarnation := server.incarnation
		var pause func()
		pause = func() {
			if !active || server.incarnation != incarnation {
				return
			}
			s.pauseOnce(server, int64(fault.Strength*millisecond))
			s.schedule(s.jitter(fault.Every*second), pause)
		}
		s.schedule(int64(s.random.Float64()*fault.Every*second), pause)
	}
	return func() { active = false }
}

// pauseOnce stops a server's progress for a duration. Pauses may overlap.
func (s *Simulation) pauseOnce(server *server, duration int64) {
	incarnation := server.incarnation
	server.activePauses++
	server.updateRate()
	s.schedule(duration, func() {
		if server.incarnation == incarnation {
			server.activePauses--
			server.updateRate()
		}
	})
}

// deploy drains and replaces servers in waves. The fault's strength is the number of servers in a wave.
func (s *Simulation) deploy(servers []*server, fault *scenario.Fault) {
	size := int(fault.Strength)
	for i := 0; i < len(servers); i += size {
		wave := servers[i:min(i+size, len(servers))]
		s.schedule(int64(float64(i)/fault.Strength*fault.Every*second), func() { s.replaceWave(wave) })
	}
}

// replaceWave drains the servers of a wave that are up, and replaces them after the drain time.
func (s *Simulation) replaceWave(wave []*server) {
	for _, server := range wave {
		if !server.up {
			continue
		}
		s.setListed(server, policy.EndpointDraining, 0)
		s.schedule(deployDrainTime, func() { s.replace(server) })
	}
}

// replace crashes a cache and starts a successor in its place, which has an ID of its own and is cold and empty.
func (s *Simulation) replace(server *server) {
	if server.up {
		server.crash(false)
	}
	s.setListed(server, policy.EndpointRemoved, 0)
	index := slices.Index(s.caches[server.office], server)
	if index < 0 {
		return // another deployment has replaced it
	}
	server.replaced = true
	successor := s.newCache(server.office, fmt.Sprintf("%s.%d", server.id, s.sequence))
	successor.up = false
	s.caches[server.office][index] = successor
	successor.start()
	s.setListed(successor, policy.EndpointActive, 0)
}

// preempt drains servers and crashes them after a short notice. They start again when the fault ends.
func (s *Simulation) preempt(servers []*server, notice int64) (endFault func()) {
	for _, server := range servers {
		s.setListed(server, policy.EndpointDraining, 0)
		s.schedule(notice, func() {
			if server.up {
				server.crash(false)
			}
			s.setListed(server, policy.EndpointRemoved, 0)
		})
	}
	return func() { s.restartServers(servers) }
}
