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
func (s *Simulation) scheduleFault(fault *scenario.Fault) {
	duration := int64(fault.For * second)
	s.schedule(int64(fault.At*second), func() {
		s.activeFaults++
		s.lastFaultChange = s.now
		s.record(Entry{Kind: eventlog.KindFault, Outcome: "begins", State: fault.Kind, Until: s.now + duration})
		s.Result.Faults = append(s.Result.Faults, fmt.Sprintf("%.1f s: %s", float64(s.now)/second, fault.Kind))
		endFault := s.startFault(fault)
		s.schedule(duration, func() {
			s.activeFaults--
			s.lastFaultChange = s.now
			s.record(Entry{Kind: eventlog.KindFault, Outcome: "ends", State: fault.Kind})
			if endFault != nil {
				endFault()
			}
		})
	})
}

// startFault starts a fault and returns what ends it; nil: it ends by itself. What it hits is drawn now.
func (s *Simulation) startFault(fault *scenario.Fault) (endFault func()) {
	switch fault.Kind {
	case faultCacheCrash, faultCacheSilent, faultCachePause, faultCacheDeploy, faultCachePreempt, faultOfficeLost,
		faultParentsLost:
		return s.startServerFault(fault)
	case faultOriginSlow, faultOriginStop:
		return s.startOriginFault(fault)
	case faultPurgeGroups, faultPurgeObjects:
		s.startPurges(fault)
		return nil
	case faultReportDelay, faultDiscoveryDelay, faultDiscoveryCut:
		return s.startDiscoveryFault(fault)
	case faultRouterCrash, faultRouterSuspend, faultRouterStarve:
		return s.startRouterFault(fault)
	case faultNetworkDelay, faultNetworkJitter, faultNetworkLoss, faultNetworkDuplicate, faultNetworkReorder,
		faultNetworkSlow, faultNetworkCut, faultNetworkOneWay, faultNetworkSplit, faultNetworkChain:
		return s.startNetworkFault(fault)
	case faultOneTimeObjects, faultLoadBurst:
		return s.startLoadFault(fault)
	case faultSitesCut:
		s.sitesCut = true
		return func() { s.sitesCut = false }
	default:
		return s.startAnswerFault(fault)
	}
}

// startPurges purges a share of the groups, or the most popular objects of the two cached classes in turn.
func (s *Simulation) startPurges(fault *scenario.Fault) {
	if fault.Kind == faultPurgeGroups {
		for group := range int64(groupCount) {
			if s.random.Float64() < fault.Share {
				s.purge(wholeGroup, group)
			}
		}
		return
	}
	for i := range min(int(fault.Strength), len(s.catalogue.byPopularity[0])) {
		s.purge(s.catalogue.byPopularity[i%cachedClasses][i/cachedClasses], 0)
	}
}

// startDiscoveryFault delays load reports or notices, or cuts routers off from the discovery service.
func (s *Simulation) startDiscoveryFault(fault *scenario.Fault) (endFault func()) {
	delay := int64(fault.Strength * second)
	switch fault.Kind {
	case faultReportDelay:
		s.reportDelay += delay
		return func() { s.reportDelay -= delay }
	case faultDiscoveryDelay:
		s.discoveryDelay += delay
		return func() { s.discoveryDelay -= delay }
	}
	if fault.Share >= 1 && fault.Office == 0 {
		s.discoveryCut = true
		return s.restoreDiscovery
	}
	routers := s.drawRouters(fault)
	for _, router := range routers {
		router.discoveryCut = true
	}
	return func() {
		for _, router := range routers {
			router.discoveryCut = false
		}
		if !s.discoveryCut {
			s.restoreDiscovery()
		}
	}
}

// startLoadFault changes what clients ask for, or how often.
func (s *Simulation) startLoadFault(fault *scenario.Fault) (endFault func()) {
	if fault.Kind == faultOneTimeObjects {
		s.oneTimeShare = fault.Share
		return func() { s.oneTimeShare = 0 }
	}
	s.loadFactor *= fault.Strength
	return func() { s.loadFactor /= fault.Strength }
}
