package simulation

import (
	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// Driver carries out what the simulation reports, for instance on routers in the same process or on real sockets. All
// calls come from within Simulation.Step, in order, but those of Record: SendAttempt, Answered and Refused call it too.
type Driver interface {
	// RequestArrived delivers a client's complete request to its router.
	RequestArrived(request *Request)
	// ClientGone reports that a request's client has gone.
	ClientGone(router int, requestID string)
	// AttemptEnded delivers the end of an attempt to its router.
	AttemptEnded(router int, attempt *Attempt, end AttemptResult)
	// Notify delivers a discovery event to a router.
	Notify(router int, event DiscoveryEvent)
	// KillRouter kills a router's process.
	KillRouter(router int)
	// StartRouter starts a router's process with the endpoint list as it is.
	StartRouter(router int, known []policy.Endpoint)
	// SuspendRouter suspends a router's process; it keeps its state.
	SuspendRouter(router int)
	// ResumeRouter resumes a router's process that SuspendRouter suspended.
	ResumeRouter(router int)
	// StarveRouter lets other processes take a share of a router's CPU; 0: none.
	StarveRouter(router int, share float64)
	// Record appends an entry to the event log, which the checker reads.
	Record(entry *Entry)
}

// DiscoveryEvent is one discovery event: changed endpoints, or a purge.
type DiscoveryEvent struct {
	Endpoints []policy.Endpoint // those that changed
	Purge     bool
	Object    string // that is purged; "": the whole group
	Group     int64
	At        int64 // time of the purge, microseconds
}

// AttemptResult is how an attempt ended, in the policy's terms.
type AttemptResult struct {
	Outcome    policy.Outcome
	Reason     policy.Reason
	Waited     int64              // for a fill, microseconds
	Load       map[string]float64 // the server's last load report
	Issued     int64              // issue time of the copy; 0: none
	SizeKB     float64
	Unparsable bool // on sockets: an answer that cannot be parsed
}

// Entry is one line of the event log.
type Entry = eventlog.Entry
