package scenario

import (
	"maps"
	"slices"
)

// Scope is the set of servers or routers that a fault's place and share choose from.
type Scope string

// The scopes.
const (
	ScopeAll     Scope = "" // the whole fleet; the fault has no place
	ScopeCaches  Scope = "caches"
	ScopeOffice  Scope = "office"
	ScopeTrunk   Scope = "trunk"
	ScopeRouters Scope = "routers"
)

// PeerKindPrefix begins the kinds that disturb messages among routers, which need membership.
const PeerKindPrefix = "ways_"

// Kinds of faults, as in a fault's "kind" key.
const (
	KindCacheDeath       = "die"
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
	KindRouterDeath      = "router_dies"
	KindRouterStop       = "router_stops"
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

// FaultKind says what a fault's place and strength mean.
type FaultKind struct {
	About       string
	Scope       Scope
	Strength    float64 // if the fault names none; 0: the kind has no strength
	MinStrength float64
	MaxStrength float64
	Recurring   bool // the fault comes again after Fault.Every
}

// FaultKinds has all kinds of faults by name.
var FaultKinds = map[string]FaultKind{
	KindCacheDeath: {
		About: "caches die with a reset and return cold and empty",
		Scope: ScopeCaches,
	},
	KindCacheSilence: {
		About: "caches stop responding and return cold and empty",
		Scope: ScopeCaches,
	},
	KindCachePause: {
		About: "caches pause for strength ms, again and again",
		Scope: ScopeCaches, Strength: 200, MinStrength: 1, MaxStrength: 5000, Recurring: true,
	},
	KindCacheDeploy: {
		About: "caches are drained in waves; their successors start cold and empty",
		Scope: ScopeCaches, Strength: 2, MinStrength: 1, MaxStrength: 50, Recurring: true,
	},
	KindCachePreemption: {
		About: "caches are drained and gone strength s later; they return",
		Scope: ScopeCaches, Strength: 1, MinStrength: 0.1, MaxStrength: 60,
	},
	KindOfficeLoss: {
		About: "all caches of an office are lost and return cold and empty",
		Scope: ScopeOffice,
	},
	KindParentLoss: {
		About: "all parents of a trunk are lost and return cold and empty",
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
		About:    "load reports come strength s later",
		Strength: 2, MinStrength: 0.01, MaxStrength: 60,
	},
	KindLateDiscovery: {
		About:    "discovery events come strength s later",
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
		About:    "strength times the requests",
		Strength: 2, MinStrength: 0.01, MaxStrength: 100,
	},
	KindRouterDeath: {
		About: "routers are killed and start without state",
		Scope: ScopeRouters,
	},
	KindRouterStop: {
		About: "routers are stopped and resume with their state",
		Scope: ScopeRouters,
	},
	KindRouterStarvation: {
		About: "neighbours take a share strength of the routers' CPU",
		Scope: ScopeRouters, Strength: 0.6, MinStrength: 0.01, MaxStrength: 0.95,
	},
	KindPeerDelay: {
		About: "messages among routers come strength ms later, both ways",
		Scope: ScopeRouters, Strength: 50, MinStrength: 1, MaxStrength: 10000,
	},
	KindPeerJitter: {
		About: "messages among routers come up to strength ms later, at random",
		Scope: ScopeRouters, Strength: 50, MinStrength: 1, MaxStrength: 10000,
	},
	KindPeerLoss: {
		About: "a share strength of the messages among routers is lost",
		Scope: ScopeRouters, Strength: 0.05, MinStrength: 0.001, MaxStrength: 1,
	},
	KindPeerDuplication: {
		About: "a share strength of the messages among routers is duplicated",
		Scope: ScopeRouters, Strength: 0.1, MinStrength: 0.001, MaxStrength: 1,
	},
	KindPeerReorder: {
		About: "a share strength of the messages among routers is overtaken",
		Scope: ScopeRouters, Strength: 0.1, MinStrength: 0.001, MaxStrength: 1,
	},
	KindPeerBandwidth: {
		About: "links among routers carry strength KB a second",
		Scope: ScopeRouters, Strength: 2, MinStrength: 0.1, MaxStrength: 1e6,
	},
	KindPeerCut: {
		About: "routers are cut off from all others, and from each other",
		Scope: ScopeRouters,
	},
	KindPeerOneWay: {
		About: "messages from the routers are lost, messages to them arrive",
		Scope: ScopeRouters,
	},
	KindPeerPartition: {
		About:    "routers are partitioned into strength parts, the first of a share; no share: even ones",
		Strength: 2, MinStrength: 2, MaxStrength: 3,
	},
	KindPeerChain: {
		About: "a third of the routers is cut off from another third, the last third reaches both",
	},
	KindResponseReset: {
		About: "a share of the responses is a reset instead",
		Scope: ScopeCaches,
	},
	KindOriginReset: {
		About: "a share of the origin's responses is a reset instead",
	},
	KindResponseEndless: {
		About: "a share of the responses never comes",
		Scope: ScopeCaches,
	},
	KindResponseCorrupt: {
		About: "a share of the responses is malformed: their connection ends",
		Scope: ScopeCaches,
	},
	KindSiteCut: {
		About: "sites cannot reach each other",
	},
	KindResponseError: {
		About: "a share of the responses is an error without a reason",
		Scope: ScopeCaches,
	},
}

// FaultNames returns the names of all kinds of faults in order.
func FaultNames() []string { return slices.Sorted(maps.Keys(FaultKinds)) }
