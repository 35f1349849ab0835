package gossip

import (
	"cmp"
	"slices"

	"quilldoor/internal/policy"
)

// Durations are microseconds.
const (
	second = int64(1_000_000)

	// goneRetention is how long the record of an endpoint that is gone is kept and reported.
	goneRetention = 120 * second
	// maxClockSkew is how far the clock of another router may be ahead of the local one.
	maxClockSkew = 2 * second
	// maxEndpoints bounds the endpoints that are replicated.
	maxEndpoints = 20_000
)

// Endpoint is an entry of the endpoint list with its address, host:port.
type Endpoint struct {
	policy.Endpoint
	Address string
}

// Settings of a Replica.
type Settings struct {
	// PurgeRetention is how long a purge is kept and accepted, in microseconds. It has to be so long that every cache
	// has dropped the copies from before the purge by then. A longer time costs memory and traffic. There is no
	// default.
	PurgeRetention int64

	// disabled is the safeguard that a test turns off; always safeguardNone in a router.
	disabled safeguard
}

// safeguard is a protection against false or outdated reports of other routers. The tests turn the safeguards off one
// at a time to show that each is needed and that a test detects its absence; outside of tests all are on.
type safeguard uint8

const (
	safeguardNone          safeguard = iota
	safeguardConfirmations           // the report of a single router is not applied
	safeguardOrder                   // an earlier report does not replace a later one
	safeguardExpiry                  // a claim that no router reports again expires
)

// Counts are totals since the start.
type Counts struct {
	Requests       int64 // requests sent
	Responses      int64 // responses sent; one of several messages counts once
	ClaimsAccepted int64 // claims applied over the announcements of the local source
	ClaimsExpired  int64 // accepted claims that no router reported again
	Purges         int64 // purges applied from reports of other routers
	Rejected       int64 // implausible reports, and malformed messages
}

// Replica is one router's copy of the replicated state. It is not safe for concurrent use. Parameters named now are
// microseconds of a monotonic clock, those named wall are Unix microseconds.
type Replica struct {
	// Counts may be read between calls.
	Counts Counts

	settings           Settings
	endpoints          map[string]*record // by endpoint id
	purges             map[purgeKey]int64 // Unix microseconds
	digests            [digestBuckets]uint32
	changedAt          int64 // of the last announcement of the local source, or the last report that was applied
	requestedAt        int64 // of the last request after those at startup
	listComplete       bool  // the local source has announced a complete list
	singleConfirmation bool  // set by SetSingleConfirmation
}

// record holds the state of one endpoint.
type record struct {
	local     Endpoint // as announced by the local source
	goneAt    int64    // when the local source announced that the endpoint is gone
	accepted  claim    // applied in place of local
	candidate claim    // later than local and accepted, and not confirmed yet
}

// effective returns the state of the endpoint that the router applies.
func (rec *record) effective() Endpoint {
	if rec.accepted.exists() {
		return rec.accepted.Endpoint
	}
	return rec.local
}

// New returns an empty replica.
func New(settings Settings) *Replica {
	return &Replica{settings: settings, endpoints: map[string]*record{}, purges: map[purgeKey]int64{}}
}

// safeguardEnabled reports whether a safeguard is on.
func (r *Replica) safeguardEnabled(s safeguard) bool { return r.settings.disabled != s }

// MembersForConfirmation is the number of members, itself included, that a router must know of before it requires the
// reports of two other routers for a claim.
const MembersForConfirmation = 3

// SetSingleConfirmation sets whether the report of one router is enough to accept a claim. It is meant for a router
// that knows of fewer than two others.
func (r *Replica) SetSingleConfirmation(single bool) { r.singleConfirmation = single }

// stateRank orders the states within one start of an endpoint. A report of another router never moves an endpoint to a
// lower rank.
func stateRank(s policy.EndpointState) uint8 {
	switch s {
	case policy.EndpointActive:
		return 0
	case policy.EndpointDraining:
		return 1
	}
	return 2
}

// isLater reports whether a is a later state than b of the same endpoint.
func isLater(a, b Endpoint) bool {
	return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(stateRank(a.State), stateRank(b.State))) > 0
}

// ApplyLocal records the endpoints that the local source announces. complete says that the announcement lists every
// endpoint that exists. ApplyLocal returns the state to apply for each announced endpoint, which is that of the
// accepted claim where the claim is still later. Endpoints beyond the first 20,000 are returned as announced and not
// replicated.
func (r *Replica) ApplyLocal(now int64, complete bool, announced []Endpoint) []Endpoint {
	r.changedAt = now
	if complete {
		r.listComplete = true
		r.markMissingGone(now, announced)
	}
	effective := make([]Endpoint, 0, len(announced))
	for _, e := range announced {
		effective = append(effective, r.applyLocalEndpoint(now, e))
	}
	r.rebuildDigests()
	return effective
}

// markMissingGone marks the endpoints that a complete announcement does not list as gone.
func (r *Replica) markMissingGone(now int64, announced []Endpoint) {
	listed := map[string]bool{}
	for _, e := range announced {
		listed[e.ID] = true
	}
	for id, rec := range r.endpoints {
		if !listed[id] && rec.local.State != policy.EndpointRemoved {
			rec.local.State = policy.EndpointRemoved
			rec.goneAt = now
		}
	}
}

func (r *Replica) applyLocalEndpoint(now int64, e Endpoint) Endpoint {
	rec := r.endpoints[e.ID]
	if rec == nil {
		if len(r.endpoints) >= maxEndpoints {
			return e
		}
		rec = &record{local: e}
		r.endpoints[e.ID] = rec
	}
	// Only the local source can reactivate an endpoint within one start. This overrides all claims.
	reactivated := e.StartedAt == rec.local.StartedAt && stateRank(e.State) < stateRank(rec.local.State)
	rec.local = e
	if e.State == policy.EndpointRemoved {
		rec.goneAt = now
	}
	for _, c := range []*claim{&rec.accepted, &rec.candidate} {
		if reactivated || c.exists() && c.supersededBy(e) {
			*c = claim{}
		}
	}
	return rec.effective()
}

// Tick drops claims that no router has reported for 7 s, purges older than Settings.PurgeRetention, and endpoints that
// have been gone for 120 s. It is to be called several times a second. It returns the endpoints whose accepted claims
// have expired, in the state that the local source has announced and that applies from now on.
func (r *Replica) Tick(now, wall int64) (endpoints []Endpoint) {
	for _, id := range r.sortedIDs() {
		rec := r.endpoints[id]
		if rec.local.State == policy.EndpointRemoved && now-rec.goneAt > goneRetention {
			delete(r.endpoints, id)
			continue
		}
		if r.expireClaims(now, rec) {
			endpoints = append(endpoints, rec.local)
		}
	}
	r.expirePurges(wall)
	r.rebuildDigests()
	return endpoints
}

func (r *Replica) sortedIDs() (ids []string) {
	for id := range r.endpoints {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// Merge merges a response of another router into the state, and returns the endpoints and purges to apply. Endpoints
// that the local source has not announced are ignored.
func (r *Replica) Merge(now, wall int64, from string, response *StateResponse) (endpoints []Endpoint, purges []Purge) {
	for _, p := range response.Purges {
		if purge := p.purge(); r.applyReportedPurge(wall, purge) {
			purges = append(purges, purge)
		}
	}
	for i := range response.Endpoints {
		e := response.Endpoints[i].endpoint()
		if r.applyReport(now, wall, from, e) {
			endpoints = append(endpoints, r.endpoints[e.ID].accepted.Endpoint)
		}
	}
	// A router that reports an endpoint as unlisted may have dropped the record of an endpoint that is gone, or its
	// source may not have announced a new endpoint yet. The report prolongs an accepted claim, and confirms none.
	for _, id := range response.Unlisted {
		if rec := r.endpoints[id]; rec != nil {
			rec.accepted.prolong(now)
		}
	}
	if len(endpoints)+len(purges) > 0 {
		r.changedAt = now
		r.rebuildDigests()
	}
	return endpoints, purges
}
