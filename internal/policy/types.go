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
	Effect           string // "safe", "keyed" or "unsafe", as the wire gives it
	Group            string // "all", "zone" or "cell"
	DedupWindow      int64  // how long a group drops repeats
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

	Scope     string // discovery: "diff", "snapshot", "disk" or "error"
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
	Outcome    string // outcome, as the wire words it
	Reason     int
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

// Endpoint is one line of the list of servers.
type Endpoint struct {
	ID        string
	Zone      string
	Kind      string
	Cell      int
	State     string // "active", "leaving" or "left"
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
	Mode          int
	Attempt       int
	RetryAfter    int64
	Due           int64
	Token         int64
	Peer          int // -1: every peer
	Data          []byte
	Text          string
}
