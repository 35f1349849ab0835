package simulation

import (
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// heldNotice waits at a board that can't be reached.
type heldNotice struct{ n Notice }

// list changes what the board tells of a server, some time from now.
func (w *World) list(s *server, state policy.EndpointState, delay int64) {
	s.listed = state
	e := s.entry()
	w.note(Entry{Kind: eventlog.KindListed, Endpoint: s.uid, State: string(state), Until: w.now + delay})
	w.after(delay, func() { w.announce(Notice{Servers: []Server{e}}) })
}

// announce puts an event on the board. Each router has it a little later, in order.
func (w *World) announce(n Notice) {
	f := &w.set.Fleet
	for _, r := range w.routers {
		at := max(r.toldAt, w.now+w.jitter(f.DiscoveryDelayMS*1000)+w.late)
		r.toldAt = at
		w.after(at-w.now, func() { w.tell(r, n) })
	}
}

func (w *World) tell(r *router, n Notice) {
	if !r.up {
		return // it has the list as it is when it starts
	}
	if w.cut || r.cut {
		r.held = append(r.held, heldNotice{n})
		return
	}
	for _, s := range n.Servers {
		w.note(Entry{Kind: eventlog.KindNotified, Router: r.id, Endpoint: s.ID, State: string(s.State)})
	}
	if n.Purge {
		w.note(Entry{Kind: eventlog.KindPurgeNotified, Router: r.id, Object: n.Object, Group: n.Group, Until: n.At})
	}
	w.driver.Told(r.id, n)
}

// mend lets a board that was cut be reached again.
func (w *World) mend() {
	w.cut = false
	for _, r := range w.routers {
		if r.cut {
			continue
		}
		held := r.held
		r.held = nil
		for _, h := range held {
			w.tell(r, h.n)
		}
	}
}

// Known is the list as it is, in order.
func (w *World) Known() (list []Server) {
	add := func(s *server) {
		if s.listed != policy.EndpointGone {
			list = append(list, s.entry())
		}
	}
	for _, l := range slices.Concat(w.caches, w.parents) {
		for _, s := range l {
			add(s)
		}
	}
	add(w.ledger)
	return list
}
