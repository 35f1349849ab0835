package simulation

import (
	"fmt"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/scenario"
)

// Kinds of faults as scenarios name them.
const (
	faultCacheCrash       = "die"
	faultCacheSilent      = "silent"
	faultCachePause       = "pause"
	faultCacheDeploy      = "deploy"
	faultCachePreempt     = "preempt"
	faultOfficeLost       = "office_lost"
	faultParentsLost      = "parents_lost"
	faultPurgeGroups      = "purge"
	faultPurgeObjects     = "purge_object"
	faultOriginSlow       = "ledger_slow"
	faultOriginStop       = "ledger_stop"
	faultReportDelay      = "late_reports"
	faultDiscoveryDelay   = "late_board"
	faultDiscoveryCut     = "cut_board"
	faultSitesCut         = "site_cut"
	faultOneTimeObjects   = "once"
	faultLoadBurst        = "burst"
	faultRouterCrash      = "router_dies"
	faultRouterSuspend    = "router_stops"
	faultRouterStarve     = "router_starves"
	faultNetworkDelay     = "ways_delay"
	faultNetworkJitter    = "ways_jitter"
	faultNetworkLoss      = "ways_loss"
	faultNetworkDuplicate = "ways_double"
	faultNetworkReorder   = "ways_reorder"
	faultNetworkSlow      = "ways_slow"
	faultNetworkCut       = "ways_cut"
	faultNetworkOneWay    = "ways_one_way"
	faultNetworkSplit     = "ways_camps"
	faultNetworkChain     = "ways_chain"
	faultAnswerReset      = "resets"
	faultOriginReset      = "ledger_resets"
	faultAnswerLost       = "endless"
	faultAnswerCorrupt    = "spoilt"
	faultAnswerError      = "errors"
)

// wholeGroup in place of an object makes a purge that of its group.
const wholeGroup = -1

// scheduleFault schedules a fault's beginning and end.
func (w *Simulation) scheduleFault(fault *scenario.Fault) {
	duration := int64(fault.For * second)
	w.schedule(int64(fault.At*second), func() {
		w.activeFaults++
		w.lastFaultChange = w.now
		w.record(Entry{Kind: eventlog.KindFault, Outcome: "begins", State: fault.Kind, Until: w.now + duration})
		w.Result.Faults = append(w.Result.Faults, fmt.Sprintf("%.1f s: %s", float64(w.now)/second, fault.Kind))
		endFault := w.startFault(fault)
		w.schedule(duration, func() {
			w.activeFaults--
			w.lastFaultChange = w.now
			w.record(Entry{Kind: eventlog.KindFault, Outcome: "ends", State: fault.Kind})
			if endFault != nil {
				endFault()
			}
		})
	})
}

// startFault starts a fault and returns what ends it; nil: it ends by itself. What it hits is drawn now.
func (w *Simulation) startFault(fault *scenario.Fault) (endFault func()) {
	switch fault.Kind {
	case faultCacheCrash, faultCacheSilent, faultCachePause, faultCacheDeploy, faultCachePreempt, faultOfficeLost,
		faultParentsLost:
		return w.startServerFault(fault)
	case faultOriginSlow, faultOriginStop:
		return w.startOriginFault(fault)
	case faultPurgeGroups, faultPurgeObjects:
		w.startPurges(fault)
		return nil
	case faultReportDelay, faultDiscoveryDelay, faultDiscoveryCut:
		return w.startDiscoveryFault(fault)
	case faultRouterCrash, faultRouterSuspend, faultRouterStarve:
		return w.startRouterFault(fault)
	case faultNetworkDelay, faultNetworkJitter, faultNetworkLoss, faultNetworkDuplicate, faultNetworkReorder,
		faultNetworkSlow, faultNetworkCut, faultNetworkOneWay, faultNetworkSplit, faultNetworkChain:
		return w.startNetworkFault(fault)
	case faultOneTimeObjects, faultLoadBurst:
		return w.startLoadFault(fault)
	case faultSitesCut:
		w.sitesCut = true
		return func() { w.sitesCut = false }
	default:
		return w.startAnswerFault(fault)
	}
}

// startPurges purges a share of the groups, or the most popular objects of the two cached classes in turn.
func (w *Simulation) startPurges(fault *scenario.Fault) {
	if fault.Kind == faultPurgeGroups {
		for group := range int64(groupCount) {
			if w.random.Float64() < fault.Share {
				w.purge(wholeGroup, group)
			}
		}
		return
	}
	for i := range min(int(fault.Strength), len(w.catalogue.byPopularity[0])) {
		w.purge(w.catalogue.byPopularity[i%cachedClasses][i/cachedClasses], 0)
	}
}

// startDiscoveryFault delays load reports or notices, or cuts routers off from the discovery service.
func (w *Simulation) startDiscoveryFault(fault *scenario.Fault) (endFault func()) {
	delay := int64(fault.Strength * second)
	switch fault.Kind {
	case faultReportDelay:
		w.reportDelay += delay
		return func() { w.reportDelay -= delay }
	case faultDiscoveryDelay:
		w.discoveryDelay += delay
		return func() { w.discoveryDelay -= delay }
	}
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
}

// startLoadFault changes what clients ask for, or how often.
func (w *Simulation) startLoadFault(fault *scenario.Fault) (endFault func()) {
	if fault.Kind == faultOneTimeObjects {
		w.oneTimeShare = fault.Share
		return func() { w.oneTimeShare = 0 }
	}
	w.loadFactor *= fault.Strength
	return func() { w.loadFactor /= fault.Strength }
}
