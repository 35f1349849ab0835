package policy

// Settings are what a Router is started with. Times are whole microseconds.
type Settings struct {
	Routers       int      // of all zones
	Zone          string   // of this router
	Zones         []string // of the site
	EndpointKinds []string // names; Hierarchy says which are parents and origin, all others are caches
	Classes       []TrafficClass
	Discovery     DiscoveryMode
	WeightKind    WeightKind
	Contract      Contract
	Limits        Limits
	Hierarchy     Hierarchy
}

// DiscoveryMode says how the endpoint list comes.
type DiscoveryMode string

// The modes, as settings word them.
const (
	DiscoveryPush DiscoveryMode = "push" // unasked
	DiscoveryPoll DiscoveryMode = "ask"  // after a subscription
)

// WeightKind says what the weights of the endpoint list are worth.
type WeightKind string

// WeightLive are weights that follow the load, and so differ from router to router; others are sizes.
const WeightLive WeightKind = "live"

// ReasonsGiven says which answers of caches carry a Reason.
type ReasonsGiven string

// ReasonsAll is given where each answer carries one.
const ReasonsAll ReasonsGiven = "all"

// TrafficClass describes one class of requests.
type TrafficClass struct {
	Name             string
	Effect           Effect
	DedupGroup       DedupGroup
	DedupWindow      int64   // how long a group recognizes an idempotency key
	LatencyObjective int64   // within which a response is worth all
	ObjectiveStretch float64 // the objective grows by this multiple of the transfer time
	Timeout          int64   // after which clients give up
	PriorityWeight   float64 // what a response in time is worth
	LateValueShare   float64 // of that, for one that is late
	FreshFor         int64   // how old a copy may be; 0: copies do not age, only purges end them
	StaleGrace       int64   // by which a stale copy may be older
	StaleValueShare  float64 // of the worth, for a stale copy
	Write            bool
}

// Effect says what a second execution of a request would do.
type Effect uint8

// The effects.
const (
	EffectIdempotent     Effect = iota // nothing more than the first
	EffectIdempotencyKey               // nothing more, where the servers drop repeats of a key
	EffectUnsafe                       // all of it again
)

// DedupGroup says which servers share what they know of idempotency keys.
type DedupGroup uint8

// The groups.
const (
	DedupGroupAll  DedupGroup = iota // all servers
	DedupGroupZone                   // those of a zone
	DedupGroupCell                   // those of a cell in a zone
)

// Contract holds what the router owes its clients, and what endpoints bear.
type Contract struct {
	AnswerSlack      int64   // past a request's time limit, for its answer
	DrainGrace       int64   // for requests to a drained endpoint
	SlowStartFor     int64   // how long a cache's slow start lasts
	SlowStartFrom    float64 // part of its capacity that a cache has at its start
	OverloadWindow   int64   // within which work is summed
	OverloadMultiple float64 // of its capacity in a window, that a cache in slow start bears
}

// Limits says what the site permits.
type Limits struct {
	Cancel          bool // withdrawing attempts
	HealthChecks    bool
	RetryAfter      bool // sending Retry-After to rejected clients
	Hedging         bool // a second attempt while one is in flight
	MaxAttempts     int
	MaxOpenRequests int   // 0: any number
	MaxRetryAfter   int64 // that clients comply with
}

// Hierarchy describes what is behind the caches.
type Hierarchy struct {
	CacheBypass            bool // requests may go to parents and the origin
	CoalescesFills         bool // a cache may wait for a fill that is under way
	OriginKind             int  // index into Settings.EndpointKinds
	ParentKind             int  // -1: there are none
	StreamKBPerS           float64
	ParentSlowStartFrom    float64
	ParentSlowStartFor     int64
	ParentOverloadMultiple float64
	PurgeSettleTime        int64 // within which a purge reaches all caches
	PurgeGrace             int64 // for responses older than a purge
	ReasonsGiven           ReasonsGiven
	RoutersByZone          []int // parallel to Settings.Zones
}

// EventKind says which fields of an Event are set.
type EventKind uint8

// The events.
const (
	EventEndpoints       EventKind = iota // an update of the endpoint list: Scope, Endpoints
	EventRequest                          // a request arrives
	EventHealthCheck                      // the end of a health check: Endpoint, Outcome, RTT
	EventPeerMessage                      // a message of another router; ignored
	EventTimer                            // a timer is due: Token
	EventResponseStarted                  // a response begins: Request, Endpoint
	EventPurge                            // copies are outdated: Object or Group, Age
	EventAttemptEnded                     // the end of an attempt
	EventClientGone                       // a client left, or was answered otherwise: Request
	EventSlowStartHold                    // the routers know each other: HoldUntil
	EventLocalHit                         // the router answered from copies of its own: Object, Part
	EventOtherGeneration                  // the router has another process: InFlight
)

// Event is one input of a Router.
type Event struct {
	Kind EventKind

	// Of the endpoint list.
	Scope     UpdateScope
	Endpoints []Endpoint

	// Of a request.
	Request     string // its id
	Class       string // name of its traffic class
	Object      string
	Group       int64   // of objects that are purged together
	Part        int64   // of the object
	SizeKB      float64 // of the response; 0: unknown
	Remaining   int64   // until its deadline
	ClientRetry bool    // the client marked it as a retry
	Write       bool

	// Of an attempt or a health check.
	Endpoint   string // its id
	Attempt    int    // index among the request's attempts
	Outcome    Outcome
	Reason     Reason
	Final      bool               // the request is answered by it
	RTT        int64              // from sending it to its end
	OriginWait int64              // how long the cache waited for the origin
	Load       map[string]float64 // the endpoint's load report

	Token     int64                    // of a timer
	Age       int64                    // of a purge: how long ago it was made
	InFlight  map[string]AttemptCounts // of the other process: attempts by endpoint and kind
	HoldUntil int64                    // until then endpoints in slow start get nothing
}

// UpdateScope says what an update of the endpoint list covers.
type UpdateScope string

// The scopes, as the simulator's wire and the log word them.
const (
	ScopeDiff     UpdateScope = "diff"     // the endpoints that changed
	ScopeSnapshot UpdateScope = "snapshot" // all endpoints
	ScopeInitial  UpdateScope = "disk"     // all endpoints, at the router's start
	ScopeError    UpdateScope = "error"    // none: the list could not be had
)

// EndpointState is what discovery says of an endpoint.
type EndpointState string

// The states. Messages between routers carry them in these words.
const (
	EndpointActive   EndpointState = "active"  // takes requests
	EndpointDraining EndpointState = "leaving" // takes no new requests
	EndpointGone     EndpointState = "left"    // has ended
)

// FillMode says how a cache may answer an attempt that misses. Its bits are those of the simulator's wire.
type FillMode int

// The bits.
const (
	FillWaitFor    FillMode = 1 << iota // wait for a fill that is under way
	FillNoFetch                         // the source gives only what it holds
	FillNoKeep                          // the source keeps no copy
	FillBackground                      // a stale copy is answered with, and renewed behind it
)

// Endpoint is one line of the endpoint list.
type Endpoint struct {
	ID        string
	Zone      string
	Kind      string // one of Settings.EndpointKinds
	Cell      int    // a part of the zone
	State     EndpointState
	Weight    float64 // its size, or its capacity now
	StartedAt int64   // 0: long past
}

// ActionKind says which fields of an Action are set.
type ActionKind uint8

// The actions.
const (
	ActionSend        ActionKind = iota // send an attempt
	ActionFail                          // answer a request: failed, it may have been executed
	ActionReject                        // answer a request: rejected, repeating it is harmless
	ActionCancel                        // withdraw an attempt
	ActionSetTimer                      // bring an EventTimer with Token when it is due
	ActionHealthCheck                   // check an endpoint's health
	ActionSubscribe                     // ask for the endpoint list and its updates
	ActionLog                           // write Text to the log, with Endpoint and Backoff
	ActionPanic                         // the decisions failed, with Text
)

// Action is one output of a Router.
type Action struct {
	Kind          ActionKind
	Request       string
	Endpoint      string
	Source        string // that the endpoint fills from; the endpoint itself: from none
	CachePriority int    // at which a cache keeps the copy; 0: not
	MaxAge        int64  // of a copy; 0: the freshness time of the class
	Timeout       int64  // of the attempt
	SendBefore    int64  // an attempt with an idempotency key must be written before; 0: no bound
	FillMode      FillMode
	Attempt       int   // index among the request's attempts
	RetryAfter    int64 // how long a rejected client shall wait; 0: not said
	Due           int64
	Token         int64
	Text          string
	Backoff       int64 // how long the endpoint is ejected
}
