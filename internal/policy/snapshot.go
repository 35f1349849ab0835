package policy

import (
	"errors"
	"slices"
)

// Learned is what an instance has learned, for one that takes its place in the same second: the sketch, the
// lists, limits, rests, what cold servers were sent, purges. It decides nothing. Open txns stay where they are.
// Times are those of Handle; fields that an earlier text did not have are zero.
type Learned struct {
	Rows     [4][]uint64       `cbor:"1,keyasint"`
	Door     []uint64          `cbor:"2,keyasint"`
	Sample   int               `cbor:"3,keyasint"`
	HalveAt  int64             `cbor:"4,keyasint,omitempty"`
	Servers  []LearnedServer   `cbor:"5,keyasint"`
	Beyond   [3]LearnedRoom    `cbor:"6,keyasint"`
	Works    map[string]Works  `cbor:"7,keyasint,omitempty"`
	Failed   []LearnedEnd      `cbor:"8,keyasint,omitempty"`
	Values   []float64         `cbor:"9,keyasint,omitempty"`
	Purges   []LearnedPurge    `cbor:"10,keyasint,omitempty"`
	HoldTill int64             `cbor:"11,keyasint,omitempty"`
	Extra    map[string][]byte `cbor:"12,keyasint,omitempty"` // of later texts
}

// Works are sending times of a rule's last txns.
type Works []int64

// LearnedServer is what is known of a server.
type LearnedServer struct {
	ID      string         `cbor:"1,keyasint"`
	Born    int64          `cbor:"2,keyasint,omitempty"`
	Health  uint8          `cbor:"3,keyasint"`
	Due     int64          `cbor:"4,keyasint,omitempty"`
	Rests   int64          `cbor:"5,keyasint,omitempty"`
	SpentAt []int64        `cbor:"6,keyasint,omitempty"`  // when work was sent to it while cold ...
	Spent   []int64        `cbor:"7,keyasint,omitempty"`  // ... how much ...
	Vary    []float64      `cbor:"12,keyasint,omitempty"` // ... and the variance of that
	Link    float64        `cbor:"8,keyasint,omitempty"`
	Late    []LearnedEnd   `cbor:"9,keyasint,omitempty"`
	Kept    []uint64       `cbor:"10,keyasint,omitempty"`
	Own     [3]LearnedRoom `cbor:"11,keyasint"`
}

// LearnedRoom is a limit with its last hops.
type LearnedRoom struct {
	Limit float64      `cbor:"1,keyasint"`
	CutAt int64        `cbor:"2,keyasint,omitempty"`
	Late  []LearnedEnd `cbor:"3,keyasint,omitempty"`
}

// LearnedEnd is how a hop ended.
type LearnedEnd struct {
	_   struct{} `cbor:",toarray"`
	At  int64
	Bad bool
}

// LearnedPurge is one that still binds.
type LearnedPurge struct {
	_      struct{} `cbor:",toarray"`
	Object string
	Group  int64
	At     int64
}

func ends(list []end) (out []LearnedEnd) {
	for _, e := range list {
		out = append(out, LearnedEnd{At: e.at, Bad: e.bad})
	}
	return out
}

func unends(list []LearnedEnd) (out []end) {
	for _, e := range list[max(len(list)-mostEnds, 0):] {
		out = append(out, end{e.At, e.Bad})
	}
	return out
}

// Bounds on what is taken over: what an instance can hold itself, with room.
const mostEnds, mostLearned, mostLearnedPurges = 4096, 20_000, 65_536

func (m *room) learned() LearnedRoom { return LearnedRoom{m.limit, m.cutAt, ends(m.late)} }

func (m *room) take(l LearnedRoom) {
	if l.Limit > 0 { // no later text may hand over that nothing is allowed
		m.limit, m.cutAt, m.late = l.Limit, l.CutAt, unends(l.Late)
	}
}

// Learned tells what the instance knows. It shares nothing with it.
func (r *Router) Learned() *Learned {
	l := &Learned{Door: slices.Clone(r.sketch.door[:]), Sample: r.sketch.sample, HalveAt: r.halveAt,
		Works: map[string]Works{}, Failed: ends(r.failed), Values: slices.Clone(r.values), HoldTill: r.holdTill}
	for i := range r.sketch.rows {
		l.Rows[i] = slices.Clone(r.sketch.rows[i][:])
		if i < len(r.beyond) {
			l.Beyond[i] = r.beyond[i].learned()
		}
	}
	for _, s := range r.order {
		x := LearnedServer{ID: s.id, Born: s.born, Health: uint8(s.health), Due: s.due, Rests: s.rests, Link: s.link, Late: ends(s.late),
			Kept: slices.Clone(s.kept)}
		for _, p := range s.spent {
			x.SpentAt, x.Spent, x.Vary = append(x.SpentAt, p.at), append(x.Spent, p.work), append(x.Vary, p.vary)
		}
		for i := range s.own {
			x.Own[i] = s.own[i].learned()
		}
		l.Servers = append(l.Servers, x)
	}
	for name, k := range r.rules {
		if len(k.works) > 0 {
			l.Works[name] = slices.Clone(k.works)
		}
	}
	for _, p := range r.purges {
		l.Purges = append(l.Purges, LearnedPurge{Object: p.object, Group: p.group, At: p.at})
	}
	return l
}

// ErrLearned says that what was handed over has another shape, and that nothing of it was taken.
var ErrLearned = errors.New("learned state of another shape")

// Learn takes over what another instance knew, after the list and before the first txn. Servers that are not
// listed here are passed over; a later birth here stays.
func (r *Router) Learn(l *Learned) error {
	if len(l.Door) != len(r.sketch.door) || len(l.Servers) > mostLearned || len(l.Purges) > mostLearnedPurges {
		return ErrLearned
	}
	for i := range l.Rows {
		if len(l.Rows[i]) != len(r.sketch.rows[i]) {
			return ErrLearned
		}
	}
	for i := range l.Rows {
		copy(r.sketch.rows[i][:], l.Rows[i])
	}
	copy(r.sketch.door[:], l.Door)
	r.sketch.sample, r.halveAt, r.holdTill = max(l.Sample, 0), l.HalveAt, max(l.HoldTill, r.holdTill)
	for i := range r.beyond {
		r.beyond[i].take(l.Beyond[i])
	}
	for _, x := range l.Servers {
		s := r.servers[x.ID]
		if s == nil || s.born > x.Born {
			continue
		}
		switch h := health(x.Health); h {
		case up, doubt, down, trial:
			s.health = h
		}
		s.due, s.rests, s.link, s.late = x.Due, min(max(x.Rests, 0), 8), x.Link, unends(x.Late)
		s.kept = slices.Clone(x.Kept[max(len(x.Kept)-r.listCap, 0):])
		for i := range min(len(x.Spent), len(x.SpentAt), mostEnds) {
			p := spend{at: x.SpentAt[i], work: x.Spent[i]}
			if i < len(x.Vary) { // a text of before tells none
				p.vary = x.Vary[i]
			}
			s.spent = append(s.spent, p)
		}
		for i := range s.own {
			s.own[i].take(x.Own[i])
		}
	}
	for name, w := range l.Works {
		if k := r.rules[name]; k != nil {
			k.works = slices.Clone([]int64(w[max(len(w)-keepSamples, 0):]))
		}
	}
	r.failed, r.values = unends(l.Failed), slices.Clone(l.Values[max(len(l.Values)-keepSamples, 0):])
	for _, p := range l.Purges {
		r.purges = append(r.purges, purge{p.Object, p.Group, p.At})
	}
	return nil
}

// Outs tells the hops that are out, by server and kind; those that pass the caches by stand under "".
func (r *Router) Outs() map[string][3]float64 {
	out := map[string][3]float64{}
	for _, s := range r.order {
		if n := [3]float64{s.own[0].out, s.own[1].out, s.own[2].out}; n != [3]float64{} {
			out[s.id] = n
		}
	}
	if n := [3]float64{r.beyond[0].out, r.beyond[1].out, r.beyond[2].out}; n != [3]float64{} {
		out[""] = n
	}
	return out
}

// beside takes the hops that the other generation of this router has out: its limits are for both together.
func (r *Router) beside(outs map[string][3]float64) {
	for i := range r.beyond {
		r.beyond[i].beside = outs[""][i]
	}
	for _, s := range r.order {
		for i := range s.own {
			s.own[i].beside = outs[s.id][i]
		}
	}
}
