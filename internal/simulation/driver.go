package simulation

import (
	"quilldoor/internal/eventlog"
	"quilldoor/internal/policy"
)

// Driver connects the simulation to routers, for instance in the same process or on real sockets. Its methods are
// called in order from within Simulation.Step. Record is also called from within SendAttempt, Answered and Refused.
type Driver interface {
	// RequestArrived delivers a client's complete request to its router.
	RequestArrived(request *Request)
	// ClientDisconnected reports that a request's client has closed its connection.
	ClientDisconnected(router int, requestID string)
	// AttemptEnded delivers the end of an attempt to its router.
	AttemptEnded(router int, attempt *Attempt, result AttemptResult)
	// Notify delivers a discovery event to a router.
	Notify(router int, event DiscoveryEvent)
	// KillRouter kills a router's process.
	KillRouter(router int)
	// StartRouter starts a router's process with the current endpoint list.
	StartRouter(router int, known []policy.Endpoint)
	// SuspendRouter suspends a router's process; it keeps its state.
	SuspendRouter(router int)
	// ResumeRouter resumes a router's process that SuspendRouter suspended.
	ResumeRouter(router int)
	// StarveRouter lets other processes use a share of a router's CPU time; 0: none.
	StarveRouter(router int, share float64)
	// Record appends an entry to the event log, which the checker reads.
	Record(entry *Entry)
}

// Announcer is a Driver that also receives each discovery event when it is announced, before the router counts as
// notified of it.
type Announcer interface {
	// Announced reports a discovery event that Notify will deliver to a router.
	Announced(router int, event DiscoveryEvent)
}

// DiscoveryEvent is one discovery event: changed endpoints, or a purge.
type DiscoveryEvent struct {
	Endpoints []policy.Endpoint // the changed ones
	Purge     bool
	Object    string // the purged object; "": the whole group
	Group     int64
	At        int64 // time of the purge, microseconds
}

// AttemptResult is the result of an attempt, in the policy's terms.
type AttemptResult struct {
	Outcome    policy.Outcome
	Reason     policy.Reason
	Waited     int64              // time that it waited for a fill, microseconds
	Load       map[string]float64 // the server's last load report
	Issued     int64              // issue time of the copy; 0: none
	SizeKB     float64
	Unparsable bool // on sockets: an answer that cannot be parsed
}

// Entry is one line of the event log.
type Entry = eventlog.Entry
