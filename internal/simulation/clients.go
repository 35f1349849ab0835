package simulation

import (
	"gonum.org/v1/gonum/stat/distuv"

	"quilldoor/internal/scenario"
)

// clients is how requests come about: pages and acceptances one by one, videos
// as viewers who ask for part after part.
type clients struct {
	n    uint64
	wait distuv.Exponential
}

type view struct {
	office int
	object int64
	part   int64
}

func (w *World) startClients() {
	w.clients.wait = distuv.Exponential{Rate: 1, Src: w.dice}
	for o := range w.set.Fleet.Offices {
		w.after(0, func() { w.arrive(o) })
	}
	if d := w.set.Load.DriftS; d > 0 {
		var drift func()
		drift = func() {
			w.cat.drift(w.dice)
			w.after(int64(d*1e6), drift)
		}
		w.after(int64(d*1e6), drift)
	}
}

// meanParts is what a viewer asks for on average, with a chance of a tenth to
// stop after each.
const (
	meanParts = 7.2
	stopEach  = 0.1
)

// arrive is one office's clients: the next comes by chance.
func (w *World) arrive(office int) {
	l := &w.set.Load
	if w.now >= w.end {
		return
	}
	rate := l.RequestsPerS / float64(w.set.Fleet.Offices) * w.burst * l.Weight(office, w.set.Fleet.Offices)
	page, video := 1-l.VideoShare-l.WriteShare, l.VideoShare/meanParts
	total := page + video + l.WriteShare
	w.after(int64(w.clients.wait.Rand()*1e6/(rate*total))+1, func() { w.arrive(office) })
	switch x := w.dice.Float64() * total; {
	case x < l.WriteShare:
		w.begin(&client{office: office, rule: scenario.ClassAccept, object: w.cat.onlyOnce(scenario.ClassPage)})
	case x < l.WriteShare+page:
		w.begin(&client{office: office, rule: scenario.ClassPage, object: w.pick(scenario.ClassPage, office)})
	default:
		v := &view{office: office, object: w.pick(scenario.ClassVideo, office)}
		w.watch(v)
	}
}

func (w *World) pick(rule, office int) int64 {
	if w.onceShare > 0 && w.dice.Float64() < w.onceShare {
		return w.cat.onlyOnce(rule)
	}
	return w.cat.draw(rule, office)
}

// watch asks for a video's next part, and for the one after it some time later.
func (w *World) watch(v *view) {
	w.begin(&client{office: v.office, rule: scenario.ClassVideo, object: v.object, part: v.part, view: v})
	if v.part++; w.now < w.end && v.part < w.cat.parts(v.object) && w.dice.Float64() > stopEach {
		w.after(int64(4e5+w.dice.Float64()*3.5e5), func() { w.watch(v) })
	}
}

func (w *World) begin(c *client) {
	l := &w.set.Load
	c.first, c.honours = w.now, w.dice.Float64() < l.HonourShare
	c.patience = int64(float64(w.rules[c.rule].Timeout) * l.Patience)
	c.phase = w.phase()
	w.Result.asked(w, c)
	w.live++
	w.try(c)
}

// phase names the part of the run for the counts.
func (w *World) phase() string {
	switch {
	case w.now < int64(w.set.WarmUpS*1e6):
		return "settle"
	case w.troubled > 0:
		return "trouble"
	}
	return "calm"
}
