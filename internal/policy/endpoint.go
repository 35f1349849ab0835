package policy

// role is an endpoint's place in the hierarchy.
type role uint8

const (
	roleCache role = iota
	roleParent
	roleOrigin
	roleCount // how many there are
)

// endpoint is what a Router knows of one endpoint.
type endpoint struct {
	id         string
	hash       uint64
	role       role
	zone       string
	cell       int
	weight     float64 // as listed
	hashWeight float64 // for rendezvous hashing
	startedAt  int64   // 0: long past
	active     bool    // listed, and not draining
	removed    bool    // not listed any more

	inFlight        int   // attempts
	unansweredSince int64 // since when nothing has come, while attempts are in flight

	health          health
	healthHeldUntil int64 // suspect: no failure counts before; ejected: nothing is sent before, then probation begins
	ejections       int64 // since it was last readmitted
	readmittedAt    int64 // 0: not ejected since it started
	fillSamples     []sample

	reservations []reservation // work sent to it in slow start
	cached       []uint64      // hashes of the objects that it was asked to keep, by recency, latest last
	linkUse      float64       // reported use of its zone's link from the parents, 0 to 1

	ownLimiters [attemptKindCount]limiter
	limiters    *[attemptKindCount]limiter // its own, or those shared by all endpoints that are no caches
}
