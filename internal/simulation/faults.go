package simulation

import (
	"fmt"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/scenario"
)

// wholeGroup, in place of an object's number, selects all objects of a purge group.
const wholeGroup = -1

// scheduleFault schedules the start and the end of a fault.
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

// startFault starts a fault, draws its targets, and returns the function that ends it; nil: the fault ends by itself.
func (s *Simulation) startFault(fault *scenario.Fault) (endFault func()) {
	switch fault.Kind {
	case scenario.KindCacheCrash, scenario.KindCacheSilence, scenario.KindCachePause, scenario.KindCacheDeploy,
		scenario.KindCachePreemption, scenario.KindOfficeLoss, scenario.KindParentLoss:
		return s.startServerFault(fault)
	case scenario.KindOriginSlow, scenario.KindOriginStop:
		return s.startOriginFault(fault)
	case scenario.KindPurge, scenario.KindPurgeObject:
		s.startPurges(fault)
		return nil
	case scenario.KindLateReports, scenario.KindLateDiscovery, scenario.KindDiscoveryCut:
		return s.startDiscoveryFault(fault)
	case scenario.KindRouterKill, scenario.KindRouterSuspension, scenario.KindRouterStarvation:
		return s.startRouterFault(fault)
	case scenario.KindPeerDelay, scenario.KindPeerJitter, scenario.KindPeerLoss, scenario.KindPeerDuplication,
		scenario.KindPeerReorder, scenario.KindPeerBandwidth, scenario.KindPeerCut, scenario.KindPeerOneWay,
		scenario.KindPeerPartition, scenario.KindPeerChain:
		return s.startNetworkFault(fault)
	case scenario.KindOneTimeObjects, scenario.KindBurst:
		return s.startLoadFault(fault)
	case scenario.KindSiteCut:
		s.sitesCut = true
		return func() { s.sitesCut = false }
	default:
		return s.startResponseFault(fault)
	}
}

// startPurges purges a share of the groups, or the most popular objects of both cached classes, alternating between
// the classes.
func (s *Simulation) startPurges(fault *scenario.Fault) {
	if fault.Kind == scenario.KindPurge {
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

// startDiscoveryFault delays load reports or discovery events, or cuts routers off from the discovery service.
func (s *Simulation) startDiscoveryFault(fault *scenario.Fault) (endFault func()) {
	delay := int64(fault.Strength * second)
	switch fault.Kind {
	case scenario.KindLateReports:
		s.reportDelay += delay
		return func() { s.reportDelay -= delay }
	case scenario.KindLateDiscovery:
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

// startLoadFault changes the objects that clients request, or the rate of their requests.
func (s *Simulation) startLoadFault(fault *scenario.Fault) (endFault func()) {
	if fault.Kind == scenario.KindOneTimeObjects {
		s.oneTimeShare = fault.Share
		return func() { s.oneTimeShare = 0 }
	}
	s.loadFactor *= fault.Strength
	return func() { s.loadFactor /= fault.Strength }
}
