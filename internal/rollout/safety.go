package rollout

// safetyChecks are the conditions on which the protocol's safety and the guardrails
// depend. They are replaceable so that a test can weaken one and show that the invariant
// which depends on it is then violated; nothing but tests replaces them.
type safetyChecks struct {
	// quorum returns how many of the plan's routers make a decision. Any two quorums share
	// a router.
	quorum func(routers int) int
	// leaseHeld reports whether a leader may still act on the state that it decided.
	leaseHeld func(now, leaseUntil int64) bool
	// viewFresh reports whether a follower may begin a change on a view of this age.
	viewFresh func(age int64) bool
	// supersedes orders the states that promises carry: the latest accepted one may have
	// been decided, and a new leader must continue from it.
	supersedes func(term uint64, state *State, otherTerm uint64, other *State) bool
	// deposed reports whether a promise in one term ends the leadership in another.
	deposed func(leaderTerm, promisedTerm uint64) bool
	// forwardPermitsExpired reports whether no router may begin to upgrade any more, given
	// the time since a state that permits it was last sent.
	forwardPermitsExpired func(sinceLastPermit int64) bool
	// newViolations returns the rules that a changed router violates and no unchanged one.
	newViolations func(violated, violatedByUnchanged uint8) uint8
}

func defaultSafetyChecks() safetyChecks {
	return safetyChecks{
		quorum:                func(routers int) int { return routers/2 + 1 },
		leaseHeld:             func(now, leaseUntil int64) bool { return now < leaseUntil },
		viewFresh:             func(age int64) bool { return age <= viewMaxAge },
		supersedes:            supersedes,
		deposed:               func(leaderTerm, promisedTerm uint64) bool { return promisedTerm > leaderTerm },
		forwardPermitsExpired: func(sinceLastPermit int64) bool { return sinceLastPermit >= forwardPermitDuration },
		newViolations:         func(violated, violatedByUnchanged uint8) uint8 { return violated &^ violatedByUnchanged },
	}
}
