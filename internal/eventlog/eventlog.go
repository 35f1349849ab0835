// Package eventlog defines the entries of a run's event log: the requests, attempts,
// executions, notifications and answers that the checker checks. The JSON keys and the
// values of Kind are those of recorded logs.
package eventlog

// Kind is the kind of an entry.
type Kind string

// The kinds of requests and attempts.
const (
	KindReceived       Kind = "taken"   // a router has received a client's whole request
	KindSent           Kind = "sent"    // a router sends an attempt
	KindArrived        Kind = "came"    // an attempt arrives at its endpoint
	KindRan            Kind = "ran"     // an endpoint starts to execute an attempt: it may have its effect from now on
	KindEffect         Kind = "effect"  // an attempt has its effect at the origin
	KindEnded          Kind = "end"     // a router has the outcome of an attempt
	KindForwarded      Kind = "carried" // a request arrives that the router numbered Attempt has forwarded
	KindRefused        Kind = "refused" // the router's machine refused the connection: revokes KindReceived
	KindAnswered       Kind = "final"   // a router gives its final answer
	KindClientTimedOut Kind = "left"    // the client timed out without an answer
	KindMismatch       Kind = "wrong"   // a client got a response that no endpoint made for the request
)

// The kinds of discovery.
const (
	KindListed        Kind = "listed"     // an endpoint's state changes; discovery publishes it at Until
	KindNotified      Kind = "told"       // a router was notified of an endpoint
	KindPurged        Kind = "purged"     // an object or group was purged
	KindPurgeNotified Kind = "told_purge" // a router was notified of a purge
)

// The kinds of processes and faults.
const (
	KindStarted         Kind = "started" // an endpoint starts
	KindDown            Kind = "down"    // an endpoint goes down
	KindWarmingWork     Kind = "warming" // the work of an attempt has reached a warming endpoint
	KindOverloaded      Kind = "fell"    // a warming endpoint collapses under more work than it can bear
	KindOriginStopped   Kind = "stopped" // the overloaded origin stops for a time
	KindRouterDown      Kind = "router_down"
	KindRouterUp        Kind = "router_up"
	KindRouterSuspended Kind = "router_stopped" // a router's process is suspended
	KindRouterResumed   Kind = "router_woken"   // a router's process resumes
	KindCrashed         Kind = "crashed"        // a process of a supervised router was killed, another one serves
	KindFault           Kind = "trouble"        // a fault of the scenario begins or ends
)

// Entry is one line of the log. Times are microseconds from the start of the run.
type Entry struct {
	At       int64
	Kind     Kind
	Router   int     `json:",omitempty"`
	Request  string  `json:"Txn,omitempty"`
	Class    string  `json:"Rule,omitempty"`
	Attempt  int     `json:"Hop,omitempty"` // number among the request's attempts; of KindForwarded: the forwarding router
	Endpoint string  `json:"Server,omitempty"`
	Source   string  `json:",omitempty"`
	Object   string  `json:",omitempty"`
	Group    int64   `json:",omitempty"`
	Outcome  string  `json:",omitempty"`
	State    string  `json:",omitempty"`
	Deadline int64   `json:",omitempty"`
	Issued   int64   `json:",omitempty"`
	Until    int64   `json:",omitempty"`
	Work     float64 `json:",omitempty"` // seconds

	StartedAt int64 `json:",omitempty"` // when the listed endpoint started; 0: before the run
}
