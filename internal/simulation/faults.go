package simulation

import (
	"fmt"
	"math"
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/scenario"
)

// drawServers draws a share of the servers at a trouble's place, in a stated order: the
// draw is made when the trouble begins.
func (w *World) drawServers(fault *scenario.Fault, groups [][]*server) (servers []*server) {
	for i, group := range groups {
		if fault.Office > 0 && i != fault.Office-1 || fault.Trunk > 0 && w.scenario.Fleet.Trunk(i) != fault.Trunk-1 {
			continue
		}
		for _, server := range group {
			if server.up {
				servers = append(servers, server)
			}
		}
	}
	return w.drawShare(servers, fault.Share)
}

func (w *World) drawShare(servers []*server, share float64) []*server {
	w.random.Shuffle(len(servers), func(i, j int) { servers[i], servers[j] = servers[j], servers[i] })
	return servers[:min(len(servers), int(math.Ceil(share*float64(len(servers)))))]
}

// scheduleFault sets a trouble's beginning and end.
func (w *World) scheduleFault(fault *scenario.Fault) {
	w.schedule(int64(fault.At*1e6), func() {
		w.activeFaults++
		w.lastFaultChange = w.now
		w.record(Entry{Kind: eventlog.KindFault, Outcome: "begins", State: fault.Kind, Until: w.now + int64(fault.For*1e6)})
		w.Result.Troubles = append(w.Result.Troubles, fmt.Sprintf("%.1f s: %s", float64(w.now)/1e6, fault.Kind))
		endFault := w.startFault(fault)
		w.schedule(int64(fault.For*1e6), func() {
			w.activeFaults--
			w.lastFaultChange = w.now
			w.record(Entry{Kind: eventlog.KindFault, Outcome: "ends", State: fault.Kind})
			if endFault != nil {
				endFault()
			}
		})
	})
}

// startFault starts a trouble and returns what ends it.
func (w *World) startFault(fault *scenario.Fault) (endFault func()) {
	switch fault.Kind {
	case "die", "silent":
		return w.takeDown(w.drawServers(fault, w.caches), fault.Kind == "silent")
	case "office_lost":
		target := *fault
		if target.Office == 0 {
			target.Office = 1 + w.random.IntN(len(w.caches))
		}
		return w.takeDown(w.drawServers(&target, w.caches), false)
	case "parents_lost":
		trunk := fault.Trunk
		if trunk == 0 {
			trunk = 1 + w.random.IntN(len(w.parents))
		}
		return w.takeDown(w.drawShare(slices.Clone(w.parents[trunk-1]), fault.Share), false)
	case "pause":
		return w.pauseRepeatedly(w.drawServers(fault, w.caches), fault)
	case "deploy":
		w.deploy(w.drawServers(fault, w.caches), fault)
	case "preempt":
		return w.preempt(w.drawServers(fault, w.caches), int64(fault.Strength*1e6))
	case "purge":
		for group := range int64(groupCount) {
			if w.random.Float64() < fault.Share {
				w.purge(-1, group)
			}
		}
	case "purge_object":
		for i := range min(int(fault.Strength), len(w.catalogue.byPopularity[0])) {
			w.purge(w.catalogue.byPopularity[i%2][i/2], 0)
		}
	case "ledger_slow":
		w.origin.slowdown *= fault.Strength
		w.origin.updateRate()
		return func() { w.origin.slowdown /= fault.Strength; w.origin.updateRate() }
	case "ledger_stop":
		w.origin.activePauses++
		w.origin.updateRate()
		return func() { w.origin.activePauses--; w.origin.updateRate() }
	case "late_reports":
		w.reportDelay += int64(fault.Strength * 1e6)
		return func() { w.reportDelay -= int64(fault.Strength * 1e6) }
	case "late_board":
		w.discoveryDelay += int64(fault.Strength * 1e6)
		return func() { w.discoveryDelay -= int64(fault.Strength * 1e6) }
	case "site_cut":
		w.sitesCut = true
		return func() { w.sitesCut = false }
	case "cut_board":
		if fault.Share >= 1 && fault.Office == 0 {
			w.discoveryCut = true
			return w.restoreDiscovery
		}
		routers := w.drawRouters(fault)
		for _, router := range routers {
			router.discoveryCut = true
		}
		return func() {
			for _, router := range routers {
				router.discoveryCut = false
			}
			if !w.discoveryCut {
				w.restoreDiscovery()
			}
		}
	case "router_stops":
		return w.suspendRouters(fault)
	case "router_starves":
		routers := w.drawRouters(fault)
		for _, router := range routers {
			w.driver.Starve(router.id, fault.Strength)
		}
		return func() {
			for _, router := range routers {
				w.driver.Starve(router.id, 0)
			}
		}
	case "ways_delay", "ways_jitter", "ways_loss", "ways_double", "ways_reorder", "ways_slow", "ways_cut", "ways_one_way", "ways_camps", "ways_chain":
		return w.startNetworkFault(fault)
	case "once":
		w.oneTimeShare = fault.Share
		return func() { w.oneTimeShare = 0 }
	case "burst":
		w.loadFactor *= fault.Strength
		return func() { w.loadFactor /= fault.Strength }
	case "router_dies":
		return w.killRouters(fault)
	default: // resets, endless, spoilt, errors
		answers := &answerFault{fault.Kind, fault.Office, fault.Share}
		w.answerFaults = append(w.answerFaults, answers)
		return func() {
			w.answerFaults = slices.DeleteFunc(w.answerFaults, func(o *answerFault) bool { return o == answers })
		}
	}
	return nil
}
