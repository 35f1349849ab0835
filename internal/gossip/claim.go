package gossip

import (
	"slices"

	"quilldoor/internal/policy"
)

const (
	// claimLifetime is how long a claim holds without being reported again: the time that the platform gives a
	// discovery source to announce a change.
	claimLifetime = 7 * second
	// requiredConfirmations is the number of other routers that must report the same: one router that holds all
	// endpoints gone by a fault of its own must not empty the list of any other.
	requiredConfirmations = 2
)

// claim is what other routers report of an endpoint that goes beyond what the own source has announced. The zero value
// is no claim.
type claim struct {
	Endpoint
	confirmedBy [requiredConfirmations]string // routers; "": none yet
	expiresAt   int64
}

func (c *claim) exists() bool { return c.ID != "" }

func (c *claim) confirmed() bool { return !slices.Contains(c.confirmedBy[:], "") }

// supersededBy reports whether the own source has caught up with a claim, knows a later state, or says that the
// endpoint is not to be used while the claim says that it is.
func (c *claim) supersededBy(local Endpoint) bool {
	usedAgainstLocal := c.State == policy.EndpointActive && local.State != policy.EndpointActive
	return usedAgainstLocal || !isLater(c.Endpoint, local)
}

// applyReport takes another router's report of an endpoint. It reports whether a claim is accepted by it.
func (r *Replica) applyReport(now, wall int64, from string, reported Endpoint) bool {
	if !plausible(reported, wall) {
		r.Counts.Rejected++
		return false
	}
	// A new endpoint is taken from the own source only: where that one is unreachable nothing can be sent to the endpoint
	// either, and its address may be another one for each router.
	rec := r.endpoints[reported.ID]
	if rec == nil {
		return false
	}
	// A report of a later state tells that the claim's has been passed, even where only the own source may say that the
	// endpoint is active again.
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
	if !r.singleConfirmation && r.guards(safeguardConfirmations) && !rec.candidate.confirmed() {
		return false
	}
	rec.accepted = rec.candidate
	rec.candidate = claim{}
	r.Counts.ClaimsAccepted++
	return true
}

func plausible(e Endpoint, wall int64) bool {
	switch e.State {
	case policy.EndpointActive, policy.EndpointDraining, policy.EndpointGone:
		return e.ID != "" && e.StartedAt <= wall+maxClockSkew
	}
	return false
}

// mayOverride reports whether a report is later than what the own source has announced. Where that source has
// announced a draining or an end, only it can make the endpoint active again.
func (r *Replica) mayOverride(rec *record, reported Endpoint) bool {
	if !r.guards(safeguardOrder) {
		return true
	}
	if reported.State == policy.EndpointActive && rec.local.State != policy.EndpointActive {
		return false
	}
	return isLater(reported, rec.local)
}

// prolong starts the lifetime of the claim anew.
func (c *claim) prolong(now int64) {
	if c.exists() {
		c.expiresAt = now + claimLifetime
	}
}

// acceptedCovers reports whether the accepted claim is as late as the report or later.
func (r *Replica) acceptedCovers(rec *record, reported Endpoint) bool {
	return r.guards(safeguardOrder) && rec.accepted.exists() && !isLater(reported, rec.accepted.Endpoint)
}

// updateCandidate counts a report as a confirmation of the candidate, or makes it the candidate where it is later. It
// reports false where the report is earlier than the candidate.
func (r *Replica) updateCandidate(now int64, from string, rec *record, reported Endpoint) bool {
	c := &rec.candidate
	replaces := !r.guards(safeguardOrder) && reported.digest() != c.digest()
	switch {
	case !c.exists() || isLater(reported, c.Endpoint) || replaces:
		*c = claim{Endpoint: reported, confirmedBy: [requiredConfirmations]string{from}}
	case isLater(c.Endpoint, reported):
		return false
	case !slices.Contains(c.confirmedBy[:], from):
		c.confirmedBy[slices.Index(c.confirmedBy[:], "")] = from
	}
	c.expiresAt = now + claimLifetime
	return true
}

// expireClaims drops the claims of an endpoint whose time is over. It reports whether the accepted one was among them.
func (r *Replica) expireClaims(now int64, rec *record) bool {
	if !r.guards(safeguardExpiry) {
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
