package policy

// role is an endpoint's level in the hierarchy.
type role uint8

const (
	roleCache role = iota
	roleParent
	roleOrigin
	roleCount // number of roles
)

// endpoint is the state that a Router keeps of one endpoint.
type endpoint struct {
	id         string
	hash       uint64
	role       role
	zone       string
	cell       int
	weight     float64 // as listed
	hashWeight float64 // weight in rendezvous hashing
	startedAt  int64   // 0: long ago
	active     bool    // listed as EndpointActive
	removed    bool    // listed as EndpointRemoved, or no longer listed

	inFlight        int   // number of attempts
	unansweredSince int64 // start of the current time without a response; used while attempts are in flight

	health          health
	healthHeldUntil int64    // suspect: no failure counts before it; ejected: probation begins at it
	ejections       int64    // number since the last readmission
	readmittedAt    int64    // 0: not readmitted since it started
	sourceSamples   []sample // of the last fills from it; bad: late

	reservations []reservation // work sent to it within the overload window
	cached       []uint64      // hashes of the objects that it was asked to keep, most recent last
	linkUse      float64       // reported utilization of its zone's link from the parents, 0 to 1

	ownLimiters [attemptKindCount]limiter
	limiters    *[attemptKindCount]limiter // ownLimiters of a cache, else Router.bypassLimiters
}
