package simulation

import (
	"fmt"
	"math"
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/scenario"
)

// some draws a share of the servers at a trouble's place, in a stated order: the
// draw is made when the trouble begins.
func (w *World) some(t *scenario.Fault, of [][]*server) (out []*server) {
	for i, l := range of {
		if t.Office > 0 && i != t.Office-1 || t.Trunk > 0 && w.set.Fleet.Trunk(i) != t.Trunk-1 {
			continue
		}
		for _, s := range l {
			if s.up {
				out = append(out, s)
			}
		}
	}
	return w.part(out, t.Share)
}

func (w *World) part(list []*server, share float64) []*server {
	w.dice.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), int(math.Ceil(share*float64(len(list)))))]
}

// plan sets a trouble's beginning and end.
func (w *World) plan(t *scenario.Fault) {
	w.after(int64(t.At*1e6), func() {
		w.troubled++
		w.lastTurn = w.now
		w.note(Entry{Kind: eventlog.KindFault, Outcome: "begins", State: t.Kind, Until: w.now + int64(t.For*1e6)})
		w.Result.Troubles = append(w.Result.Troubles, fmt.Sprintf("%.1f s: %s", float64(w.now)/1e6, t.Kind))
		over := w.begins(t)
		w.after(int64(t.For*1e6), func() {
			w.troubled--
			w.lastTurn = w.now
			w.note(Entry{Kind: eventlog.KindFault, Outcome: "ends", State: t.Kind})
			if over != nil {
				over()
			}
		})
	})
}

// begins starts a trouble and returns what ends it.
func (w *World) begins(t *scenario.Fault) (over func()) {
	switch t.Kind {
	case "die", "silent":
		return w.lose(w.some(t, w.caches), t.Kind == "silent")
	case "office_lost":
		one := *t
		if one.Office == 0 {
			one.Office = 1 + w.dice.IntN(len(w.caches))
		}
		return w.lose(w.some(&one, w.caches), false)
	case "parents_lost":
		trunk := t.Trunk
		if trunk == 0 {
			trunk = 1 + w.dice.IntN(len(w.parents))
		}
		return w.lose(w.part(slices.Clone(w.parents[trunk-1]), t.Share), false)
	case "pause":
		return w.pauses(w.some(t, w.caches), t)
	case "deploy":
		w.deploy(w.some(t, w.caches), t)
	case "preempt":
		return w.preempt(w.some(t, w.caches), int64(t.Strength*1e6))
	case "purge":
		for g := range int64(groupCount) {
			if w.dice.Float64() < t.Share {
				w.purge(-1, g)
			}
		}
	case "purge_object":
		for i := range min(int(t.Strength), len(w.cat.ranks[0])) {
			w.purge(w.cat.ranks[i%2][i/2], 0)
		}
	case "ledger_slow":
		w.ledger.slow *= t.Strength
		w.ledger.power()
		return func() { w.ledger.slow /= t.Strength; w.ledger.power() }
	case "ledger_stop":
		w.ledger.pauses++
		w.ledger.power()
		return func() { w.ledger.pauses--; w.ledger.power() }
	case "late_reports":
		w.reportLag += int64(t.Strength * 1e6)
		return func() { w.reportLag -= int64(t.Strength * 1e6) }
	case "late_board":
		w.late += int64(t.Strength * 1e6)
		return func() { w.late -= int64(t.Strength * 1e6) }
	case "site_cut":
		w.sitesCut = true
		return func() { w.sitesCut = false }
	case "cut_board":
		if t.Share >= 1 && t.Office == 0 {
			w.cut = true
			return w.mend
		}
		list := w.someRouters(t)
		for _, r := range list {
			r.cut = true
		}
		return func() {
			for _, r := range list {
				r.cut = false
			}
			if !w.cut {
				w.mend()
			}
		}
	case "router_stops":
		return w.stopRouters(t)
	case "router_starves":
		list := w.someRouters(t)
		for _, r := range list {
			w.driver.Starve(r.id, t.Strength)
		}
		return func() {
			for _, r := range list {
				w.driver.Starve(r.id, 0)
			}
		}
	case "ways_delay", "ways_jitter", "ways_loss", "ways_double", "ways_reorder", "ways_slow", "ways_cut", "ways_one_way", "ways_camps", "ways_chain":
		return w.spoilWays(t)
	case "once":
		w.onceShare = t.Share
		return func() { w.onceShare = 0 }
	case "burst":
		w.burst *= t.Strength
		return func() { w.burst /= t.Strength }
	case "router_dies":
		return w.loseRouters(t)
	default: // resets, endless, spoilt, errors
		x := &spell{t.Kind, t.Office, t.Share}
		w.spells = append(w.spells, x)
		return func() { w.spells = slices.DeleteFunc(w.spells, func(o *spell) bool { return o == x }) }
	}
	return nil
}
