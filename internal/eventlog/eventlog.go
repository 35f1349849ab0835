// Package eventlog holds the lines of a run's event log: what was requested, sent,
// executed and answered, by which the checker judges. The JSON keys and kinds are those of
// recorded logs.
package eventlog

// Kind of an entry.
type Kind string

// The kinds of requests and attempts.
const (
	KindTaken     Kind = "taken"   // a router has a client's request whole
	KindSent      Kind = "sent"    // it sends an attempt
	KindArrived   Kind = "came"    // the attempt has arrived at its endpoint
	KindRan       Kind = "ran"     // the endpoint's work began: the attempt may have its effect
	KindEffect    Kind = "effect"  // the attempt has had its effect at the origin
	KindEnded     Kind = "end"     // the attempt's end came back
	KindForwarded Kind = "carried" // the request was forwarded by the router that Attempt names
	KindRefused   Kind = "refused" // the router's machine refused the connection: not taken after all
	KindAnswered  Kind = "final"   // the router's answer
	KindLeft      Kind = "left"    // the client's time was over without one
	KindWrong     Kind = "wrong"   // a response that no endpoint made for the request
)

// The kinds of discovery.
const (
	KindListed        Kind = "listed"     // discovery will tell a state at Until
	KindNotified      Kind = "told"       // a router was notified of an endpoint
	KindPurged        Kind = "purged"     // a purge was made
	KindPurgeNotified Kind = "told_purge" // a router was notified of a purge
)

// The kinds of processes and faults.
const (
	KindStarted         Kind = "started" // an endpoint
	KindDown            Kind = "down"
	KindWarmingWork     Kind = "warming" // work of an attempt has reached an endpoint that warms up
	KindOverloaded      Kind = "fell"    // a warming endpoint got more than it bears
	KindStopped         Kind = "stopped"
	KindRouterDown      Kind = "router_down"
	KindRouterUp        Kind = "router_up"
	KindRouterSuspended Kind = "router_stopped" // its process is suspended
	KindRouterResumed   Kind = "router_woken"
	KindCrashed         Kind = "crashed" // a process of a supervised router was killed, another one serves
	KindFault           Kind = "trouble" // of the scenario
)

// Entry is one line. Times are microseconds from the start.
type Entry struct {
	At       int64
	Kind     Kind
	Router   int     `json:",omitempty"`
	Request  string  `json:"Txn,omitempty"`
	Class    string  `json:"Rule,omitempty"`
	Attempt  int     `json:"Hop,omitempty"` // its number among the request's attempts
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

	StartedAt int64 `json:",omitempty"` // of the endpoint that is listed; 0: before the run
}
