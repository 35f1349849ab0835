package rollout

// safetyChecks are the conditions that the protocol's safety and the guardrails rest on.
// They are replaceable so that a test can weaken one and show that the invariant which
// depends on it is then violated; nothing but tests replaces them.
type safetyChecks struct {
	// quorum is how many of the plan's routers decide. Any two quorums share a router.
	quorum func(routers int) int
	// leaseHeld reports whether a leader may still act on what it decided.
	leaseHeld func(now, leaseUntil int64) bool
	// viewFresh reports whether a follower may begin a change by a view of this age.
	viewFresh func(age int64) bool
	// supersedes orders the states that promises carry: the latest accepted one may have
	// been decided, and a new leader must go on from it.
	supersedes func(term uint64, state *State, otherTerm uint64, other *State) bool
	// deposed reports whether a promise in one term ends the leadership in another.
	deposed func(leaderTerm, promisedTerm uint64) bool
	// forwardPermitsExpired reports whether no router may still begin to go forward by a
	// state that was given out so long ago.
	forwardPermitsExpired func(sinceLastPermit int64) bool
	// newViolations are the rules violated by a changed router and not by an unchanged one.
	newViolations func(violated, alsoByUnchanged uint8) uint8
}

func defaultSafetyChecks() safetyChecks {
	return safetyChecks{
		quorum:                func(routers int) int { return routers/2 + 1 },
		leaseHeld:             func(now, leaseUntil int64) bool { return now < leaseUntil },
		viewFresh:             func(age int64) bool { return age <= viewMaxAge },
		supersedes:            supersedes,
		deposed:               func(leaderTerm, promisedTerm uint64) bool { return promisedTerm > leaderTerm },
		forwardPermitsExpired: func(sinceLastPermit int64) bool { return sinceLastPermit >= forwardPermitDuration },
		newViolations:         func(violated, alsoByUnchanged uint8) uint8 { return violated &^ alsoByUnchanged },
	}
}
