package policy

import (
	"cmp"
	"errors"
	"fmt"
	"slices"

	"quilldoor/internal/tinylfu"
)

// Snapshot is the learned state of a Router, for another one that replaces it immediately: popularity of objects,
// objects kept by caches, limits, ejections, slow-start reservations and purges. It does not contain open requests,
// readmission times of endpoints, the delay of the origin, or a scheduled repetition of the subscription: the next
// Router determines these anew. Times are those of Handle, in microseconds. Routers of different versions exchange it:
// fields are only added, and those unknown to the writer are zero.
type Snapshot struct {
	SketchRows         [4][]uint64                       `cbor:"1,keyasint"`            // counters of the popularity sketch, see tinylfu.State
	SketchDoorkeeper   []uint64                          `cbor:"2,keyasint"`            // bits of its doorkeeper
	SketchSample       int                               `cbor:"3,keyasint"`            // requests counted since it was halved
	NextHalving        int64                             `cbor:"4,keyasint,omitempty"`  // time of the next halving
	Endpoints          []EndpointSnapshot                `cbor:"5,keyasint"`            // sorted by id
	BypassLimiters     [attemptKindCount]LimiterSnapshot `cbor:"6,keyasint"`            // of attempts that bypass the caches, by kind of attempt
	TransferTimes      map[string]TransferTimes          `cbor:"7,keyasint,omitempty"`  // by traffic class
	FillFailures       []SampleSnapshot                  `cbor:"8,keyasint,omitempty"`  // of the last fill attempts; bad: no response
	Priorities         []float64                         `cbor:"9,keyasint,omitempty"`  // of the last requests, 32 at most
	Purges             []PurgeSnapshot                   `cbor:"10,keyasint,omitempty"` // in order of arrival
	SlowStartHoldUntil int64                             `cbor:"11,keyasint,omitempty"` // time at which the slow-start hold ends
	Extra              map[string][]byte                 `cbor:"12,keyasint,omitempty"` // fields of later versions
}

// TransferTimes are the transfer times of a traffic class's last requests in microseconds, 32 at most.
type TransferTimes []int64

// EndpointSnapshot is the learned state of an endpoint. Health is a value of the unexported type health. DueAt is the
// time until which a failure of a suspect endpoint does not count, or until which an ejection lasts. Ejections is their
// number since the last readmission. LinkUse is the utilization of the zone's link from the parents, 0 to 1.
type EndpointSnapshot struct {
	ID               string                            `cbor:"1,keyasint"`
	StartedAt        int64                             `cbor:"2,keyasint,omitempty"` // as listed; 0: long ago
	Health           uint8                             `cbor:"3,keyasint"`
	DueAt            int64                             `cbor:"4,keyasint,omitempty"`
	Ejections        int64                             `cbor:"5,keyasint,omitempty"`
	ReservedAt       []int64                           `cbor:"6,keyasint,omitempty"`  // times of work sent in slow start
	ReservedWork     []int64                           `cbor:"7,keyasint,omitempty"`  // amounts of that work
	ReservedVariance []float64                         `cbor:"12,keyasint,omitempty"` // variances of the amounts
	LinkUse          float64                           `cbor:"8,keyasint,omitempty"`
	SourceSamples    []SampleSnapshot                  `cbor:"9,keyasint,omitempty"`  // of the last fills from it; bad: late
	CachedObjects    []uint64                          `cbor:"10,keyasint,omitempty"` // hashes of the objects to keep, most recent last
	Limiters         [attemptKindCount]LimiterSnapshot `cbor:"11,keyasint"`           // by kind of attempt
}

// LimiterSnapshot is a limit on the attempts of one kind in flight, with samples of the attempts that adjusted it last.
type LimiterSnapshot struct {
	Limit     float64          `cbor:"1,keyasint"`
	ReducedAt int64            `cbor:"2,keyasint,omitempty"` // time; 0: never
	Samples   []SampleSnapshot `cbor:"3,keyasint,omitempty"`
}

// SampleSnapshot is the time at which an attempt was recorded, and whether it counted against its endpoint.
type SampleSnapshot struct {
	_   struct{} `cbor:",toarray"`
	At  int64    // time
	Bad bool
}

// PurgeSnapshot is a purge that some caches may not have received: of Object, or of Group where Object is empty.
type PurgeSnapshot struct {
	_      struct{} `cbor:",toarray"`
	Object string
	Group  int64
	At     int64 // time at which it was made
}

// Bounds on the restored state, with room above what a Router itself holds.
const (
	maxSnapshotSamples   = 4096 // in each list
	maxSnapshotEndpoints = 20_000
	maxSnapshotPurges    = 65_536
)

// ErrSnapshot is the error for a snapshot of an unsupported size, of which nothing was restored: its popularity sketch
// has another size, or it contains more than 20,000 endpoints or 65,536 purges.
var ErrSnapshot = errors.New("snapshot of the learned state has an unsupported size")

// Snapshot returns the Router's learned state, as a copy that shares no memory with it.
func (r *Router) Snapshot() *Snapshot {
	sketch := r.popularity.State()
	snapshot := &Snapshot{
		SketchRows:         sketch.Rows,
		SketchDoorkeeper:   sketch.Doorkeeper,
		SketchSample:       sketch.Samples,
		NextHalving:        r.nextHalving,
		TransferTimes:      map[string]TransferTimes{},
		FillFailures:       snapshotSamples(r.fillAttemptSamples),
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
		snapshot.Purges = append(snapshot.Purges, PurgeSnapshot{Object: p.object, Group: p.group, At: cmp.Or(p.purgedAt, p.at)})
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
		SourceSamples: snapshotSamples(ep.sourceSamples),
		CachedObjects: slices.Clone(ep.cached),
	}
	for _, p := range ep.recentWork() {
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

// Restore adopts the learned state of another Router. It must be called after the first endpoint list and before the
// first request. Endpoints that this Router does not list, or that have restarted since, are skipped. For a snapshot of
// an unsupported size it returns an error that wraps ErrSnapshot.
func (r *Router) Restore(snapshot *Snapshot) error {
	if len(snapshot.Endpoints) > maxSnapshotEndpoints || len(snapshot.Purges) > maxSnapshotPurges {
		return fmt.Errorf("%w: %d endpoints (at most %d), %d purges (at most %d)", ErrSnapshot,
			len(snapshot.Endpoints), maxSnapshotEndpoints, len(snapshot.Purges), maxSnapshotPurges)
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
	r.fillAttemptSamples = restoreSamples(snapshot.FillFailures)
	r.priorities = slices.Clone(last(snapshot.Priorities, maxRecent))
	for _, p := range snapshot.Purges {
		r.purges = append(r.purges, purge{
			object: p.Object, group: p.Group, at: p.At, purgedAt: p.At, receivedAt: r.now,
		})
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
	ep.sourceSamples = restoreSamples(from.SourceSamples)
	ep.cached = slices.Clone(last(from.CachedObjects, r.config.maxCachedObjects))
	for i := range min(len(from.ReservedWork), len(from.ReservedAt), maxSnapshotSamples) {
		reserved := reservation{at: from.ReservedAt[i], work: from.ReservedWork[i]}
		if i < len(from.ReservedVariance) { // earlier versions write no variances
			reserved.variance = from.ReservedVariance[i]
		}
		ep.reservations = append(ep.reservations, reserved)
	}
	for i := range ep.ownLimiters {
		ep.ownLimiters[i].restore(&from.Limiters[i])
	}
}

// restore adopts a limit. A limit of zero is skipped: no attempt would be sent, so that the limit would never rise.
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

// last returns the last elements of a list, at most maxCount.
func last[T any](list []T, maxCount int) []T { return list[max(len(list)-maxCount, 0):] }

// InFlight returns the numbers of attempts in flight by endpoint id. Attempts that bypass the caches, to parents and the
// origin, are summed under "".
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

// setOtherInFlight sets the attempts in flight of this router's other process during an upgrade. The limits apply to
// both processes together.
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
