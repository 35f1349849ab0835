package rollout

// Times in microseconds.
const (
	millisecond = int64(1000)
	second      = int64(1_000_000)
)

const (
	// heartbeatInterval is the time between two rounds of a leader, two polls of a
	// follower, and two requests of a recovering router.
	heartbeatInterval = 500 * millisecond

	// leaseDuration is how long a leader may act on a round that a majority accepted,
	// counted from when it sent the round.
	leaseDuration = 2 * second
	// promiseHoldoff is how long an acceptor gives no promise to another candidate,
	// counted from when it accepted a round. Invariant: a lease, and the views that were
	// sent under it, expire before any other leader can be elected. The margin over
	// leaseDuration + viewMaxAge covers clocks whose rates differ by a tenth.
	promiseHoldoff = 4 * second

	// viewMaxAge is the age up to which a follower may begin a change on a decided state,
	// counted by its own clock from when it sent the poll.
	viewMaxAge = second
	// forwardPermitDuration is how long a leader waits before it decides to roll back,
	// counted from when it last sent a state that permits a router to upgrade: viewMaxAge
	// and a margin for clock rates. No router begins to upgrade after a rollback is decided.
	forwardPermitDuration = viewMaxAge * 6 / 5

	// electionTimeout is the silence of a leader after which a follower becomes a
	// candidate. Each router waits electionStagger longer than the one before it in the
	// plan, so that they rarely compete.
	electionTimeout = 5 * second
	electionStagger = 700 * millisecond
)
