package simulation

import (
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// Hop takes a hop that a router sends at its time. It comes to the server after
// the way there.
func (w *World) Hop(h *Hop) {
	w.Result.Hops++
	h.at, h.sent = w.servers[h.Server], w.now
	h.from = w.servers[h.Source]
	h.obj = w.cat.id(h.Object)
	w.note(Entry{
		Kind: eventlog.KindSent, Router: h.Router, Request: h.Txn, Attempt: h.N, Endpoint: h.Server, Source: h.Source, Object: h.Object,
		Group: h.Group, Class: w.rules[h.Rule].Name,
	})
	if h.at == nil {
		return // a server that never was: nothing answers
	}
	h.latent = w.away(w.routers[h.Router].office, h.at)
	w.hops[hopKey{h.Router, h.Txn, h.N}] = h
	w.after(h.latent, func() { w.come(h) })
}

// Cancel takes that a router gives a hop up; the server hears of it later.
func (w *World) Cancel(router int, txn string, n int) {
	key := hopKey{router, txn, n}
	if h := w.hops[key]; h != nil {
		delete(w.hops, key)
		w.after(h.latent, func() { h.at.stop(h) })
	}
}

func (w *World) come(h *Hop) {
	s := h.at
	switch {
	case h.state == ended:
		return
	case !s.up && s.silent:
		return
	case !s.up:
		s.end(h, End{Outcome: policy.OutcomeConnectionRefused})
		return
	}
	w.note(Entry{Kind: eventlog.KindArrived, Router: h.Router, Request: h.Txn, Attempt: h.N, Endpoint: s.uid})
	h.place = len(s.hops)
	s.hops = append(s.hops, h)
	work := h.SizeKB / w.set.Fleet.FlowKBPerS * 1e6
	if s.charge(work) {
		s.fall()
		return
	}
	switch s.kind {
	case cache:
		s.admit(h)
	case parent:
		s.fetchFor(h)
	case ledger:
		s.ledgerWork(h)
	}
}

// end answers a hop. What the router gets takes the way back, and a trouble may
// get between.
func (s *server) end(h *Hop, e End) {
	if h.state == ended {
		return
	}
	s.stop(h)
	e.Load = s.load
	if e.Outcome != policy.OutcomeConnectionReset && e.Outcome != policy.OutcomeConnectionRefused {
		s.w.Result.Ends[e.Outcome.String()]++
		if e = s.w.spoil(s, e); e.Outcome == policy.OutcomeUnknown {
			return // it never comes
		}
	}
	s.w.after(h.latent, func() { s.w.deliver(h, e) })
}

func (w *World) deliver(h *Hop, e End) {
	key := hopKey{h.Router, h.Txn, h.N}
	if w.hops[key] != h {
		return // the router has given it up
	}
	delete(w.hops, key)
	w.note(Entry{Kind: eventlog.KindEnded, Router: h.Router, Request: h.Txn, Attempt: h.N, Endpoint: h.Server, Outcome: e.Outcome.String(), Issued: e.Issued})
	w.driver.End(h.Router, h, e)
}

// stop takes a hop off its server: it has ended, or was given up.
func (s *server) stop(h *Hop) {
	if h.state == ended {
		return
	}
	was := h.state
	h.state = ended
	if h.place < len(s.hops) && s.hops[h.place] == h {
		last := len(s.hops) - 1
		s.hops[h.place] = s.hops[last]
		s.hops[h.place].place = h.place
		s.hops[last] = nil
		s.hops = s.hops[:last]
	}
	if f := h.fill; f != nil {
		h.fill = nil
		f.leave(h)
	}
	if h.job != nil {
		h.job.of.remove(h.job)
		h.job = nil
	}
	if s.kind != cache {
		return
	}
	switch was {
	case waiting:
		if i := slices.Index(s.queue, h); i >= 0 {
			s.queue = slices.Delete(s.queue, i, i+1)
		}
	case working:
		s.slots--
		s.power()
		s.next()
	}
}

// ran notes that a hop's work was done in part at least.
func (w *World) ran(h *Hop) {
	w.note(Entry{Kind: eventlog.KindRan, Router: h.Router, Request: h.Txn, Attempt: h.N, Endpoint: h.at.uid, Class: w.rules[h.Rule].Name})
}

// Hop is what a router sends to a server.
type Hop struct {
	Router         int
	Txn            string
	N              int
	Server, Source string // Source "": a miss is not filled
	Rank           int
	FillMode       policy.FillMode
	Within         int64 // the oldest copy that will do; 0: the rule's
	Rule           int
	Object         string
	Part           int64
	Group          int64
	SizeKB         float64
	Write          bool
	Tag            any // the driver's own

	at     *server
	from   *server
	obj    int64
	state  hopState
	place  int // in the server's list
	job    *job
	fill   *fill
	sent   int64
	latent int64 // one way
}

type hopState uint8

const (
	onTheWay hopState = iota
	waiting           // in the server's waiting room
	working           // has a slot
	ended
)

type hopKey struct {
	router int
	txn    string
	n      int
}
