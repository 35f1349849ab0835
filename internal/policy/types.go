package policy

// Settings are what a Router is started with. Times are whole microseconds. A Router does not use every field: the
// comments of the others name their readers. config.Limits keeps a grace by bounding how old the decision on an
// attempt may be when it is written (MaxDecisionAge).
type Settings struct {
	Routers       int      // how many there are in all zones; 0 counts as 1
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

// DiscoveryMode says how a router gets the endpoint list.
type DiscoveryMode string

// The modes, as settings word them.
const (
	DiscoveryPush DiscoveryMode = "push" // it is sent without being asked for
	DiscoveryPoll DiscoveryMode = "ask"  // it is sent after an ActionSubscribe
)

// WeightKind says what the weights of the endpoint list are worth.
type WeightKind string

// WeightLive are weights that follow the load, and so differ from router to router; others are sizes.
const WeightLive WeightKind = "live"

// ReasonsGiven says which answers of caches carry a Reason. Decisions look at those of errors alone.
type ReasonsGiven string

// ReasonsAll is given where each answer carries one.
const ReasonsAll ReasonsGiven = "all"

// TrafficClass describes one class of requests.
type TrafficClass struct {
	Name             string
	Effect           Effect
	DedupGroup       DedupGroup
	DedupWindow      int64   // how long a group recognizes an idempotency key
	LatencyObjective int64   // a response within this time has its full value
	ObjectiveStretch float64 // the objective grows by this multiple of the transfer time
	Timeout          int64   // after which clients give up; for simulations
	PriorityWeight   float64 // value of a response within the objective, relative to other classes
	LateValueShare   float64 // 0 to 1: the part of the value that a late response has; for statistics
	FreshFor         int64   // how old a copy may be; 0: copies do not age, only purges end them
	StaleGrace       int64   // by how much a copy may exceed FreshFor where the router asks a cache for a stale one
	StaleValueShare  float64 // 0 to 1: the part of the value that a stale copy has; for simulations
	Write            bool    // requests change the object; they all go through to the origin
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
	AnswerSlack      int64   // how long after its deadline a request is failed at the latest; for package engine
	DrainGrace       int64   // how long after a drain attempts may still begin; config.Limits keeps it
	SlowStartFor     int64   // how long a cache's slow start lasts
	SlowStartFrom    float64 // 0 to 1: the part of its capacity that a cache has at its start
	OverloadWindow   int64   // within which the work sent to an endpoint in slow start is summed
	OverloadMultiple float64 // of the capacity of the moment: more work in a window makes a cache in slow start collapse
}

// Limits says what the site permits.
type Limits struct {
	Cancel          bool // withdrawing attempts
	HealthChecks    bool
	RetryAfter      bool  // telling rejected clients how long to wait
	Hedging         bool  // a second attempt while one is in flight
	MaxAttempts     int   // of a request; 0: a Router makes one, package engine sets no bound of its own
	MaxOpenRequests int   // 0: any number; for package engine
	MaxRetryAfter   int64 // what rejected clients are told to wait, always in full
}

// Hierarchy describes what is behind the caches.
type Hierarchy struct {
	CacheBypass            bool    // requests may go to parents and the origin
	CoalescesFills         bool    // a cache may wait for a fill that is under way
	OriginKind             int     // index into Settings.EndpointKinds
	ParentKind             int     // -1: there are none
	StreamKBPerS           float64 // transfer rate of one response, in KB per second; 0: unknown
	ParentSlowStartFrom    float64 // as Contract.SlowStartFrom, of parents
	ParentSlowStartFor     int64   // as Contract.SlowStartFor, of parents
	ParentOverloadMultiple float64 // as Contract.OverloadMultiple, of parents; they share OverloadWindow
	PurgeSettleTime        int64   // within which a purge reaches all caches
	PurgeGrace             int64   // how long after a purge older copies may be sent; config.Limits keeps it
	ReasonsGiven           ReasonsGiven
	RoutersByZone          []int // parallel to Settings.Zones; where it lacks the zone, Settings.Routers counts
}

// EventKind says which fields of an Event are set.
type EventKind uint8

// The events, each with the fields that it sets.
const (
	// EventEndpoints is an update of the endpoint list: Scope, Endpoints.
	EventEndpoints EventKind = iota
	// EventRequest is a new request: Request, Class, Object, Group, Part, SizeKB, Remaining, ClientRetry and Write.
	EventRequest
	// EventHealthCheck is the end of a health check: Endpoint, Outcome, RTT.
	EventHealthCheck
	// EventPeerMessage is a message of another router on the simulator's wire; it is ignored.
	EventPeerMessage
	// EventTimer comes when the timer of an ActionSetTimer is due: Token.
	EventTimer
	// EventResponseStarted is the beginning of a response, after which the request is sent nowhere else: Request,
	// Endpoint.
	EventResponseStarted
	// EventPurge says that copies are outdated: Object, or Group where Object is empty; Age.
	EventPurge
	// EventAttemptEnded is the end of an attempt: Request, Endpoint, Attempt, Outcome, Reason, Final, RTT, OriginWait
	// and Load.
	EventAttemptEnded
	// EventClientGone says that a client left, or was answered without the Router: Request.
	EventClientGone
	// EventSlowStartHold sets until when endpoints in slow start get nothing: HoldUntil. It replaces the time that held
	// before, be that later or earlier; a time that has passed ends the hold. It is sent where an earlier process may
	// have spent this router's share of their budgets, and where another process is about to spend it.
	EventSlowStartHold
	// EventLocalHit counts a request that the router answered from copies of its own: Object, Part.
	EventLocalHit
	// EventOtherGeneration gives the attempts of the router's other process, during an upgrade: InFlight. It replaces
	// what was given before.
	EventOtherGeneration
)

// Event is one input of a Router. Kind says which other fields are set. Times are whole microseconds.
type Event struct {
	Kind EventKind

	// Of the endpoint list.
	Scope     UpdateScope
	Endpoints []Endpoint

	// Of a request.
	Request     string // its id, unique among the open requests
	Class       string // name of its traffic class
	Object      string
	Group       int64   // of objects that are purged together
	Part        int64   // of the object
	SizeKB      float64 // of the response; 0: unknown
	Remaining   int64   // duration until its deadline
	ClientRetry bool    // the client marked it as a retry; no decision uses it
	Write       bool    // counts only where Settings lack the class

	// Of an attempt or a health check.
	Endpoint   string // its id
	Attempt    int    // index among the request's attempts, from 0
	Outcome    Outcome
	Reason     Reason
	Final      bool  // the request is answered by it
	RTT        int64 // duration from the decision to send it to its end
	OriginWait int64 // how long the cache waited for the origin; counts with ReasonMissOrigin
	// Load is the endpoint's load report. One key is read: "x1", the use of its zone's link from the parents, 0 to 1.
	Load map[string]float64

	Token     int64                    // of a timer, as its ActionSetTimer gave it
	Age       int64                    // of a purge: how long ago it was made
	InFlight  map[string]AttemptCounts // of the other process: as Router.InFlight returned it
	HoldUntil int64                    // the time until which endpoints in slow start get nothing
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
	Weight    float64 // how many responses it can transfer at once: its size, or its capacity now (WeightLive)
	StartedAt int64   // time in microseconds; 0: long past, so that its slow start is over
}

// ActionKind says which fields of an Action are set.
type ActionKind uint8

// The actions, each with the fields that it sets.
const (
	// ActionSend sends an attempt, the next of its request: Request, Endpoint, Source, CachePriority, MaxAge, Timeout,
	// SendBefore, FillMode.
	ActionSend ActionKind = iota
	// ActionFail answers a request: failed, it may have been executed. Request.
	ActionFail
	// ActionReject answers a request: rejected, repeating it is harmless. Request, RetryAfter.
	ActionReject
	// ActionCancel withdraws an attempt: Request, Attempt.
	ActionCancel
	// ActionSetTimer asks for an EventTimer: Due, Token.
	ActionSetTimer
	// ActionHealthCheck checks an endpoint's health; its end is an EventHealthCheck. Endpoint.
	ActionHealthCheck
	// ActionSubscribe asks for the endpoint list and its updates. It sets no field.
	ActionSubscribe
	// ActionLog writes a line to the log: Text (LogEjected or LogReadmitted), Endpoint; with LogEjected Backoff.
	ActionLog
	// ActionPanic says that the decisions failed: Text. A Router never returns it; hosts of simulations do for one
	// that panicked.
	ActionPanic
)

// Action is one output of a Router. Kind says which other fields are set. Times are whole microseconds.
type Action struct {
	Kind          ActionKind
	Request       string // its id
	Endpoint      string // its id
	Source        string // id of the endpoint that a miss is filled from; Endpoint itself: from none
	CachePriority int    // at which a cache keeps the copy: 0 (not at all) or 2 (middle), the only ones in use
	MaxAge        int64  // greatest age of a copy; 0: the class's freshness time
	Timeout       int64  // duration from now until the attempt is given up
	SendBefore    int64  // time by which an attempt with an idempotency key must be written; 0: no bound
	FillMode      FillMode
	Attempt       int    // index among the request's attempts, from 0
	RetryAfter    int64  // how long a rejected client shall wait; 0: not said
	Due           int64  // the time at which the timer shall fire
	Token         int64  // for the EventTimer to repeat
	Text          string // for the log
	Backoff       int64  // how long the endpoint is ejected
}
