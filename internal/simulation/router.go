package simulation

import (
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// routerDown kills a router: its hops' connections end, its clients see a reset.
func (w *World) routerDown(r *router) {
	r.up, r.downAt, r.held, r.stopped = false, w.now, nil, 0
	r.life++
	w.note(Entry{Kind: eventlog.KindRouterDown, Router: r.id})
	w.driver.Down(r.id)
	for _, h := range w.hopsOf(r.id) {
		delete(w.hops, hopKey{h.Router, h.Txn, h.N})
		w.after(h.latent, func() { h.at.stop(h) })
	}
	for _, id := range r.openSeq {
		a := r.open[id]
		if a == nil {
			continue
		}
		a.open = false
		delete(r.open, id)
		w.after(w.jitter(w.set.Fleet.ClientMS*500), func() {
			w.again(a.client, 0, w.rules[a.Rule].Effect == policy.EffectIdempotent)
		})
	}
	r.openSeq = nil
}

func (w *World) hopsOf(router int) (out []*Hop) {
	for k, h := range w.hops {
		if k.router == router {
			out = append(out, h)
		}
	}
	slices.SortFunc(out, func(a, b *Hop) int {
		switch {
		case a.Txn != b.Txn && a.Txn < b.Txn, a.Txn == b.Txn && a.N < b.N:
			return -1
		}
		return 1
	})
	return out
}

func (w *World) routerUp(r *router) {
	if r.up {
		return
	}
	r.up, r.toldAt = true, w.now
	w.note(Entry{Kind: eventlog.KindRouterUp, Router: r.id})
	w.driver.Up(r.id, w.Known())
}

type router struct {
	id      int
	office  int
	up      bool
	life    int
	stopped int  // troubles that hold it
	cut     bool // it can't reach the board
	downAt  int64
	toldAt  int64 // the last notice; later ones come behind it
	held    []heldNotice
	open    map[string]*Ask
	openSeq []string // in the order of arrival, for a router's death
}

func (r *router) compact() {
	list := r.openSeq[:0]
	for _, id := range r.openSeq {
		if r.open[id] != nil {
			list = append(list, id)
		}
	}
	r.openSeq = list
}
