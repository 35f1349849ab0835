package gossip

import (
	"slices"

	"quilldoor/internal/policy"
)

const (
	// claimLifetime is how long a claim holds without being reported again. It is the time that the platform allows a
	// discovery source to announce a change.
	claimLifetime = 7 * second
	// requiredConfirmations is the number of other routers that must report the same state: a single router that by a
	// fault of its own reports all endpoints as gone must not empty the endpoint list of any other.
	requiredConfirmations = 2
)

// claim is a state of an endpoint that other routers report and that is later than the one that the local source has
// announced. The zero value is no claim.
type claim struct {
	Endpoint
	confirmedBy [requiredConfirmations]string // names of the routers that reported it; "": still missing
	expiresAt   int64
}

func (c *claim) exists() bool { return c.ID != "" }

func (c *claim) confirmed() bool { return !slices.Contains(c.confirmedBy[:], "") }

// supersededBy reports whether an announcement of the local source ends the claim. It does so if the announced state is
// the claimed one or a later one, or if the claimed state is active and the announced one is draining or gone.
func (c *claim) supersededBy(local Endpoint) bool {
	activeAgainstLocal := c.State == policy.EndpointActive && local.State != policy.EndpointActive
	return activeAgainstLocal || !isLater(c.Endpoint, local)
}

// applyReport processes the report of an endpoint by another router. It reports whether the report makes the replica
// accept a claim.
func (r *Replica) applyReport(now, wall int64, from string, reported Endpoint) bool {
	if !plausible(reported, wall) {
		r.Counts.Rejected++
		return false
	}
	// New endpoints are accepted from the local source only: a router that can't reach its source can't send to the
	// endpoint either, and the address of an endpoint may differ between routers.
	rec := r.endpoints[reported.ID]
	if rec == nil {
		return false
	}
	// A report of a later state implies that the endpoint has passed the claimed state. It prolongs the claim even if
	// it can't be applied itself, because only the local source may reactivate the endpoint.
	if !isLater(rec.accepted.Endpoint, reported) {
		rec.accepted.prolong(now)
	}
	if !r.mayOverride(rec, reported) || r.acceptedCovers(rec, reported) {
		return false
	}
	reported.Address = rec.local.Address
	if !r.updateCandidate(now, from, rec, reported) {
		return false
	}
	if !r.singleConfirmation && r.safeguardEnabled(safeguardConfirmations) && !rec.candidate.confirmed() {
		return false
	}
	rec.accepted = rec.candidate
	rec.candidate = claim{}
	r.Counts.ClaimsAccepted++
	return true
}

// plausible reports whether a reported endpoint has an id, a known state, and a start that is not in the future.
func plausible(e Endpoint, wall int64) bool {
	switch e.State {
	case policy.EndpointActive, policy.EndpointDraining, policy.EndpointRemoved:
		return e.ID != "" && e.StartedAt <= wall+maxClockSkew
	}
	return false
}

// mayOverride reports whether a report is later than the announcement of the local source. Once that source has
// announced that an endpoint is draining or gone, only it can make the endpoint active again.
func (r *Replica) mayOverride(rec *record, reported Endpoint) bool {
	if !r.safeguardEnabled(safeguardOrder) {
		return true
	}
	if reported.State == policy.EndpointActive && rec.local.State != policy.EndpointActive {
		return false
	}
	return isLater(reported, rec.local)
}

// prolong restarts the lifetime of the claim, if there is one.
func (c *claim) prolong(now int64) {
	if c.exists() {
		c.expiresAt = now + claimLifetime
	}
}

// acceptedCovers reports whether the accepted claim has the reported state or a later one.
func (r *Replica) acceptedCovers(rec *record, reported Endpoint) bool {
	return r.safeguardEnabled(safeguardOrder) && rec.accepted.exists() && !isLater(reported, rec.accepted.Endpoint)
}

// updateCandidate counts a report of the candidate's state as a confirmation, and replaces the candidate by a report of
// a later state. It returns false for a report of an earlier state.
func (r *Replica) updateCandidate(now int64, from string, rec *record, reported Endpoint) bool {
	candidate := &rec.candidate
	replaces := !r.safeguardEnabled(safeguardOrder) && reported.digest() != candidate.digest()
	switch {
	case !candidate.exists() || isLater(reported, candidate.Endpoint) || replaces:
		*candidate = claim{Endpoint: reported, confirmedBy: [requiredConfirmations]string{from}}
	case isLater(candidate.Endpoint, reported):
		return false
	case !slices.Contains(candidate.confirmedBy[:], from):
		candidate.confirmedBy[slices.Index(candidate.confirmedBy[:], "")] = from
	}
	candidate.expiresAt = now + claimLifetime
	return true
}

// expireClaims drops the expired claims of an endpoint. It reports whether the accepted claim was one of them.
func (r *Replica) expireClaims(now int64, rec *record) bool {
	if !r.safeguardEnabled(safeguardExpiry) {
		return false
	}
	if rec.candidate.expiresAt <= now {
		rec.candidate = claim{}
	}
	if rec.accepted.expiresAt > now || !rec.accepted.exists() {
		return false
	}
	rec.accepted = claim{}
	r.Counts.ClaimsExpired++
	return true
}
