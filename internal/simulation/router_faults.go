package simulation

import (
	"math"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/scenario"
)

// someRouters draws a share of the routers at a trouble's place.
func (w *World) someRouters(t *scenario.Fault) (list []*router) {
	for _, r := range w.routers {
		if r.up && (t.Office == 0 || r.office == t.Office-1) {
			list = append(list, r)
		}
	}
	w.dice.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), int(math.Ceil(t.Share*float64(len(list)))))]
}

// stopRouters lets routers stand still for a trouble's time.
func (w *World) stopRouters(t *scenario.Fault) (over func()) {
	list := w.someRouters(t)
	lives := map[*router]int{}
	for _, r := range list {
		lives[r] = r.life
		if r.stopped++; r.stopped == 1 {
			w.note(Entry{Kind: eventlog.KindRouterStopped, Router: r.id})
			w.driver.Stop(r.id)
		}
	}
	return func() {
		for _, r := range list {
			if !r.up || r.life != lives[r] {
				continue // it was killed meanwhile
			}
			if r.stopped--; r.stopped == 0 {
				w.note(Entry{Kind: eventlog.KindRouterWoken, Router: r.id})
				w.driver.Wake(r.id)
			}
		}
	}
}

func (w *World) loseRouters(t *scenario.Fault) (over func()) {
	list := w.someRouters(t)
	for _, r := range list {
		w.routerDown(r)
	}
	return func() {
		for _, r := range list {
			w.routerUp(r)
		}
	}
}
