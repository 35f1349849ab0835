package rollout

// Times in microseconds.
const (
	millisecond = int64(1000)
	second      = int64(1_000_000)
)

const (
	// heartbeatInterval is the time between two rounds of a leader, two polls of a
	// follower, and two questions of a recovering router.
	heartbeatInterval = 500 * millisecond

	// leaseDuration is how long a leader may act on a round that a majority accepted,
	// from when it sent the round.
	leaseDuration = 2 * second
	// promiseHoldoff is how long an acceptor promises nothing to another candidate, from
	// when it accepted a round. Invariant: a lease, and the views that were given out
	// under it, end before any other leader can be elected. The margin over
	// leaseDuration + viewMaxAge covers clocks whose rates differ by a tenth.
	promiseHoldoff = 4 * second

	// viewMaxAge is how old, by the follower's own clock and from when it polled, a
	// decided state may be for the follower to begin a change by it.
	viewMaxAge = second
	// forwardPermitDuration is how long a leader waits before it decides to roll back,
	// from when it last gave out a state that lets a router go forward: viewMaxAge and a
	// margin for clocks. No router begins to go forward after a rollback is decided.
	forwardPermitDuration = viewMaxAge * 6 / 5

	// electionTimeout is the silence of a leader after which a follower becomes a
	// candidate. Each router waits electionStagger longer than the one before it in the
	// plan, so that they rarely compete.
	electionTimeout = 5 * second
	electionStagger = 700 * millisecond
)
