package simulation

import (
	"fmt"
	"slices"

	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
)

// spell is a share of answers that goes wrong at some caches.
type spell struct {
	kind   string
	office int // from 1; 0: all
	share  float64
}

// spoil lets troubles get between a server and its answer; no code: it never comes.
func (w *World) spoil(s *server, e End) End {
	if s.kind == cache && w.set.Fleet.ErrorShare > 0 && w.dice.Float64() < w.set.Fleet.ErrorShare {
		return End{Outcome: policy.OutcomeError, Load: e.Load}
	}
	for _, x := range w.spells {
		if x.kind == "ledger_resets" && s.kind == ledger && w.dice.Float64() < x.share {
			return End{Outcome: policy.OutcomeConnectionReset}
		}
		if s.kind != cache || x.kind == "ledger_resets" || x.office > 0 && s.office != x.office-1 || w.dice.Float64() >= x.share {
			continue
		}
		switch x.kind {
		case "resets":
			return End{Outcome: policy.OutcomeConnectionReset}
		case "spoilt":
			return End{Outcome: policy.OutcomeConnectionReset, Spoilt: true}
		case "endless":
			return End{}
		case "errors":
			return End{Outcome: policy.OutcomeError, Load: e.Load}
		}
	}
	return e
}

// lose takes servers away; the board hears of it late, and of their return.
func (w *World) lose(list []*server, silent bool) (over func()) {
	for _, s := range list {
		s.die(silent)
		w.list(s, policy.EndpointGone, w.jitter(w.set.Fleet.DeathDetectionMS*1000))
	}
	return func() { w.back(list) }
}

func (w *World) back(list []*server) {
	for _, s := range list {
		if s.up || s.fell {
			continue
		}
		s.start()
		w.list(s, policy.EndpointActive, 0)
	}
}

func (w *World) pauses(list []*server, t *scenario.Fault) (over func()) {
	going := true
	for _, s := range list {
		var again func()
		life := s.life
		again = func() {
			if !going || s.life != life {
				return
			}
			s.pauses++
			s.power()
			w.after(int64(t.Strength*1000), func() {
				if s.life == life {
					s.pauses--
					s.power()
				}
			})
			w.after(w.jitter(t.Every*1e6), again)
		}
		w.after(int64(w.dice.Float64()*t.Every*1e6), again)
	}
	return func() { going = false }
}

// deploy drains servers some at a time; a successor with a name of its own starts
// cold in the place of each.
func (w *World) deploy(list []*server, t *scenario.Fault) {
	const drained = 3 * second // what a drained one has left to finish
	for i := 0; i < len(list); i += int(t.Strength) {
		wave := list[i:min(i+int(t.Strength), len(list))]
		w.after(int64(float64(i)/t.Strength*t.Every*1e6), func() {
			for _, s := range wave {
				if !s.up {
					continue
				}
				w.list(s, policy.EndpointDraining, 0)
				w.after(drained, func() { w.replace(s) })
			}
		})
	}
}

func (w *World) replace(s *server) {
	if s.up {
		s.die(false)
	}
	w.list(s, policy.EndpointGone, 0)
	place := slices.Index(w.caches[s.office], s)
	if place < 0 {
		return
	}
	next := w.newCache(s.office, fmt.Sprintf("%s.%d", s.uid, w.seq))
	next.up = false
	w.caches[s.office][place] = next
	next.start()
	w.list(next, policy.EndpointActive, 0)
}

// preempt drains servers, and takes them away a moment later; they come back.
func (w *World) preempt(list []*server, notice int64) (over func()) {
	for _, s := range list {
		w.list(s, policy.EndpointDraining, 0)
		w.after(notice, func() {
			if s.up {
				s.die(false)
			}
			w.list(s, policy.EndpointGone, 0)
		})
	}
	return func() { w.back(list) }
}
