package policy

// Settings are the figures an instance is handed when it starts. Times are
// whole microseconds.
type Settings struct {
	Rank               int // of this router among Siblings
	Routers            int
	Zone               string
	Zones              []string
	EndpointKinds      []string
	Classes            []TrafficClass
	Tenants            []Tenant
	OverQuotaWeight    float64
	ClientsMarkRetries bool
	Discovery          string // "push" or "ask"
	Contract           Contract
	Limits             Limits
	Hierarchy          Hierarchy
	LoadReport         LoadReport
	WeightKind         string
	BatchInterval      int64 // least time between two batches
}

// TrafficClass describes one class of txns.
type TrafficClass struct {
	Name             string
	Effect           Effect
	DedupGroup       DedupGroup
	DedupWindow      int64 // how long a group drops repeats
	LatencyObjective int64
	ObjectiveStretch float64 // the SLA time grows by this multiple of the sending time
	Timeout          int64
	PriorityWeight   float64
	LateValueShare   float64
	Streamed         bool
	FreshFor         int64
	StaleGrace       int64
	StaleValueShare  float64
	Write            bool
	Parts            bool
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

// Tenant is a customer with a quota over all routers.
type Tenant struct {
	Name      string
	QuotaPerS float64
	Share     float64
}

// Contract holds the figures of the rules.
type Contract struct {
	AnswerSlack, PollInterval, SlowStartFor, DrainGrace, OverloadWindow int64
	SlowStartFrom, OverloadMultiple                                     float64
}

// Limits says what the site permits.
type Limits struct {
	Cancel, PeerMessages, HealthChecks, RetryAfter, Hedging bool
	MaxAttempts, MaxOpenRequests, StreamsPerConn            int
	MaxRetryAfter, ConnectTimeout                           int64
}

// Hierarchy describes the tiers behind the caches.
type Hierarchy struct {
	CacheBypass, CoalescesFills bool
	OriginKind, ParentKind      int
	StreamKBPerS, LinkPrice     float64
	ParentSlowStartFrom         float64
	ParentSlowStartFor          int64
	ParentOverloadMultiple      float64
	PurgeSettleTime, PurgeGrace int64
	PeerFills, ReasonsGiven     string
	RoutersByZone, HubByZone    []int
	LinkKBPerS                  []float64
	OriginOverloadMultiple      float64
	OriginOverloadWindow        int64
}

// LoadReport describes load reports.
type LoadReport struct {
	How    string // "inline", "on_probe" or "off"
	Fields []string
}

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The events of an instance.
const (
	EventEndpoints EventKind = iota
	EventRequest
	EventHealthCheck
	EventPeerMessage
	EventTimer
	EventResponseStarted
	EventPurge
	EventAttemptEnded
	EventClientGone
	EventSlowStartHold   // the routers know each other: Hold
	EventLocalHit        // a txn that copies of the router's own answer: counted, nothing else
	EventOtherGeneration // the router has two generations: Outs
)

// Event is one thing that an instance is told.
type Event struct {
	Kind EventKind

	Scope     UpdateScope // discovery
	Endpoints []Endpoint

	Request     string
	Class       string
	Object      string
	Group       int64
	Part        int64
	SizeKB      float64
	Remaining   int64
	ClientRetry bool // a client's marked repeat
	Write       bool
	Tenant      string

	Endpoint   string
	Attempt    int
	Outcome    Outcome
	Reason     Reason
	Final      bool
	RTT        int64
	OriginWait int64
	Load       map[string]float64

	Token int64
	Age   int64 // purge: how long ago
	Peer  int
	Data  []byte

	InFlight  map[string][3]float64 // beside: hops that the other generation has out, by server and kind
	HoldUntil int64                 // peers: cold servers get nothing before: an earlier life may have spent this one's share
}

// UpdateScope says what an update of the endpoint list covers.
type UpdateScope string

// The scopes, as the simulator's wire and the log word them.
const (
	ScopeDiff     UpdateScope = "diff"     // the endpoints that changed
	ScopeSnapshot UpdateScope = "snapshot" // all endpoints
	ScopeDisk     UpdateScope = "disk"     // all endpoints, at the router's start
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

// Endpoint is one line of the list of servers.
type Endpoint struct {
	ID        string
	Zone      string
	Kind      string
	Cell      int
	State     EndpointState
	Weight    float64
	StartedAt int64 // 0: long past
}

// ActionKind tells which fields of an Action are set.
type ActionKind uint8

// The actions of an instance.
const (
	ActionSend ActionKind = iota
	ActionForward
	ActionFail
	ActionReject
	ActionCancel
	ActionSetTimer
	ActionHealthCheck
	ActionSubscribe
	ActionFetch
	ActionLog
	ActionTellPeer
	ActionDisconnect
	ActionPanic
)

// Action is one thing that an instance does.
type Action struct {
	Kind          ActionKind
	Request       string
	Endpoint      string
	Source        string
	CachePriority int
	MaxAge        int64
	Timeout       int64
	SendBefore    int64 // get: a keyed repeat must be written before; 0: no such bound
	FillMode      FillMode
	Attempt       int
	RetryAfter    int64
	Due           int64
	Token         int64
	Peer          int // -1: every peer
	Data          []byte
	Text          string
}
