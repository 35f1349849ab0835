package simulation

import (
	"slices"

	"quilldoor/internal/policy"
)

// fill is a fetch that is under way; hops that join it wait for it as well.
type fill struct {
	at      *server
	key     int64
	hops    []*Hop
	rank    int
	jobs    []*job
	left    int // parts of the transfer that are not over
	begun   int64
	issued  int64
	note    policy.Reason
	life    int64
	dropped bool
}

// ask sends a fill to its source.
func (x *fill) ask(h *Hop) {
	w, from := x.at.w, h.from
	way := w.away(x.at.office, from)
	ask := *h // the hop may leave while the fill runs on
	w.after(way, func() {
		if x.dropped {
			return
		}
		work := ask.SizeKB / w.set.Fleet.FlowKBPerS * 1e6
		switch {
		case !from.up && from.silent:
			return // until the hop is given up
		case !from.up:
			w.after(way, func() { x.fail(policy.ReasonUpstreamDown) })
			return
		case from.kind != ledger && from.charge(work):
			from.fall()
			w.after(way, func() { x.fail(policy.ReasonUpstreamDown) })
			return
		}
		from.supply(&ask, func(issued int64, note policy.Reason) {
			if note >= policy.ReasonUpstreamBusy {
				w.after(way, func() { x.fail(note) })
				return
			}
			x.issued, x.note = issued, note
			w.after(way, func() { x.transfer(&ask, from) })
		})
	})
}

// transfer takes a fill's bytes over the source's link out, the office's link in,
// and no faster than its pace; it is over when all three are.
func (x *fill) transfer(h *Hop, from *server) {
	w, f := x.at.w, &x.at.w.set.Fleet
	if x.dropped || x.life != x.at.life {
		return
	}
	pace := f.FillSpeed * f.FlowKBPerS / 1e6 / float64(1+w.trunks(x.at.office, from))
	part := func() {
		if x.left--; x.left == 0 && !x.dropped {
			x.done(h)
		}
	}
	w.Result.filled(w, h.SizeKB, from.kind == ledger)
	x.left = 2
	if from.out != nil {
		x.left++
		x.jobs = append(x.jobs, from.out.add(h.SizeKB, part))
	}
	x.jobs = append(x.jobs, w.links[x.at.office].add(h.SizeKB, part))
	w.after(int64(h.SizeKB/pace), part)
}

func (x *fill) over() {
	x.at.fillsN--
	if x.at.fills[x.key] == x {
		delete(x.at.fills, x.key)
	}
}

func (x *fill) done(h *Hop) {
	s := x.at
	x.dropped = true
	x.over()
	if x.rank > 0 && x.issued > s.w.purgedAt(h.obj, h.Group) {
		s.store.put(x.key, h.SizeKB, x.issued, h.Group, x.rank)
	}
	for i, h := range x.hops {
		h.fill = nil
		note := x.note
		if i > 0 {
			note = policy.ReasonCoalesced
		}
		s.send(h, note, x.issued, s.w.now-x.begun)
	}
	x.hops = nil
}

func (x *fill) fail(note policy.Reason) {
	if x.dropped || x.life != x.at.life {
		return
	}
	x.drop()
	x.over()
	hops := x.hops
	x.hops = nil
	for _, h := range hops {
		h.fill = nil
		x.at.end(h, End{Outcome: policy.OutcomeError, Reason: note, Waited: x.at.w.now - x.begun})
	}
}

// drop ends a fill's transfers.
func (x *fill) drop() {
	x.dropped = true
	for _, j := range x.jobs {
		j.of.remove(j)
	}
	x.jobs = nil
}

// leave takes a hop from a fill; one that nobody waits for is dropped, or runs on.
func (x *fill) leave(h *Hop) {
	x.hops = slices.DeleteFunc(x.hops, func(o *Hop) bool { return o == h })
	if len(x.hops) == 0 && !x.dropped && !x.at.w.set.Fleet.OrphanFills {
		x.drop()
		x.over()
	}
}

// supply is what a source does for a fill: a parent or another cache gives what
// it holds, or fetches it; the ledger makes it.
func (s *server) supply(h *Hop, done func(issued int64, note policy.Reason)) {
	w := s.w
	switch s.kind {
	case ledger:
		s.read(done)
	case cache: // another office's: only what it holds
		if c := s.store.get(keyOf(h.obj, h.Part)); c != nil && c.issued > w.purgedAt(h.obj, h.Group) {
			done(c.issued, policy.ReasonMiss)
		} else {
			done(0, policy.ReasonUpstreamMiss)
		}
	default:
		s.fetch(h, done)
	}
}
