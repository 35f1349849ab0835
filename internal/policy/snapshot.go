package policy

import (
	"errors"
	"fmt"
	"slices"

	"quilldoor/internal/tinylfu"
)

// Snapshot is what a Router has learned, for one that takes its place at once: how popular objects are, what
// caches keep, limits, ejections, slow-start reservations and purges. Left out are open requests, when endpoints were
// readmitted, the delay of the origin, and a subscription that is to be repeated: these the next Router learns anew.
// Times are those of Handle, in microseconds. Routers of different versions exchange it: fields are only added, and
// those that the writer does not know are zero.
type Snapshot struct {
	SketchRows         [4][]uint64                       `cbor:"1,keyasint"`            // counters of the popularity sketch, see tinylfu.State
	SketchDoorkeeper   []uint64                          `cbor:"2,keyasint"`            // bits of its doorkeeper
	SketchSample       int                               `cbor:"3,keyasint"`            // requests counted since it was halved
	NextHalving        int64                             `cbor:"4,keyasint,omitempty"`  // time at which it is halved next
	Endpoints          []EndpointSnapshot                `cbor:"5,keyasint"`            // sorted by id
	BypassLimiters     [attemptKindCount]LimiterSnapshot `cbor:"6,keyasint"`            // of attempts past the caches, by kind of attempt
	TransferTimes      map[string]TransferTimes          `cbor:"7,keyasint,omitempty"`  // by traffic class
	FillFailures       []SampleSnapshot                  `cbor:"8,keyasint,omitempty"`  // of the last attempts that might fill; bad: no response
	Priorities         []float64                         `cbor:"9,keyasint,omitempty"`  // of the last requests, 32 at most
	Purges             []PurgeSnapshot                   `cbor:"10,keyasint,omitempty"` // by arrival
	SlowStartHoldUntil int64                             `cbor:"11,keyasint,omitempty"` // time until which endpoints in slow start get nothing
	Extra              map[string][]byte                 `cbor:"12,keyasint,omitempty"` // of later versions
}

// TransferTimes are the transfer times of a traffic class's last requests in microseconds, 32 at most.
type TransferTimes []int64

// EndpointSnapshot is what is known of an endpoint. Health is a value of the unexported type health; DueAt is the time
// until which a failure does not count or the ejection lasts; Ejections counts those since it was last readmitted;
// LinkUse is from 0 to 1.
type EndpointSnapshot struct {
	ID               string                            `cbor:"1,keyasint"`
	StartedAt        int64                             `cbor:"2,keyasint,omitempty"` // as listed; 0: long past
	Health           uint8                             `cbor:"3,keyasint"`
	DueAt            int64                             `cbor:"4,keyasint,omitempty"`
	Ejections        int64                             `cbor:"5,keyasint,omitempty"`
	ReservedAt       []int64                           `cbor:"6,keyasint,omitempty"`  // work sent in slow start: when ...
	ReservedWork     []int64                           `cbor:"7,keyasint,omitempty"`  // ... how much ...
	ReservedVariance []float64                         `cbor:"12,keyasint,omitempty"` // ... and the variance of that
	LinkUse          float64                           `cbor:"8,keyasint,omitempty"`
	SourceSamples    []SampleSnapshot                  `cbor:"9,keyasint,omitempty"`  // of the last fills from it; bad: late
	CachedObjects    []uint64                          `cbor:"10,keyasint,omitempty"` // hashes of those it was asked to keep, latest last
	Limiters         [attemptKindCount]LimiterSnapshot `cbor:"11,keyasint"`           // by kind of attempt
}

// LimiterSnapshot is a concurrency limit, in attempts of one kind at once, with the last attempts that moved it.
type LimiterSnapshot struct {
	Limit     float64          `cbor:"1,keyasint"`
	ReducedAt int64            `cbor:"2,keyasint,omitempty"` // time; 0: never
	Samples   []SampleSnapshot `cbor:"3,keyasint,omitempty"`
}

// SampleSnapshot is when an attempt ended, and whether it counted against its endpoint.
type SampleSnapshot struct {
	_   struct{} `cbor:",toarray"`
	At  int64    // time
	Bad bool
}

// PurgeSnapshot is a purge that some caches may not have seen: of Object, or of Group where Object is empty.
type PurgeSnapshot struct {
	_      struct{} `cbor:",toarray"`
	Object string
	Group  int64
	At     int64 // time at which it was made
}

// Bounds on what is taken over: what a Router can hold itself, with room to spare.
const (
	maxSnapshotSamples   = 4096 // of a list
	maxSnapshotEndpoints = 20_000
	maxSnapshotPurges    = 65_536
)

// ErrSnapshot says that a snapshot has another shape, and that nothing of it was taken over: its popularity counts are
// of another size, or it names more than 20,000 endpoints or 65,536 purges.
var ErrSnapshot = errors.New("snapshot of the learned state has another shape")

// Snapshot returns what the Router has learned. The two share no memory.
func (r *Router) Snapshot() *Snapshot {
	sketch := r.popularity.State()
	snapshot := &Snapshot{
		SketchRows:         sketch.Rows,
		SketchDoorkeeper:   sketch.Doorkeeper,
		SketchSample:       sketch.Samples,
		NextHalving:        r.nextHalving,
		TransferTimes:      map[string]TransferTimes{},
		FillFailures:       snapshotSamples(r.fillSamples),
		Priorities:         slices.Clone(r.priorities),
		SlowStartHoldUntil: r.slowStartHoldUntil,
	}
	for i := range r.bypassLimiters {
		snapshot.BypassLimiters[i] = r.bypassLimiters[i].snapshot()
	}
	for _, ep := range r.ordered {
		snapshot.Endpoints = append(snapshot.Endpoints, ep.snapshot())
	}
	for name, class := range r.classes {
		if len(class.transferTimes) > 0 {
			snapshot.TransferTimes[name] = slices.Clone(class.transferTimes)
		}
	}
	for _, p := range r.purges {
		snapshot.Purges = append(snapshot.Purges, PurgeSnapshot{Object: p.object, Group: p.group, At: p.at})
	}
	return snapshot
}

func (ep *endpoint) snapshot() EndpointSnapshot {
	out := EndpointSnapshot{
		ID:            ep.id,
		StartedAt:     ep.startedAt,
		Health:        uint8(ep.health),
		DueAt:         ep.healthHeldUntil,
		Ejections:     ep.ejections,
		LinkUse:       ep.linkUse,
		SourceSamples: snapshotSamples(ep.fillSamples),
		CachedObjects: slices.Clone(ep.cached),
	}
	for _, p := range ep.reservations {
		out.ReservedAt = append(out.ReservedAt, p.at)
		out.ReservedWork = append(out.ReservedWork, p.work)
		out.ReservedVariance = append(out.ReservedVariance, p.variance)
	}
	for i := range ep.ownLimiters {
		out.Limiters[i] = ep.ownLimiters[i].snapshot()
	}
	return out
}

func (lim *limiter) snapshot() LimiterSnapshot {
	return LimiterSnapshot{lim.limit, lim.reducedAt, snapshotSamples(lim.samples)}
}

func snapshotSamples(samples []sample) (out []SampleSnapshot) {
	for _, s := range samples {
		out = append(out, SampleSnapshot{At: s.at, Bad: s.bad})
	}
	return out
}

// Restore takes over what another Router has learned. It is called after the first endpoint list and before the
// first request. Endpoints that are not listed here, or have started again since, are passed over. A snapshot of
// another shape gives an error that wraps ErrSnapshot.
func (r *Router) Restore(snapshot *Snapshot) error {
	if len(snapshot.Endpoints) > maxSnapshotEndpoints || len(snapshot.Purges) > maxSnapshotPurges {
		return ErrSnapshot
	}
	sketch := tinylfu.State{Rows: snapshot.SketchRows, Doorkeeper: snapshot.SketchDoorkeeper, Samples: snapshot.SketchSample}
	if err := r.popularity.Restore(sketch); err != nil {
		return fmt.Errorf("%w: %w", ErrSnapshot, err)
	}
	r.nextHalving = snapshot.NextHalving
	r.slowStartHoldUntil = max(snapshot.SlowStartHoldUntil, r.slowStartHoldUntil)
	for i := range r.bypassLimiters {
		r.bypassLimiters[i].restore(&snapshot.BypassLimiters[i])
	}
	for i := range snapshot.Endpoints {
		r.restoreEndpoint(&snapshot.Endpoints[i])
	}
	for name, times := range snapshot.TransferTimes {
		if class := r.classes[name]; class != nil {
			class.transferTimes = slices.Clone(last(times, maxRecent))
		}
	}
	r.fillSamples = restoreSamples(snapshot.FillFailures)
	r.priorities = slices.Clone(last(snapshot.Priorities, maxRecent))
	for _, p := range snapshot.Purges {
		r.purges = append(r.purges, purge{p.Object, p.Group, p.At})
	}
	return nil
}

func (r *Router) restoreEndpoint(from *EndpointSnapshot) {
	ep := r.endpoints[from.ID]
	if ep == nil || ep.startedAt > from.StartedAt {
		return
	}
	switch h := health(from.Health); h {
	case healthy, suspect, ejected, probation:
		ep.health = h
	}
	ep.healthHeldUntil = from.DueAt
	ep.ejections = min(max(from.Ejections, 0), maxBackoffDoublings)
	ep.linkUse = from.LinkUse
	ep.fillSamples = restoreSamples(from.SourceSamples)
	ep.cached = slices.Clone(last(from.CachedObjects, r.config.maxCachedObjects))
	for i := range min(len(from.ReservedWork), len(from.ReservedAt), maxSnapshotSamples) {
		reserved := reservation{at: from.ReservedAt[i], work: from.ReservedWork[i]}
		if i < len(from.ReservedVariance) { // earlier versions give none
			reserved.variance = from.ReservedVariance[i]
		}
		ep.reservations = append(ep.reservations, reserved)
	}
	for i := range ep.ownLimiters {
		ep.ownLimiters[i].restore(&from.Limiters[i])
	}
}

// restore takes a limit over. One of zero is passed over: nothing would be sent, and the limit would never rise.
func (lim *limiter) restore(from *LimiterSnapshot) {
	if from.Limit > 0 {
		lim.limit = from.Limit
		lim.reducedAt = from.ReducedAt
		lim.samples = restoreSamples(from.Samples)
	}
}

func restoreSamples(from []SampleSnapshot) (out []sample) {
	for _, s := range last(from, maxSnapshotSamples) {
		out = append(out, sample{s.At, s.Bad})
	}
	return out
}

// last returns the last elements of a list, at most so many.
func last[T any](list []T, maxCount int) []T { return list[max(len(list)-maxCount, 0):] }

// InFlight returns the attempts in flight, by endpoint id and kind. Those past the caches, to parents and the origin,
// are summed under "".
func (r *Router) InFlight() map[string]AttemptCounts {
	out := map[string]AttemptCounts{}
	add := func(id string, limiters *[attemptKindCount]limiter) {
		var counts AttemptCounts
		for i := range limiters {
			counts[i] = limiters[i].inFlight
		}
		if counts != (AttemptCounts{}) {
			out[id] = counts
		}
	}
	for _, ep := range r.ordered {
		add(ep.id, &ep.ownLimiters)
	}
	add("", &r.bypassLimiters)
	return out
}

// setOtherInFlight takes in the attempts that the other process of this router has in flight, while one takes the
// other's place: the limits are for both together.
func (r *Router) setOtherInFlight(counts map[string]AttemptCounts) {
	for i := range r.bypassLimiters {
		r.bypassLimiters[i].otherInFlight = counts[""][i]
	}
	for _, ep := range r.ordered {
		for i := range ep.ownLimiters {
			ep.ownLimiters[i].otherInFlight = counts[ep.id][i]
		}
	}
}
