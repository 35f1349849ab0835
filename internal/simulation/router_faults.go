package simulation

import (
	"math"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/scenario"
)

// drawRouters draws a share of the routers at a trouble's place.
func (w *World) drawRouters(fault *scenario.Fault) (routers []*router) {
	for _, router := range w.routers {
		if router.up && (fault.Office == 0 || router.office == fault.Office-1) {
			routers = append(routers, router)
		}
	}
	w.random.Shuffle(len(routers), func(i, j int) { routers[i], routers[j] = routers[j], routers[i] })
	return routers[:min(len(routers), int(math.Ceil(fault.Share*float64(len(routers)))))]
}

// suspendRouters lets routers stand still for a trouble's time.
func (w *World) suspendRouters(fault *scenario.Fault) (endFault func()) {
	routers := w.drawRouters(fault)
	incarnations := map[*router]int{}
	for _, router := range routers {
		incarnations[router] = router.incarnation
		if router.suspensions++; router.suspensions == 1 {
			w.record(Entry{Kind: eventlog.KindRouterStopped, Router: router.id})
			w.driver.Stop(router.id)
		}
	}
	return func() {
		for _, router := range routers {
			if !router.up || router.incarnation != incarnations[router] {
				continue // it was killed meanwhile
			}
			if router.suspensions--; router.suspensions == 0 {
				w.record(Entry{Kind: eventlog.KindRouterWoken, Router: router.id})
				w.driver.Wake(router.id)
			}
		}
	}
}

func (w *World) killRouters(fault *scenario.Fault) (endFault func()) {
	routers := w.drawRouters(fault)
	for _, router := range routers {
		w.killRouter(router)
	}
	return func() {
		for _, router := range routers {
			w.startRouter(router)
		}
	}
}
