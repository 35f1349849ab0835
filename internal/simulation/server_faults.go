package simulation

import (
	"fmt"
	"slices"

	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
)

// deployDrainTime is how long a cache that is replaced may finish its requests.
const deployDrainTime = 3 * second

// startServerFault starts a fault of caches or parents.
func (w *Simulation) startServerFault(fault *scenario.Fault) (endFault func()) {
	switch fault.Kind {
	case faultOfficeLost:
		target := *fault
		if target.Office == 0 {
			target.Office = 1 + w.random.IntN(len(w.caches))
		}
		return w.takeDown(w.drawCaches(&target), false)
	case faultParentsLost:
		trunk := fault.Trunk
		if trunk == 0 {
			trunk = 1 + w.random.IntN(len(w.parents))
		}
		return w.takeDown(drawShare(w.random, slices.Clone(w.parents[trunk-1]), fault.Share), false)
	case faultCachePause:
		return w.pauseRepeatedly(w.drawCaches(fault), fault)
	case faultCacheDeploy:
		w.deploy(w.drawCaches(fault), fault)
		return nil
	case faultCachePreempt:
		return w.preempt(w.drawCaches(fault), int64(fault.Strength*second))
	default:
		return w.takeDown(w.drawCaches(fault), fault.Kind == faultCacheSilent)
	}
}

// startOriginFault slows the origin down or stops it.
func (w *Simulation) startOriginFault(fault *scenario.Fault) (endFault func()) {
	origin := w.origin
	if fault.Kind == faultOriginSlow {
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

// drawCaches draws a share of the caches that are up at a fault's place.
func (w *Simulation) drawCaches(fault *scenario.Fault) []*server {
	var candidates []*server
	for office, caches := range w.caches {
		if fault.Office > 0 && office != fault.Office-1 {
			continue
		}
		if fault.Trunk > 0 && w.scenario.Fleet.Trunk(office) != fault.Trunk-1 {
			continue
		}
		for _, cache := range caches {
			if cache.up {
				candidates = append(candidates, cache)
			}
		}
	}
	return drawShare(w.random, candidates, fault.Share)
}

// takeDown crashes servers, which come back when the fault ends. Discovery notices each crash only after a while.
func (w *Simulation) takeDown(servers []*server, silent bool) (endFault func()) {
	for _, server := range servers {
		server.crash(silent)
		w.setListed(server, policy.EndpointGone, w.jitter(w.scenario.Fleet.DeathDetectionMS*millisecond))
	}
	return func() { w.bringBack(servers) }
}

// bringBack starts servers that are down, except those that collapsed.
func (w *Simulation) bringBack(servers []*server) {
	for _, server := range servers {
		if server.up || server.collapsed {
			continue
		}
		server.start()
		w.setListed(server, policy.EndpointActive, 0)
	}
}

// pauseRepeatedly pauses each server for the fault's strength in milliseconds, again and again until the fault ends
// or the server crashes.
func (w *Simulation) pauseRepeatedly(servers []*server, fault *scenario.Fault) (endFault func()) {
	active := true
	for _, server := range servers {
		incarnation := server.incarnation
		var pause func()
		pause = func() {
			if !active || server.incarnation != incarnation {
				return
			}
			w.pauseOnce(server, int64(fault.Strength*millisecond))
			w.schedule(w.jitter(fault.Every*second), pause)
		}
		w.schedule(int64(w.random.Float64()*fault.Every*second), pause)
	}
	return func() { active = false }
}

// pauseOnce lets a server make no progress for a while. Pauses may overlap.
func (w *Simulation) pauseOnce(server *server, duration int64) {
	incarnation := server.incarnation
	server.activePauses++
	server.updateRate()
	w.schedule(duration, func() {
		if server.incarnation == incarnation {
			server.activePauses--
			server.updateRate()
		}
	})
}

// deploy drains and replaces servers in waves; the fault's strength is the size of a wave.
func (w *Simulation) deploy(servers []*server, fault *scenario.Fault) {
	size := int(fault.Strength)
	for i := 0; i < len(servers); i += size {
		wave := servers[i:min(i+size, len(servers))]
		w.schedule(int64(float64(i)/fault.Strength*fault.Every*second), func() { w.replaceWave(wave) })
	}
}

func (w *Simulation) replaceWave(wave []*server) {
	for _, server := range wave {
		if !server.up {
			continue
		}
		w.setListed(server, policy.EndpointDraining, 0)
		w.schedule(deployDrainTime, func() { w.replace(server) })
	}
}

// replace ends a cache and starts a successor with an ID of its own in its place, cold and empty.
func (w *Simulation) replace(server *server) {
	if server.up {
		server.crash(false)
	}
	w.setListed(server, policy.EndpointGone, 0)
	index := slices.Index(w.caches[server.office], server)
	if index < 0 {
		return // it was replaced meanwhile
	}
	successor := w.newCache(server.office, fmt.Sprintf("%s.%d", server.id, w.sequence))
	successor.up = false
	w.caches[server.office][index] = successor
	successor.start()
	w.setListed(successor, policy.EndpointActive, 0)
}

// preempt drains servers and crashes them after a short notice. They come back when the fault ends.
func (w *Simulation) preempt(servers []*server, notice int64) (endFault func()) {
	for _, server := range servers {
		w.setListed(server, policy.EndpointDraining, 0)
		w.schedule(notice, func() {
			if server.up {
				server.crash(false)
			}
			w.setListed(server, policy.EndpointGone, 0)
		})
	}
	return func() { w.bringBack(servers) }
}
