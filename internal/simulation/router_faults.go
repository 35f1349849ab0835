package simulation

import (
	"quilldoor/internal/eventlog"
	"quilldoor/internal/scenario"
)

// startRouterFault kills, suspends or starves a share of the routers.
func (s *Simulation) startRouterFault(fault *scenario.Fault) (endFault func()) {
	routers := s.drawRouters(fault)
	switch fault.Kind {
	case scenario.KindRouterSuspension:
		return s.suspendRouters(routers)
	case scenario.KindRouterStarvation:
		return s.starveRouters(routers, fault.Strength)
	default:
		return s.killRouters(routers)
	}
}

// drawRouters draws a share of the routers that are up at the fault's office, or of all that are up.
func (s *Simulation) drawRouters(fault *scenario.Fault) []*router {
	var candidates []*router
	for _, router := range s.routers {
		if router.up && (fault.Office == 0 || router.office == fault.Office-1) {
			candidates = append(candidates, router)
		}
	}
	return drawShare(s.random, candidates, fault.Share)
}

// suspendRouters suspends routers until the fault ends. Where several such faults overlap, the last one to end
// resumes a router.
func (s *Simulation) suspendRouters(routers []*router) (endFault func()) {
	incarnations := map[*router]int{}
	for _, router := range routers {
		incarnations[router] = router.incarnation
		router.suspensions++
		if router.suspensions == 1 {
			s.record(Entry{Kind: eventlog.KindRouterSuspended, Router: router.id})
			s.driver.SuspendRouter(router.id)
		}
	}
	return func() {
		for _, router := range routers {
			if !router.up || router.incarnation != incarnations[router] {
				continue // it was killed meanwhile
			}
			router.suspensions--
			if router.suspensions == 0 {
				s.record(Entry{Kind: eventlog.KindRouterResumed, Router: router.id})
				s.driver.ResumeRouter(router.id)
			}
		}
	}
}

// starveRouters lets other processes use a share of the routers' CPU time until the fault ends.
func (s *Simulation) starveRouters(routers []*router, share float64) (endFault func()) {
	for _, router := range routers {
		s.driver.StarveRouter(router.id, share)
	}
	return func() {
		for _, router := range routers {
			s.driver.StarveRouter(router.id, 0)
		}
	}
}

// killRouters kills routers, which start again when the fault ends.
func (s *Simulation) killRouters(routers []*router) (endFault func()) {
	for _, router := range routers {
		s.killRouter(router)
	}
	return func() {
		for _, router := range routers {
			s.startRouter(router)
		}
	}
}
