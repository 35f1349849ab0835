package gossip

import (
	"cmp"
	"slices"

	"quilldoor/internal/policy"
)

// Durations are microseconds.
const (
	second = int64(1_000_000)

	// goneRetention is how long an endpoint that is gone is remembered and reported.
	goneRetention = 120 * second
	// maxClockSkew is how far another router's clock may be ahead of this one's.
	maxClockSkew = 2 * second
	maxEndpoints = 20_000
)

// Endpoint is an entry of the endpoint list with its address, host:port.
type Endpoint struct {
	policy.Endpoint
	Address string
}

// Settings of a Replica.
type Settings struct {
	// PurgeRetention is how long a purge is kept and accepted, in microseconds: long enough for all caches to have
	// dropped what is older. A longer time costs memory and traffic. There is no default.
	PurgeRetention int64

	// disabled is the safeguard that a test turns off; none in a router.
	disabled safeguard
}

// safeguard is a protection against what other routers report. The tests turn them off one at a time to prove that
// each is needed and that its absence is noticed; outside of tests all are on.
type safeguard uint8

const (
	safeguardNone          safeguard = iota
	safeguardConfirmations           // one router's report alone is not applied
	safeguardOrder                   // an earlier report does not replace a later one
	safeguardExpiry                  // a claim that nobody reports again expires
)

// Counts are totals since the start.
type Counts struct {
	Requests       int64 // sent
	Responses      int64 // sent, whatever their number of messages
	ClaimsAccepted int64 // applied over what the own source has announced
	ClaimsExpired  int64 // accepted ones that nobody reported again
	Purges         int64 // of other routers, applied
	Rejected       int64 // reports and messages that can't be true or can't be read
}

// Replica is one router's copy of the replicated state. It is not safe for concurrent use. Its times named now are
// microseconds of a steady clock, those named wall are Unix microseconds.
type Replica struct {
	// Counts may be read between calls.
	Counts Counts

	settings           Settings
	endpoints          map[string]*record
	purges             map[purgeKey]int64 // Unix microseconds
	digests            [digestBuckets]uint32
	changedAt          int64 // when the own source or another router announced a change last
	requestedAt        int64
	listComplete       bool // the own source has announced all endpoints that exist
	singleConfirmation bool
}

// record is what is held of one endpoint.
type record struct {
	local     Endpoint // as the own source has announced it
	goneAt    int64    // when the own source announced that it is gone
	accepted  claim    // applied over local
	candidate claim    // later than local and accepted, and short of confirmations
}

// effective is the state that is applied of the endpoint.
func (rec *record) effective() Endpoint {
	if rec.accepted.exists() {
		return rec.accepted.Endpoint
	}
	return rec.local
}

// New makes an empty replica.
func New(settings Settings) *Replica {
	return &Replica{settings: settings, endpoints: map[string]*record{}, purges: map[purgeKey]int64{}}
}

// guards reports whether a safeguard is on.
func (r *Replica) guards(s safeguard) bool { return r.settings.disabled != s }

// MembersForConfirmation is how many members, itself included, a router must know of until reports of endpoints need a
// second source.
const MembersForConfirmation = 3

// SetSingleConfirmation sets whether one router's report is enough, as fewer than two others are known.
func (r *Replica) SetSingleConfirmation(single bool) { r.singleConfirmation = single }

// stateRank orders the states within one start of an endpoint: another router's report never goes back to an earlier
// one.
func stateRank(s policy.EndpointState) uint8 {
	switch s {
	case policy.EndpointActive:
		return 0
	case policy.EndpointDraining:
		return 1
	}
	return 2
}

// isLater reports whether a is later than b, both of the same endpoint.
func isLater(a, b Endpoint) bool {
	return cmp.Or(cmp.Compare(a.StartedAt, b.StartedAt), cmp.Compare(stateRank(a.State), stateRank(b.State))) > 0
}

// ApplyLocal takes endpoints that the own source announces. complete says that the list names all that exist. It
// returns what is to be applied for each: what others claim stays in force over it. More than 20,000 endpoints are
// applied but not replicated.
func (r *Replica) ApplyLocal(now int64, complete bool, list []Endpoint) []Endpoint {
	r.changedAt = now
	if complete {
		r.listComplete = true
		r.markMissingGone(now, list)
	}
	effective := make([]Endpoint, 0, len(list))
	for _, e := range list {
		effective = append(effective, r.applyLocalEndpoint(now, e))
	}
	r.rebuildDigests()
	return effective
}

func (r *Replica) markMissingGone(now int64, list []Endpoint) {
	listed := map[string]bool{}
	for _, e := range list {
		listed[e.ID] = true
	}
	for id, rec := range r.endpoints {
		if !listed[id] && rec.local.State != policy.EndpointGone {
			rec.local.State = policy.EndpointGone
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
	// Only the own source can take a draining back. It then overrides all claims.
	reactivated := e.StartedAt == rec.local.StartedAt && stateRank(e.State) < stateRank(rec.local.State)
	rec.local = e
	if e.State == policy.EndpointGone {
		rec.goneAt = now
	}
	for _, c := range []*claim{&rec.accepted, &rec.candidate} {
		if reactivated || c.exists() && c.supersededBy(e) {
			*c = claim{}
		}
	}
	return rec.effective()
}

// Tick drops claims that nobody has reported for 7 s, purges older than Settings.PurgeRetention, and endpoints that
// have been gone for 120 s. It is called several times a second. It returns the endpoints whose accepted claims have
// expired, as they are to be applied now.
func (r *Replica) Tick(now, wall int64) (endpoints []Endpoint) {
	for _, id := range r.sortedIDs() {
		rec := r.endpoints[id]
		if rec.local.State == policy.EndpointGone && now-rec.goneAt > goneRetention {
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

// Merge takes what another router reports, and returns what is to be applied. Endpoints that the own source has not
// announced are passed over.
func (r *Replica) Merge(now, wall int64, from string, report *StateExchange) (endpoints []Endpoint, purges []Purge) {
	for _, p := range report.Purges {
		if purge := p.purge(); r.applyReportedPurge(wall, purge) {
			purges = append(purges, purge)
		}
	}
	for i := range report.Endpoints {
		e := report.Endpoints[i].endpoint()
		if r.applyReport(now, wall, from, e) {
			endpoints = append(endpoints, r.endpoints[e.ID].accepted.Endpoint)
		}
	}
	// Another source that does not list an endpoint may have forgotten that it is gone, and may as well be late with a
	// new one: that prolongs a claim, and confirms none.
	for _, id := range report.Unlisted {
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
