package policy

// Settings configure a Router. Times are whole microseconds. A Router does not use every field: the comments of the
// unused ones name their purpose. DrainGrace and PurgeGrace are enforced by Limits.MaxDecisionAge of package config,
// which bounds the age of a decision when its attempt is written.
type Settings struct {
	Routers       int      // number of routers in all zones; 0 counts as 1
	Zone          string   // zone of this router
	Zones         []string // all zones of the site
	EndpointKinds []string // names; Hierarchy identifies the parents and the origin, all other kinds are caches
	Classes       []TrafficClass
	Discovery     DiscoveryMode
	WeightKind    WeightKind
	Contract      Contract
	Limits        Limits
	Hierarchy     Hierarchy
}

// DiscoveryMode determines how a router obtains the endpoint list.
type DiscoveryMode string

// The modes, as spelled in settings.
const (
	DiscoveryPush DiscoveryMode = "push" // discovery sends it unrequested
	DiscoveryPoll DiscoveryMode = "ask"  // discovery sends it after an ActionSubscribe
)

// WeightKind states how the weights of the endpoint list are determined.
type WeightKind string

// WeightLive stands for weights that follow the load, and therefore differ between routers. All other kinds are sizes.
const WeightLive WeightKind = "live"

// ReasonsGiven states which responses of caches carry a Reason. Only the handling of errors depends on it.
type ReasonsGiven string

// ReasonsAll means that every response carries a Reason.
const ReasonsAll ReasonsGiven = "all"

// TrafficClass describes one class of requests.
type TrafficClass struct {
	Name             string
	Effect           Effect
	DedupGroup       DedupGroup
	DedupWindow      int64   // how long a dedup group recognizes an idempotency key
	LatencyObjective int64   // a response within this time has its full value
	ObjectiveStretch float64 // multiple of the transfer time that is added to the objective
	Timeout          int64   // time after which clients give up; for simulations
	PriorityWeight   float64 // value of a response within the objective, relative to other classes
	LateValueShare   float64 // 0 to 1: share of the value that a late response has; for statistics
	FreshFor         int64   // greatest age of a copy; 0: no limit, copies become outdated only by purges
	StaleGrace       int64   // how far a copy may exceed FreshFor when the router requests a stale one
	StaleValueShare  float64 // 0 to 1: share of the value that a stale copy has; for simulations
	Write            bool    // requests change the object; all of them are sent to the origin
}

// Effect states the result of a second execution of a request.
type Effect uint8

// The effects.
const (
	EffectIdempotent     Effect = iota // no further effect
	EffectIdempotencyKey               // no further effect where servers recognize the idempotency key
	EffectUnsafe                       // the whole effect again
)

// DedupGroup states which servers share their records of idempotency keys.
type DedupGroup uint8

// The groups.
const (
	DedupGroupAll  DedupGroup = iota // all servers
	DedupGroupZone                   // the servers of a zone
	DedupGroupCell                   // the servers of a cell in a zone
)

// Contract holds the obligations of the router to its clients, and the load that endpoints tolerate.
type Contract struct {
	AnswerSlack      int64   // longest time between a request's deadline and its failure; for package engine
	DrainGrace       int64   // how long after a drain attempts may still begin; for package config
	SlowStartFor     int64   // duration of a cache's slow start
	SlowStartFrom    float64 // 0 to 1: share of its capacity that a cache has at its start
	OverloadWindow   int64   // time over which the work sent to an endpoint in slow start is summed
	OverloadMultiple float64 // of its current capacity: more work within a window makes a cache in slow start collapse
}

// Limits holds the features that the site permits, and their bounds.
type Limits struct {
	Cancel          bool // cancelling attempts
	HealthChecks    bool
	RetryAfter      bool  // sending rejected clients a retry delay
	Hedging         bool  // a second attempt while one is in flight
	MaxAttempts     int   // attempts of a request; 0: a Router makes one, package engine sets no bound of its own
	MaxOpenRequests int   // 0: any number; for package engine
	MaxRetryAfter   int64 // retry delay sent to rejected clients; always the full value
}

// Hierarchy describes the parents and the origin behind the caches.
type Hierarchy struct {
	CacheBypass            bool    // requests may be sent directly to parents and the origin
	CoalescesFills         bool    // a cache may wait for a fill in progress
	OriginKind             int     // index into Settings.EndpointKinds
	ParentKind             int     // index into Settings.EndpointKinds; -1: there are no parents
	StreamKBPerS           float64 // transfer rate of one response, in KB per second; 0: unknown
	ParentSlowStartFrom    float64 // Contract.SlowStartFrom of parents
	ParentSlowStartFor     int64   // Contract.SlowStartFor of parents
	ParentOverloadMultiple float64 // Contract.OverloadMultiple of parents; OverloadWindow also applies to them
	PurgeSettleTime        int64   // time within which a purge reaches all caches
	PurgeGrace             int64   // how long after a purge older copies may still be sent; for package config
	ReasonsGiven           ReasonsGiven
	RoutersByZone          []int // parallel to Settings.Zones; Settings.Routers replaces a missing or zero entry
}

// EventKind determines which fields of an Event are set.
type EventKind uint8

// The events, each with the fields that it sets.
const (
	// EventEndpoints is an update of the endpoint list: Scope, Endpoints.
	EventEndpoints EventKind = iota
	// EventRequest is a new request: Request, Class, Object, Group, Part, SizeKB, Remaining, ClientRetry and Write.
	EventRequest
	// EventHealthCheck is the end of a health check: Endpoint, Outcome, RTT.
	EventHealthCheck
	// EventPeerMessage is a message from another router on the simulator's wire; it is ignored.
	EventPeerMessage
	// EventTimer reports that the timer of an ActionSetTimer is due: Token.
	EventTimer
	// EventResponseStarted is the start of a response: Request, Endpoint. No further attempt of the request follows it.
	EventResponseStarted
	// EventPurge reports that copies are outdated: Object, or Group where Object is empty; Age.
	EventPurge
	// EventAttemptEnded is the end of an attempt: Request, Endpoint, Attempt, Outcome, Reason, Final, NotModified, RTT,
	// OriginWait and Load.
	EventAttemptEnded
	// EventRequestClosed reports that a client disconnected, or that its request was answered without a decision of the
	// Router: Request.
	EventRequestClosed
	// EventSlowStartHold sets the time until which endpoints in slow start receive no requests: HoldUntil. It replaces
	// any earlier setting, by a later or an earlier time; a time in the past ends the hold. It is sent when an earlier
	// process may have used this router's share of their budgets, and when another process is about to use it.
	EventSlowStartHold
	// EventLocalHit counts a request that the router answered from its own copies: Object, Part.
	EventLocalHit
	// EventOtherGeneration reports the attempts in flight of the router's other process during an upgrade: InFlight. It
	// replaces the previous report.
	EventOtherGeneration
)

// Event is one input of a Router. Kind determines which other fields are set. Times are whole microseconds.
type Event struct {
	Kind EventKind

	// Fields of an update of the endpoint list.
	Scope     UpdateScope
	Endpoints []Endpoint

	// Fields of a request.
	Request     string // id, unique among the open requests
	Class       string // name of its traffic class
	Object      string
	Group       int64   // id of the set of objects that are purged together
	Part        int64   // part of the object
	SizeKB      float64 // size of the response; 0: unknown
	Remaining   int64   // time until the deadline
	ClientRetry bool    // the client marked it as a retry; no decision uses it
	Write       bool    // used only where Settings lack the class

	// Fields of an attempt or a health check.
	Endpoint string // id
	Attempt  int    // index among the request's attempts, from 0
	Outcome  Outcome
	Reason   Reason
	Final    bool // the request was answered by this attempt
	// NotModified means that the response confirms a copy that the client or this router holds, and transferred none.
	NotModified bool
	RTT         int64 // time from the decision to send the attempt until its end
	OriginWait  int64 // how long the cache waited for the origin; used with ReasonMissOrigin
	// Load is the endpoint's load report. Only one key is read: "x1", the utilization of its zone's link from the
	// parents, 0 to 1.
	Load map[string]float64

	Token     int64                    // of a timer: Token of its ActionSetTimer
	Age       int64                    // of a purge: time since it was made
	PurgedAt  int64                    // of a purge: when it was made, on the clock of the origin; 0: unknown
	InFlight  map[string]AttemptCounts // of the other process: result of its Router.InFlight
	HoldUntil int64                    // time until which endpoints in slow start receive no requests
}

// UpdateScope states which endpoints an update of the endpoint list covers.
type UpdateScope string

// The scopes, as spelled on the simulator's wire and in the log.
const (
	ScopeDiff     UpdateScope = "diff"     // the endpoints that changed
	ScopeSnapshot UpdateScope = "snapshot" // all endpoints
	ScopeInitial  UpdateScope = "disk"     // all endpoints, at the router's start
	ScopeError    UpdateScope = "error"    // none: the list could not be obtained
)

// EndpointState is the state of an endpoint in the endpoint list.
type EndpointState string

// The states. Messages between routers contain these strings.
const (
	EndpointActive   EndpointState = "active"  // accepts requests
	EndpointDraining EndpointState = "leaving" // accepts no new requests
	EndpointRemoved  EndpointState = "left"    // has stopped
)

// FillMode is a set of bits that determine how a cache handles a miss. The bits are those of the simulator's wire.
type FillMode int

// The bits.
const (
	FillWaitFor    FillMode = 1 << iota // wait for a fill in progress
	FillNoFetch                         // the source returns only a copy that it holds
	FillNoKeep                          // the source keeps no copy
	FillBackground                      // respond with a stale copy, and refresh it in the background
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        string
	Zone      string
	Kind      string // one of Settings.EndpointKinds
	Cell      int    // subdivision of the zone
	State     EndpointState
	Weight    float64 // number of responses that it can transfer at once: its size, or its current capacity (WeightLive)
	StartedAt int64   // time in microseconds; 0: long ago, its slow start is over
}

// ActionKind determines which fields of an Action are set.
type ActionKind uint8

// The actions, each with the fields that it sets.
const (
	// ActionSend sends an attempt, the next of its request: Request, Endpoint, Source, CachePriority, MaxAge, Timeout,
	// SendBefore, FillMode.
	ActionSend ActionKind = iota
	// ActionFail fails a request, which may have been executed: Request.
	ActionFail
	// ActionReject rejects a request, which the client may safely repeat: Request, RetryAfter.
	ActionReject
	// ActionCancel cancels an attempt: Request, Attempt.
	ActionCancel
	// ActionSetTimer requests an EventTimer: Due, Token.
	ActionSetTimer
	// ActionHealthCheck starts a health check, whose end is an EventHealthCheck: Endpoint.
	ActionHealthCheck
	// ActionSubscribe requests the endpoint list and its updates. It sets no field.
	ActionSubscribe
	// ActionLog writes a log line: Text (LogEjected or LogReadmitted), Endpoint; with LogEjected Backoff.
	ActionLog
	// ActionPanic reports that a Router panicked: Text. A Router never returns it; the host of a simulation adds it.
	ActionPanic
)

// Action is one output of a Router. Kind determines which other fields are set. Times are whole microseconds.
type Action struct {
	Kind          ActionKind
	Request       string // id
	Endpoint      string // id
	Source        string // id of the endpoint that a miss is filled from; equal to Endpoint: no fill
	CachePriority int    // priority of the copy in the cache: 0 (not kept) or 2 (middle), no other is used
	MaxAge        int64  // greatest age of a copy; 0: the class's freshness time
	Timeout       int64  // time from now until the attempt is given up
	SendBefore    int64  // time before which an attempt with an idempotency key must be written; 0: no bound
	FillMode      FillMode
	Attempt       int    // index among the request's attempts, from 0
	RetryAfter    int64  // retry delay for a rejected client; 0: not sent
	Due           int64  // time at which the timer fires
	Token         int64  // returned in the EventTimer
	Text          string // log line, or cause of the panic
	Backoff       int64  // duration of the ejection
}
