package policy

// Settings are the figures an instance is handed when it starts. Times are
// whole microseconds.
type Settings struct {
	Rank           int // of this router among Siblings
	Siblings       int
	Zone           string
	Zones          []string
	Kinds          []string
	Rules          []RemapRule
	Tenants        []Tenant
	OverShareWorth float64
	MarksRetry     bool
	Discovery      string // "push" or "ask"
	Contract       Contract
	Limits         Limits
	Family         Family
	Report         Report
	WeightKind     string
	Round          int64 // least time between two batches
}

// RemapRule describes one class of txns.
type RemapRule struct {
	Name       string
	Effect     string // "safe", "keyed" or "unsafe", as the wire gives it
	Group      string // "all", "zone" or "cell"
	Window     int64  // how long a group drops repeats
	SLA        int64
	Stretch    float64 // the SLA time grows by this multiple of the sending time
	TimeLimit  int64
	Importance float64
	LateShare  float64
	Streamed   bool
	Fresh      int64
	Grace      int64
	StaleShare float64
	Write      bool
	Parts      bool
}

// Tenant is a customer with a quota over all routers.
type Tenant struct {
	Name      string
	QuotaPerS float64
	Portion   float64
}

// Contract holds the figures of the rules.
type Contract struct {
	AnswerSlack, AskEvery, ColdFor, DrainGrace, FallFor int64
	ColdFrom, FallMultiple                              float64
}

// Limits says what the site permits.
type Limits struct {
	Cancel, Peers, Probes, RetryAfter, SecondCopies bool
	MaxHops, MaxOpen, StreamsPerConn                int
	MaxRetryAfter, ConnectTimeout                   int64
}

// Family describes the tiers behind the caches.
type Family struct {
	Direct, Joins            bool
	OriginKind, ParentKind   int
	FlowKBPerS, LinkPrice    float64
	ParentColdFrom           float64
	ParentColdFor            int64
	ParentFallMultiple       float64
	PurgeDone, PurgeGrace    int64
	Siblings, Tells          string
	ZoneBalancers, HubByZone []int
	LinkKBPerS               []float64
	OriginFallMultiple       float64
	OriginFallFor            int64
}

// Report describes load reports.
type Report struct {
	How    string // "inline", "on_probe" or "off"
	Fields []string
}

// EventKind tells which fields of an Event are set.
type EventKind uint8

// The events of an instance.
const (
	EvDiscovery EventKind = iota
	EvTxn
	EvHealth
	EvPeer
	EvTimer
	EvStarted
	EvPurge
	EvAnswer
	EvAbandoned
	EvPeers  // the routers know each other: Hold
	EvKept   // a txn that copies of the router's own answer: counted, nothing else
	EvBeside // the router has two generations: Outs
)

// Event is one thing that an instance is told.
type Event struct {
	Kind EventKind

	Scope   string // discovery: "diff", "snapshot", "disk" or "error"
	Entries []Entry

	Txn       string
	Rule      string
	Object    string
	Group     int64
	Part      int64
	SizeKB    float64
	Remaining int64
	Repeat    bool // a client's marked repeat
	Write     bool
	Tenant    string

	Server string
	Hop    int
	Code   string // outcome, as the wire words it
	Note   int
	Final  bool
	RTT    int64
	Waited int64
	Load   map[string]float64

	Token int64
	Age   int64 // purge: how long ago
	Peer  int
	Data  []byte

	Outs map[string][3]float64 // beside: hops that the other generation has out, by server and kind
	Hold int64                 // peers: cold servers get nothing before: an earlier life may have spent this one's share
}

// Entry is one line of the list of servers.
type Entry struct {
	Server string
	Zone   string
	Kind   string
	Cell   int
	State  string // "active", "leaving" or "left"
	Weight float64
	Born   int64 // 0: long past
}

// ActionKind tells which fields of an Action are set.
type ActionKind uint8

// The actions of an instance.
const (
	ActGet ActionKind = iota
	ActPass
	ActAbort
	ActReject
	ActCancel
	ActTimer
	ActProbe
	ActSubscribe
	ActFetch
	ActLog
	ActTell
	ActDisconnect
	ActPanic
)

// Action is one thing that an instance does.
type Action struct {
	Kind   ActionKind
	Txn    string
	Server string
	Source string
	Rank   int
	Age    int64
	Cap    int64
	Until  int64 // get: a keyed repeat must be written before; 0: no such bound
	Mode   int
	Hop    int
	Stay   int64
	Due    int64
	Token  int64
	Peer   int // -1: every peer
	Data   []byte
	Text   string
}
