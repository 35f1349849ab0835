package simulation

import (
	"quilldoor/internal/eventlog"
	"quilldoor/internal/scenario"
)

// startRouterFault kills, suspends or starves a share of the routers.
func (w *Simulation) startRouterFault(fault *scenario.Fault) (endFault func()) {
	routers := w.drawRouters(fault)
	switch fault.Kind {
	case faultRouterSuspend:
		return w.suspendRouters(routers)
	case faultRouterStarve:
		return w.starveRouters(routers, fault.Strength)
	default:
		return w.killRouters(routers)
	}
}

// drawRouters draws a share of the routers that are up at a fault's place.
func (w *Simulation) drawRouters(fault *scenario.Fault) []*router {
	var candidates []*router
	for _, router := range w.routers {
		if router.up && (fault.Office == 0 || router.office == fault.Office-1) {
			candidates = append(candidates, router)
		}
	}
	return drawShare(w.random, candidates, fault.Share)
}

// suspendRouters suspends routers until the fault ends. Where several such faults overlap, the last one to end
// resumes a router.
func (w *Simulation) suspendRouters(routers []*router) (endFault func()) {
	incarnations := map[*router]int{}
	for _, router := range routers {
		incarnations[router] = router.incarnation
		router.suspensions++
		if router.suspensions == 1 {
			w.record(Entry{Kind: eventlog.KindRouterStopped, Router: router.id})
			w.driver.Stop(router.id)
		}
	}
	return func() {
		for _, router := range routers {
			if !router.up || router.incarnation != incarnations[router] {
				continue // it was killed meanwhile
			}
			router.suspensions--
			if router.suspensions == 0 {
				w.record(Entry{Kind: eventlog.KindRouterWoken, Router: router.id})
				w.driver.Wake(router.id)
			}
		}
	}
}

// starveRouters takes a share of the routers' CPU until the fault ends.
func (w *Simulation) starveRouters(routers []*router, share float64) (endFault func()) {
	for _, router := range routers {
		w.driver.Starve(router.id, share)
	}
	return func() {
		for _, router := range routers {
			w.driver.Starve(router.id, 0)
		}
	}
}

// killRouters kills routers, which start again when the fault ends.
func (w *Simulation) killRouters(routers []*router) (endFault func()) {
	for _, router := range routers {
		w.killRouter(router)
	}
	return func() {
		for _, router := range routers {
			w.startRouter(router)
		}
	}
}
