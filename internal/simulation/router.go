package simulation

import (
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// killRouter kills a router: its hops' connections end, its clients see a reset.
func (w *World) killRouter(router *router) {
	router.up, router.downAt, router.heldNotices, router.suspensions = false, w.now, nil, 0
	router.incarnation++
	w.record(Entry{Kind: eventlog.KindRouterDown, Router: router.id})
	w.driver.Down(router.id)
	for _, attempt := range w.attemptsOf(router.id) {
		delete(w.attempts, attemptKey{attempt.Router, attempt.Txn, attempt.N})
		w.schedule(attempt.latency, func() { attempt.target.detach(attempt) })
	}
	for _, id := range router.arrivalOrder {
		request := router.openRequests[id]
		if request == nil {
			continue
		}
		request.open = false
		delete(router.openRequests, id)
		w.schedule(w.jitter(w.scenario.Fleet.ClientMS*500), func() {
			w.retryOrFail(request.client, 0, w.classes[request.Rule].Effect == policy.EffectIdempotent)
		})
	}
	router.arrivalOrder = nil
}

func (w *World) attemptsOf(routerID int) (attempts []*Hop) {
	for key, attempt := range w.attempts {
		if key.router == routerID {
			attempts = append(attempts, attempt)
		}
	}
	slices.SortFunc(attempts, func(a, b *Hop) int {
		switch {
		case a.Txn != b.Txn && a.Txn < b.Txn, a.Txn == b.Txn && a.N < b.N:
			return -1
		}
		return 1
	})
	return attempts
}

func (w *World) startRouter(router *router) {
	if router.up {
		return
	}
	router.up, router.notifiedAt = true, w.now
	w.record(Entry{Kind: eventlog.KindRouterUp, Router: router.id})
	w.driver.Up(router.id, w.Known())
}

type router struct {
	id           int
	office       int
	up           bool
	incarnation  int
	suspensions  int  // troubles that hold it
	discoveryCut bool // it can't reach the board
	downAt       int64
	notifiedAt   int64 // the last notice; later ones come behind it
	heldNotices  []heldNotice
	openRequests map[string]*Ask
	arrivalOrder []string // in the order of arrival, for a router's death
}

func (r *router) compactArrivalOrder() {
	list := r.arrivalOrder[:0]
	for _, id := range r.arrivalOrder {
		if r.openRequests[id] != nil {
			list = append(list, id)
		}
	}
	r.arrivalOrder = list
}
