package policy

import (
	"errors"
	"slices"

	"quilldoor/internal/tinylfu"
)

// Snapshot is what an instance has learned, for one that takes its place in the same second: the sketch, the
// lists, limits, rests, what cold servers were sent, purges. It decides nothing. Open txns stay where they are.
// Times are those of Handle; fields that an earlier text did not have are zero.
type Snapshot struct {
	SketchRows         [4][]uint64              `cbor:"1,keyasint"`
	SketchDoorkeeper   []uint64                 `cbor:"2,keyasint"`
	SketchSample       int                      `cbor:"3,keyasint"`
	NextHalving        int64                    `cbor:"4,keyasint,omitempty"`
	Endpoints          []EndpointSnapshot       `cbor:"5,keyasint"`
	BypassLimiters     [3]LimiterSnapshot       `cbor:"6,keyasint"`
	TransferTimes      map[string]TransferTimes `cbor:"7,keyasint,omitempty"`
	FillFailures       []SampleSnapshot         `cbor:"8,keyasint,omitempty"`
	Priorities         []float64                `cbor:"9,keyasint,omitempty"`
	Purges             []PurgeSnapshot          `cbor:"10,keyasint,omitempty"`
	SlowStartHoldUntil int64                    `cbor:"11,keyasint,omitempty"`
	Extra              map[string][]byte        `cbor:"12,keyasint,omitempty"` // of later texts
}

// TransferTimes are sending times of a rule's last txns.
type TransferTimes []int64

// EndpointSnapshot is what is known of a server.
type EndpointSnapshot struct {
	ID               string             `cbor:"1,keyasint"`
	StartedAt        int64              `cbor:"2,keyasint,omitempty"`
	Health           uint8              `cbor:"3,keyasint"`
	DueAt            int64              `cbor:"4,keyasint,omitempty"`
	Ejections        int64              `cbor:"5,keyasint,omitempty"`
	ReservedAt       []int64            `cbor:"6,keyasint,omitempty"`  // when work was sent to it while cold ...
	ReservedWork     []int64            `cbor:"7,keyasint,omitempty"`  // ... how much ...
	ReservedVariance []float64          `cbor:"12,keyasint,omitempty"` // ... and the variance of that
	LinkUse          float64            `cbor:"8,keyasint,omitempty"`
	SourceSamples    []SampleSnapshot   `cbor:"9,keyasint,omitempty"`
	CachedObjects    []uint64           `cbor:"10,keyasint,omitempty"`
	Limiters         [3]LimiterSnapshot `cbor:"11,keyasint"`
}

// LimiterSnapshot is a limit with its last hops.
type LimiterSnapshot struct {
	Limit     float64          `cbor:"1,keyasint"`
	ReducedAt int64            `cbor:"2,keyasint,omitempty"`
	Samples   []SampleSnapshot `cbor:"3,keyasint,omitempty"`
}

// SampleSnapshot is how a hop ended.
type SampleSnapshot struct {
	_   struct{} `cbor:",toarray"`
	At  int64
	Bad bool
}

// PurgeSnapshot is one that still binds.
type PurgeSnapshot struct {
	_      struct{} `cbor:",toarray"`
	Object string
	Group  int64
	At     int64
}

func ends(list []end) (out []SampleSnapshot) {
	for _, e := range list {
		out = append(out, SampleSnapshot{At: e.at, Bad: e.bad})
	}
	return out
}

func unends(list []SampleSnapshot) (out []end) {
	for _, e := range list[max(len(list)-mostEnds, 0):] {
		out = append(out, end{e.At, e.Bad})
	}
	return out
}

// Bounds on what is taken over: what an instance can hold itself, with room.
const mostEnds, mostLearned, mostLearnedPurges = 4096, 20_000, 65_536

func (m *room) learned() LimiterSnapshot { return LimiterSnapshot{m.limit, m.cutAt, ends(m.late)} }

func (m *room) take(l LimiterSnapshot) {
	if l.Limit > 0 { // no later text may hand over that nothing is allowed
		m.limit, m.cutAt, m.late = l.Limit, l.ReducedAt, unends(l.Samples)
	}
}

// Snapshot tells what the instance knows. It shares nothing with it.
func (r *Router) Snapshot() *Snapshot {
	sketch := r.sketch.State()
	l := &Snapshot{
		SketchRows: sketch.Rows, SketchDoorkeeper: sketch.Doorkeeper, SketchSample: sketch.Samples, NextHalving: r.halveAt,
		TransferTimes: map[string]TransferTimes{}, FillFailures: ends(r.failed), Priorities: slices.Clone(r.values), SlowStartHoldUntil: r.holdTill,
	}
	for i := range r.beyond {
		l.BypassLimiters[i] = r.beyond[i].learned()
	}
	for _, s := range r.order {
		x := EndpointSnapshot{
			ID: s.id, StartedAt: s.born, Health: uint8(s.health), DueAt: s.due, Ejections: s.rests, LinkUse: s.link, SourceSamples: ends(s.late),
			CachedObjects: slices.Clone(s.kept),
		}
		for _, p := range s.spent {
			x.ReservedAt, x.ReservedWork, x.ReservedVariance = append(x.ReservedAt, p.at), append(x.ReservedWork, p.work), append(x.ReservedVariance, p.vary)
		}
		for i := range s.own {
			x.Limiters[i] = s.own[i].learned()
		}
		l.Endpoints = append(l.Endpoints, x)
	}
	for name, k := range r.rules {
		if len(k.works) > 0 {
			l.TransferTimes[name] = slices.Clone(k.works)
		}
	}
	for _, p := range r.purges {
		l.Purges = append(l.Purges, PurgeSnapshot{Object: p.object, Group: p.group, At: p.at})
	}
	return l
}

// ErrSnapshot says that what was handed over has another shape, and that nothing of it was taken.
var ErrSnapshot = errors.New("learned state of another shape")

// Restore takes over what another instance knew, after the list and before the first txn. Servers that are not
// listed here are passed over; a later birth here stays.
func (r *Router) Restore(l *Snapshot) error {
	sketch := tinylfu.State{Rows: l.SketchRows, Doorkeeper: l.SketchDoorkeeper, Samples: l.SketchSample}
	if !r.sketch.Fits(sketch) || len(l.Endpoints) > mostLearned || len(l.Purges) > mostLearnedPurges {
		return ErrSnapshot
	}
	if err := r.sketch.Restore(sketch); err != nil {
		return ErrSnapshot
	}
	r.halveAt, r.holdTill = l.NextHalving, max(l.SlowStartHoldUntil, r.holdTill)
	for i := range r.beyond {
		r.beyond[i].take(l.BypassLimiters[i])
	}
	for _, x := range l.Endpoints {
		s := r.servers[x.ID]
		if s == nil || s.born > x.StartedAt {
			continue
		}
		switch h := health(x.Health); h {
		case up, doubt, down, trial:
			s.health = h
		}
		s.due, s.rests, s.link, s.late = x.DueAt, min(max(x.Ejections, 0), 8), x.LinkUse, unends(x.SourceSamples)
		s.kept = slices.Clone(x.CachedObjects[max(len(x.CachedObjects)-r.listCap, 0):])
		for i := range min(len(x.ReservedWork), len(x.ReservedAt), mostEnds) {
			p := spend{at: x.ReservedAt[i], work: x.ReservedWork[i]}
			if i < len(x.ReservedVariance) { // a text of before tells none
				p.vary = x.ReservedVariance[i]
			}
			s.spent = append(s.spent, p)
		}
		for i := range s.own {
			s.own[i].take(x.Limiters[i])
		}
	}
	for name, w := range l.TransferTimes {
		if k := r.rules[name]; k != nil {
			k.works = slices.Clone([]int64(w[max(len(w)-keepSamples, 0):]))
		}
	}
	r.failed, r.values = unends(l.FillFailures), slices.Clone(l.Priorities[max(len(l.Priorities)-keepSamples, 0):])
	for _, p := range l.Purges {
		r.purges = append(r.purges, purge{p.Object, p.Group, p.At})
	}
	return nil
}

// InFlight tells the hops that are out, by server and kind; those that pass the caches by stand under "".
func (r *Router) InFlight() map[string][3]float64 {
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
