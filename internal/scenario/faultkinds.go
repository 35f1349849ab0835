package scenario

import (
	"maps"
	"slices"
)

// Scope is the set of servers or routers from which a fault's place and share select.
type Scope string

// The scopes.
const (
	ScopeAll     Scope = "" // the whole fleet; the fault has no place
	ScopeCaches  Scope = "caches"
	ScopeOffice  Scope = "office"
	ScopeTrunk   Scope = "trunk"
	ScopeRouters Scope = "routers"
)

// PeerKindPrefix is the prefix of the kinds that affect messages between routers. Routers exchange
// messages only in a fleet with membership.
const PeerKindPrefix = "ways_"

// Kinds of faults: the values of a fault's "kind" key.
const (
	KindCacheCrash       = "die"
	KindCacheSilence     = "silent"
	KindCachePause       = "pause"
	KindCacheDeploy      = "deploy"
	KindCachePreemption  = "preempt"
	KindOfficeLoss       = "office_lost"
	KindParentLoss       = "parents_lost"
	KindPurge            = "purge"
	KindPurgeObject      = "purge_object"
	KindOriginSlow       = "ledger_slow"
	KindOriginStop       = "ledger_stop"
	KindLateReports      = "late_reports"
	KindLateDiscovery    = "late_board"
	KindDiscoveryCut     = "cut_board"
	KindOneTimeObjects   = "once"
	KindBurst            = "burst"
	KindRouterKill       = "router_dies"
	KindRouterSuspension = "router_stops"
	KindRouterStarvation = "router_starves"
	KindPeerDelay        = "ways_delay"
	KindPeerJitter       = "ways_jitter"
	KindPeerLoss         = "ways_loss"
	KindPeerDuplication  = "ways_double"
	KindPeerReorder      = "ways_reorder"
	KindPeerBandwidth    = "ways_slow"
	KindPeerCut          = "ways_cut"
	KindPeerOneWay       = "ways_one_way"
	KindPeerPartition    = "ways_camps"
	KindPeerChain        = "ways_chain"
	KindResponseReset    = "resets"
	KindOriginReset      = "ledger_resets"
	KindResponseEndless  = "endless"
	KindResponseCorrupt  = "spoilt"
	KindSiteCut          = "site_cut"
	KindResponseError    = "errors"
)

// FaultKind describes a kind of fault: its place, its strength and whether it recurs.
type FaultKind struct {
	About       string
	Scope       Scope
	Strength    float64 // default of Fault.Strength; 0: the kind has no strength
	MinStrength float64
	MaxStrength float64
	Recurring   bool // the fault recurs every Fault.Every seconds
}

// FaultKinds holds all kinds of faults by name.
var FaultKinds = map[string]FaultKind{
	KindCacheCrash: {
		About: "caches crash with a reset and restart cold and empty",
		Scope: ScopeCaches,
	},
	KindCacheSilence: {
		About: "caches stop responding and restart cold and empty",
		Scope: ScopeCaches,
	},
	KindCachePause: {
		About: "caches pause for strength ms, repeatedly",
		Scope: ScopeCaches, Strength: 200, MinStrength: 1, MaxStrength: 5000, Recurring: true,
	},
	KindCacheDeploy: {
		About: "caches are drained in waves; their successors start cold and empty",
		Scope: ScopeCaches, Strength: 2, MinStrength: 1, MaxStrength: 50, Recurring: true,
	},
	KindCachePreemption: {
		About: "caches are drained, stopped strength s later, and restarted",
		Scope: ScopeCaches, Strength: 1, MinStrength: 0.1, MaxStrength: 60,
	},
	KindOfficeLoss: {
		About: "all caches of an office are lost and restart cold and empty",
		Scope: ScopeOffice,
	},
	KindParentLoss: {
		About: "all parents of a trunk are lost and restart cold and empty",
		Scope: ScopeTrunk,
	},
	KindPurge: {
		About: "a share of the groups is purged at once",
	},
	KindPurgeObject: {
		About:    "the strength most popular objects are purged one by one",
		Strength: 10, MinStrength: 1, MaxStrength: 10000,
	},
	KindOriginSlow: {
		About:    "the origin works strength times slower",
		Strength: 3, MinStrength: 1, MaxStrength: 100,
	},
	KindOriginStop: {
		About: "the origin does not respond",
	},
	KindLateReports: {
		About:    "load reports arrive strength s later",
		Strength: 2, MinStrength: 0.01, MaxStrength: 60,
	},
	KindLateDiscovery: {
		About:    "discovery events arrive strength s later",
		Strength: 3, MinStrength: 0.01, MaxStrength: 60,
	},
	KindDiscoveryCut: {
		About: "a share of the routers cannot reach discovery",
		Scope: ScopeRouters,
	},
	KindOneTimeObjects: {
		About: "a share of the requests is for objects requested only once",
	},
	KindBurst: {
		About:    "the request rate is strength times as high",
		Strength: 2, MinStrength: 0.01, MaxStrength: 100,
	},
	KindRouterKill: {
		About: "routers are killed and start without state",
		Scope: ScopeRouters,
	},
	KindRouterSuspension: {
		About: "routers are suspended and resume with their state",
		Scope: ScopeRouters,
	},
	KindRouterStarvation: {
		About: "other processes take a share strength of the routers' CPU",
		Scope: ScopeRouters, Strength: 0.6, MinStrength: 0.01, MaxStrength: 0.95,
	},
	KindPeerDelay: {
		About: "messages between routers arrive strength ms later, in both directions",
		Scope: ScopeRouters, Strength: 50, MinStrength: 1, MaxStrength: 10000,
	},
	KindPeerJitter: {
		About: "messages between routers arrive up to strength ms later, at random",
		Scope: ScopeRouters, Strength: 50, MinStrength: 1, MaxStrength: 10000,
	},
	KindPeerLoss: {
		About: "a share strength of the messages between routers is lost",
		Scope: ScopeRouters, Strength: 0.05, MinStrength: 0.001, MaxStrength: 1,
	},
	KindPeerDuplication: {
		About: "a share strength of the messages between routers is duplicated",
		Scope: ScopeRouters, Strength: 0.1, MinStrength: 0.001, MaxStrength: 1,
	},
	KindPeerReorder: {
		About: "a share strength of the messages between routers is delivered late, out of order",
		Scope: ScopeRouters, Strength: 0.1, MinStrength: 0.001, MaxStrength: 1,
	},
	KindPeerBandwidth: {
		About: "links between routers carry strength KB per second",
		Scope: ScopeRouters, Strength: 2, MinStrength: 0.1, MaxStrength: 1e6,
	},
	KindPeerCut: {
		About: "routers are cut off from all others, and from each other",
		Scope: ScopeRouters,
	},
	KindPeerOneWay: {
		About: "messages from the routers are lost, messages to the routers arrive",
		Scope: ScopeRouters,
	},
	KindPeerPartition: {
		About:    "routers are partitioned into strength parts; the share sets the size of the first part, no share means equal parts",
		Strength: 2, MinStrength: 2, MaxStrength: 3,
	},
	KindPeerChain: {
		About: "a third of the routers is cut off from another third; the last third reaches both",
	},
	KindResponseReset: {
		About: "a share of the responses is replaced by a reset",
		Scope: ScopeCaches,
	},
	KindOriginReset: {
		About: "a share of the origin's responses is replaced by a reset",
	},
	KindResponseEndless: {
		About: "a share of the responses never arrives",
		Scope: ScopeCaches,
	},
	KindResponseCorrupt: {
		About: "a share of the responses is malformed and ends the connection",
		Scope: ScopeCaches,
	},
	KindSiteCut: {
		About: "sites cannot reach each other",
	},
	KindResponseError: {
		About: "a share of the responses is an error that names no reason",
		Scope: ScopeCaches,
	},
}

// FaultNames returns the names of all kinds of faults in order.
func FaultNames() []string { return slices.Sorted(maps.Keys(FaultKinds)) }
