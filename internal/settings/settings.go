// Package settings defines the settings object that a router starts with, which both the simulator's wire protocol
// and the router's configuration contain, and converts it into the settings of package policy. No other package maps
// the object's keys and string values to those of package policy. Package config validates the object and derives the
// limits of connections and their times from it (config.Limits).
//
// The fields have the names of the object's keys. A missing key leaves the field at its zero value, which is the
// default unless the field's comment names another. Names that end in Ms are milliseconds, those in KbPerS kilobytes
// per second. Fields marked unused are accepted for sites whose settings have them, and have no effect.
package settings

import (
	"math"

	"quilldoor/internal/policy"
)

// Micros converts milliseconds into microseconds, rounded to the nearest whole one.
func Micros(ms float64) int64 {
	const microsPerMilli = 1000
	return int64(math.Round(ms * microsPerMilli))
}

// Setup is the settings object.
type Setup struct {
	// Rank is the index of this router among all routers; unused.
	Rank int

	// Siblings is the number of routers of the site, this one included; 0 counts as 1. Routers divide
	// the budget of an endpoint in slow start by this number. With too low a number they overload the endpoint
	// together; with too high a number the endpoint stays underused for longer than necessary.
	Siblings int

	// Zone is the zone of this router; required. It sends no requests to edge caches of other zones.
	Zone string

	// Zones are the names of the site's zones. FamilyInfo.ZoneBalancers is parallel to them.
	Zones []string

	// Kinds are the names of the kinds of endpoints, as discovery reports them; required. FamilyInfo.MasterKind
	// and FamilyInfo.SecondTierKind select the kinds of the origin and of the parents; all others are edge caches.
	Kinds []string

	// Classes are the traffic classes; at least one is required.
	Classes []Class

	// Tenants are refused: requests on sockets have no field for a tenant.
	Tenants []Tenant

	// OverShareWorth is unused.
	OverShareWorth float64

	// Callers describes the behavior of clients; unused.
	Callers struct {
		MarksRetry bool
	}

	// Discovery is "push" where updates of the endpoint list are sent without a request, and "ask" where the policy
	// has to subscribe. It has an effect only in the simulator: on sockets the router always polls.
	Discovery string

	Contract   Contract
	Limits     Limits
	FamilyInfo FamilyInfo

	// LoadReport describes which fields endpoints report, and how; unused.
	LoadReport struct {
		Fields []string
		How    string
	}

	// WeightKind is "live" where the weights of the endpoint list follow the load and so may differ from router
	// to router. Routers then choose an object's cache by its id alone, so that all of them choose the same one.
	// With any other value, weights are sizes and larger caches are assigned more objects.
	WeightKind string

	// RoundMs is unused.
	RoundMs float64
}

// Tenant is one of the customers that share a site; refused on sockets.
type Tenant struct {
	Name      string
	QuotaPerS float64 // requests a second
	Portion   float64
}

// Contract holds the guarantees between the router and the site's endpoints and clients.
type Contract struct {
	// AnswerSlackMs is the time after its deadline at which a request without a response fails. With a short time a
	// response in transfer may arrive too late; a long time makes clients wait for a response that is worth nothing.
	AnswerSlackMs float64

	// AskEveryMs is unused.
	AskEveryMs float64

	// ColdFrom is the share of its capacity, from 0 to 1, that an edge cache has when it starts. The share grows
	// linearly to 1 within ColdMs. With a low value caches warm up on few requests, and other caches carry their
	// load for longer.
	ColdFrom float64

	// ColdMs is the duration of an edge cache's slow start; 0: no slow start.
	ColdMs float64

	// DrainGraceMs is the time after the discovery update that drains an endpoint during which attempts may still
	// reach the endpoint. It also bounds how long an attempt may wait for a connection, and how old its decision
	// may be when it is written: with a short grace, attempts that wait for a slow connection fail. 0 adds no bound.
	DrainGraceMs float64

	// FallMs is the window over which the work sent to an endpoint in slow start is summed. A restarted router
	// whose earlier process may have sent such work sends none for this time.
	FallMs float64

	// FallMultiple is the multiple of its present capacity that an edge cache in slow start can handle within FallMs
	// before it fails. A router uses a part of it, so that the excess of routers that are notified late of the
	// endpoint's start does not overload it.
	FallMultiple float64
}

// Limits hold the router's permissions and bounds.
type Limits struct {
	// Cancel permits a router to cancel attempts. It saves endpoints work whose response is no longer needed.
	Cancel bool

	// PeerMessages permits routers to send messages to each other. Without it an operator's file with the part
	// "members" is refused.
	PeerMessages bool

	// Probes permits health checks. Without them the router tests an ejected endpoint with requests of clients.
	Probes bool

	// RetryAfter permits sending rejected clients the time to wait before a retry.
	RetryAfter bool

	// SecondCopies permits hedging: a second attempt of an idempotent request while the first is in flight. Hedging
	// shortens the slowest responses at the cost of more load on endpoints.
	SecondCopies bool

	// MostTries bounds the attempts of a request; 0 counts as 1. Reads make fewer attempts where more of them would
	// only add to an overload.
	MostTries int

	// MaxOpen bounds the open requests of a router; further ones are rejected. 0: any number.
	MaxOpen int

	// StreamsPerConn bounds the concurrent attempts on one connection to an endpoint; 0 counts as 1. A low number
	// takes more connections; with a high number a broken connection fails more attempts.
	StreamsPerConn int

	// MaxRetryAfterMs is the time to wait that is sent to rejected clients, always in full. A long time reduces
	// load sooner, and leaves capacity unused once the overload is over.
	MaxRetryAfterMs float64

	// ConnectTimeoutMs bounds the time to connect to an endpoint and the time of a health check; 0: 400 ms. A short
	// timeout detects a failed endpoint sooner, but treats a busy one as failed. It is also bounded by three
	// quarters of DrainGraceMs and of PurgeGraceMs.
	ConnectTimeoutMs float64

	// ConnIdleMs is the time after which endpoints close an idle connection; 0: 15 s. The router closes it after
	// four fifths of that time, so that no attempt is sent while the endpoint closes its connection.
	ConnIdleMs float64
}

// FamilyInfo describes the hierarchy of caches, and the freshness of the objects of each class. Lists with an element
// for each class are parallel to Setup.Classes; a missing element counts as zero.
type FamilyInfo struct {
	// BypassAllowed permits requests that skip the edge caches and go to parents or the origin. Bypassing serves
	// requests while caches fail, and moves their load to the origin.
	BypassAllowed bool

	// Collapses means that a cache coalesces fills: attempts wait for a fill of the same object in progress.
	Collapses bool

	// ClassGraceMs holds, for each class, the age beyond GoodForMs up to which a stale copy may be served where no
	// fresh one is available. A long grace serves more requests while the origin fails, with older content.
	ClassGraceMs []float64

	// GoodForMs holds, for each class, how long a copy is fresh; 0: copies stay fresh until a purge, and a disk
	// cache does not store them. A long time reduces the load on the origin and shows changes later.
	GoodForMs []float64

	// WorthWhenOld holds, for each class, the share of Class.Value, from 0 to 1, that a stale response is worth.
	// Only the simulator's score uses it.
	WorthWhenOld []float64

	// GoesThrough holds, for each class, whether its requests are writes, which are forwarded to the origin.
	GoesThrough []bool

	// MultiPart is unused.
	MultiPart []bool

	// ClearedWithinMs is the time within which a purge reaches all caches. Until then the router requests copies
	// that are newer than the purge. With too short a time purged copies are served; a long time costs fills.
	ClearedWithinMs float64

	// PurgeGraceMs is the time after the discovery update with a purge during which older copies may still be sent.
	// It bounds the wait for a connection and the age of decisions as Contract.DrainGraceMs does; 0 adds no bound.
	PurgeGraceMs float64

	// FeedKbPerS is unused.
	FeedKbPerS []float64

	// FlowKbPerS is the rate at which one response is transferred. Transfer times are derived from it, and from
	// those the latency objectives and which requests are held back first; 0: unknown, sizes are ignored.
	FlowKbPerS float64

	// LinkPrice is unused.
	LinkPrice float64

	// HubByZone is unused.
	HubByZone []int

	// ZoneBalancers is the number of routers in each of Setup.Zones. They divide the capacity of the zone's caches
	// in slow start among them. Without a number for this router's zone Setup.Siblings is used, which is never too
	// low.
	ZoneBalancers []int

	// MasterKind is the index in Setup.Kinds of the origin's kind.
	MasterKind int

	// SecondTierKind is the index in Setup.Kinds of the parents' kind; missing or -1: no parents.
	SecondTierKind *int

	// NotesGiven is "all" where each error response of a cache states a reason. An error without a reason then does
	// not count as a sign of overload; with any other value it does.
	NotesGiven string

	// Sideways is unused.
	Sideways string

	// OriginFallMs and OriginFallMultiple are unused.
	OriginFallMs       float64
	OriginFallMultiple float64

	// ParentColdFrom, ParentRampMs and UpperFallMultiple apply to parents as Contract.ColdFrom, ColdMs and
	// FallMultiple apply to edge caches. All routers of the site share the slow-start budget of a parent.
	ParentColdFrom    float64
	ParentRampMs      float64
	UpperFallMultiple float64
}

// Class is one traffic class.
type Class struct {
	// Name is the class's name in requests; required. It consists of the characters that cacheproto.IsValidValue allows.
	Name string

	// Effect is the effect of executing a request a second time; required. "safe": none; "keyed": none where the
	// endpoints have recorded its idempotency key; "unsafe": the same as the first time, so that the request is
	// retried only if it is certain that it was not executed.
	Effect string

	// Group is the set of endpoints that share their records of idempotency keys: "all" (the default), those of a
	// "zone", or those of a "cell". A small group leaves fewer endpoints for a retry.
	Group string

	// DedupWindowMs is how long a group recognizes a key. A keyed request is not retried after that time.
	DedupWindowMs float64

	// TargetMs is the latency objective; above 0 and up to 60 s, required. With a short one attempts time out and
	// are hedged sooner.
	TargetMs float64

	// GiveUpMs is the timeout of clients; above 0 and up to 60 s, required. The longest timeout of all classes
	// bounds every request and the duration of a shutdown.
	GiveUpMs float64

	// AimStretch is the multiple of a response's transfer time that is added to the latency objective.
	AimStretch float64

	// LateShare is the share of Value, from 0 to 1, that a response after its latency objective is worth. The scores
	// by which upgrades are compared use it.
	LateShare float64

	// Value is the priority weight: the worth of a response within its latency objective. Close to an endpoint's
	// concurrency limit, requests whose worth is low in relation to their transfer time are held back first.
	Value float64

	// Streamed is refused: the protocol on sockets has no streams.
	Streamed bool
}

var effects = map[string]policy.Effect{
	"safe":   policy.EffectIdempotent,
	"keyed":  policy.EffectIdempotencyKey,
	"unsafe": policy.EffectUnsafe,
}

var dedupGroups = map[string]policy.DedupGroup{
	"all":  policy.DedupGroupAll,
	"zone": policy.DedupGroupZone,
	"cell": policy.DedupGroupCell,
}

// noParents stands for the index of the parents' kind in a hierarchy without parents.
const noParents = -1

// elementOrZero returns the element at an index of a list, or zero if the list is too short.
func elementOrZero[T any](list []T, i int) (element T) {
	if i < len(list) {
		element = list[i]
	}
	return element
}

// PolicySettings converts the settings to those of package policy, with times in microseconds. An unknown Group counts
// as "all". An unknown Effect would count as "safe"; package config refuses it.
func (s *Setup) PolicySettings() policy.Settings {
	settings := policy.Settings{
		Routers:       s.Siblings,
		Zone:          s.Zone,
		Zones:         s.Zones,
		EndpointKinds: s.Kinds,
		Discovery:     policy.DiscoveryMode(s.Discovery),
		WeightKind:    policy.WeightKind(s.WeightKind),
		Contract:      s.contract(),
		Limits:        s.limits(),
		Hierarchy:     s.hierarchy(),
	}
	for i := range s.Classes {
		settings.Classes = append(settings.Classes, s.class(i))
	}
	return settings
}

func (s *Setup) contract() policy.Contract {
	contract := &s.Contract
	return policy.Contract{
		AnswerSlack:      Micros(contract.AnswerSlackMs),
		DrainGrace:       Micros(contract.DrainGraceMs),
		SlowStartFor:     Micros(contract.ColdMs),
		SlowStartFrom:    contract.ColdFrom,
		OverloadWindow:   Micros(contract.FallMs),
		OverloadMultiple: contract.FallMultiple,
	}
}

func (s *Setup) limits() policy.Limits {
	limits := &s.Limits
	return policy.Limits{
		Cancel:          limits.Cancel,
		HealthChecks:    limits.Probes,
		RetryAfter:      limits.RetryAfter,
		Hedging:         limits.SecondCopies,
		MaxAttempts:     limits.MostTries,
		MaxOpenRequests: limits.MaxOpen,
		MaxRetryAfter:   Micros(limits.MaxRetryAfterMs),
	}
}

func (s *Setup) hierarchy() policy.Hierarchy {
	family := &s.FamilyInfo
	hierarchy := policy.Hierarchy{
		CacheBypass:            family.BypassAllowed,
		CoalescesFills:         family.Collapses,
		OriginKind:             family.MasterKind,
		ParentKind:             noParents,
		StreamKBPerS:           family.FlowKbPerS,
		ParentSlowStartFrom:    family.ParentColdFrom,
		ParentSlowStartFor:     Micros(family.ParentRampMs),
		ParentOverloadMultiple: family.UpperFallMultiple,
		PurgeSettleTime:        Micros(family.ClearedWithinMs),
		PurgeGrace:             Micros(family.PurgeGraceMs),
		ReasonsGiven:           policy.ReasonsGiven(family.NotesGiven),
		RoutersByZone:          family.ZoneBalancers,
	}
	if family.SecondTierKind != nil {
		hierarchy.ParentKind = *family.SecondTierKind
	}
	return hierarchy
}

// class converts the traffic class with the given index, including its elements of the lists in FamilyInfo.
func (s *Setup) class(i int) policy.TrafficClass {
	class, family := &s.Classes[i], &s.FamilyInfo
	return policy.TrafficClass{
		Name:             class.Name,
		Effect:           effects[class.Effect],
		DedupGroup:       dedupGroups[class.Group],
		DedupWindow:      Micros(class.DedupWindowMs),
		LatencyObjective: Micros(class.TargetMs),
		ObjectiveStretch: class.AimStretch,
		Timeout:          Micros(class.GiveUpMs),
		PriorityWeight:   class.Value,
		LateValueShare:   class.LateShare,
		FreshFor:         Micros(elementOrZero(family.GoodForMs, i)),
		StaleGrace:       Micros(elementOrZero(family.ClassGraceMs, i)),
		StaleValueShare:  elementOrZero(family.WorthWhenOld, i),
		Write:            elementOrZero(family.GoesThrough, i),
	}
}
