package scenario

import (
	"cmp"
	"maps"
	"slices"

	"quilldoor/internal/yamlfile"
)

// Fault is a fault during the run.
type Fault struct {
	Kind     string  `yaml:"kind"`     // key of FaultKinds
	At       float64 `yaml:"at"`       // seconds from the start
	For      float64 `yaml:"for"`      // seconds
	Every    float64 `yaml:"every"`    // seconds between pauses or waves; 0: defaultEveryS
	Office   int     `yaml:"office"`   // from 1; 0: all, or any
	Trunk    int     `yaml:"trunk"`    // from 1; 0: all, or any
	Share    float64 `yaml:"share"`    // of the servers, groups, objects or requests there; 0: all
	Strength float64 `yaml:"strength"` // by kind
}

const (
	// defaultEveryS is the time between pauses or waves if the fault names none.
	defaultEveryS = 2
	minEveryS     = 0.01
	maxFaultS     = 24 * 3600
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

// validate checks a fault and sets its defaults. The key is the prefix of the keys in errors.
func (f *Fault) validate(s *Scenario, key string) error {
	kind, known := FaultKinds[f.Kind]
	if !known {
		return yamlfile.Errorf(key+"kind", "%.40q is no trouble", f.Kind)
	}
	if f.Strength == 0 {
		f.Strength = kind.Strength
	}
	if err := f.validateRanges(s, kind, key); err != nil {
		return err
	}
	if f.Share == 0 && f.Kind != KindPeerPartition { // without a share, its parts are even
		f.Share = 1
	}
	if kind.Recurring {
		f.Every = cmp.Or(f.Every, defaultEveryS)
	}
	return nil
}

func (f *Fault) validateRanges(s *Scenario, kind FaultKind, key string) error {
	switch {
	case !(f.At >= 0 && f.At <= s.LengthS):
		return yamlfile.Errorf(key+"at", "%g is not within the scenario's %g s", f.At, s.LengthS)
	case !(f.For >= 0 && f.For <= maxFaultS):
		return yamlfile.Errorf(key+"for", "%g is not within 0 and a day", f.For)
	case !(f.Share >= 0 && f.Share <= 1):
		return yamlfile.Errorf(key+"share", "%g is not within 0 and 1", f.Share)
	case f.Office < 0 || f.Office > s.Fleet.Offices:
		return yamlfile.Errorf(key+"office", "there is no office %d, only %d", f.Office, s.Fleet.Offices)
	case f.Trunk < 0 || f.Trunk > s.Fleet.Trunks:
		return yamlfile.Errorf(key+"trunk", "there is no trunk %d, only %d", f.Trunk, s.Fleet.Trunks)
	case f.Strength != 0 && kind.Strength == 0:
		return yamlfile.Errorf(key+"strength", "%s has none", f.Kind)
	case kind.Strength != 0 && !(f.Strength >= kind.MinStrength && f.Strength <= kind.MaxStrength):
		return yamlfile.Errorf(key+"strength", "%g is not within %g and %g", f.Strength, kind.MinStrength, kind.MaxStrength)
	case f.Every < 0 || f.Every > 0 && !kind.Recurring:
		return yamlfile.Errorf(key+"every", "%s does not come again", f.Kind)
	case f.Every > 0 && f.Every < minEveryS:
		return yamlfile.Errorf(key+"every", "%g is not %g or more", f.Every, minEveryS)
	}
	return nil
}
