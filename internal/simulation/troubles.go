package simulation

import (
	"fmt"
	"math"
	"slices"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/netsim"
	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
)

// ---- The notice board ----

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

// purgedAt is when an object was purged last, by itself or with its group.
func (w *World) purgedAt(object, group int64) int64 {
	at := w.groups[group%groupCount]
	if o, ever := w.purged[object]; ever {
		at = max(at, o)
	}
	return at
}

// purge is an editor's: servers drop what it names within their time.
func (w *World) purge(object, group int64) {
	at := w.now
	n := Notice{Purge: true, Group: group, At: at}
	if object >= 0 {
		w.purged[object] = at
		n.Object, n.Group = w.cat.name(object), 0
	} else {
		w.groups[group] = at
	}
	w.note(Entry{Kind: eventlog.KindPurged, Object: n.Object, Group: n.Group, Until: at})
	for _, l := range slices.Concat(w.caches, w.parents) {
		for _, s := range l {
			w.after(int64(w.dice.Float64()*0.9*w.set.Fleet.PurgeCompleteMS*1000), func() { s.store.purge(object, group, at) })
		}
	}
	w.announce(n)
}

// ---- Troubles ----

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

// spoilWays puts a trouble on the ways between routers.
func (w *World) spoilWays(t *scenario.Fault) (over func()) {
	var all []int
	for _, r := range w.routers {
		if t.Office == 0 || r.office == t.Office-1 {
			all = append(all, r.id)
		}
	}
	w.wayDice.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	some := all[:min(len(all), int(math.Ceil(t.Share*float64(len(all)))))]
	x := &netsim.Fault{From: some, Bidirectional: true}
	switch t.Kind {
	case "ways_delay":
		x.Delay = int64(t.Strength * 1000)
	case "ways_jitter":
		x.Jitter = int64(t.Strength * 1000)
	case "ways_loss":
		x.Loss = t.Strength
	case "ways_double":
		x.Duplicate = t.Strength
	case "ways_reorder":
		x.Reorder = t.Strength
	case "ways_slow":
		x.BytesPerSecond = t.Strength * 1000
	case "ways_cut":
		x.Partitioned = true
	case "ways_one_way":
		x.Partitioned, x.Bidirectional = true, false
	case "ways_chain":
		third := len(all) / 3
		return w.Ways.Partition(all[:third], all[third:2*third])
	default: // ways_camps
		parts := int(t.Strength)
		first := int(math.Ceil(t.Share * float64(len(all))))
		if t.Share == 0 {
			first = len(all) / parts
		}
		camps, rest := [][]int{all[:first]}, all[first:]
		for i := 1; i < parts; i++ {
			n := len(rest) / (parts - i)
			camps, rest = append(camps, rest[:n]), rest[n:]
		}
		return w.Ways.Partition(camps...)
	}
	return w.Ways.AddFault(x)
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
