// Package settings reads the settings object that a router starts with, as the simulator's wire and the router's
// configuration both give it, and turns it into the settings of package policy. The object's words are mapped here
// and nowhere else. Package config also reads it: it checks the values, and takes from it what bounds connections and
// times of the sockets (config.Limits).
//
// The fields have the names of the object's keys. A missing key is the field's zero value: that is the default where
// a comment names no other. Names that end in Ms are milliseconds, those in KbPerS kilobytes a second. Fields marked
// unused are accepted for sites that give them, and decide nothing.
package settings

import (
	"math"

	"quilldoor/internal/policy"
)

// Micros turns milliseconds into whole microseconds, rounded to the nearest one.
func Micros(ms float64) int64 {
	const microsPerMilli = 1000
	return int64(math.Round(ms * microsPerMilli))
}

// Setup is the settings object.
type Setup struct {
	// Rank is the index of this router among all; unused.
	Rank int

	// Siblings is the number of routers of the site, this one included; 0 counts as 1. Routers divide what
	// endpoints in slow start can take by it: too low a number lets them overload those together, too high a
	// number leaves them idle for longer than they need.
	Siblings int

	// Zone is the zone of this router; required. Edge caches of other zones get nothing from it.
	Zone string

	// Zones are the names of the site's zones. FamilyInfo.ZoneBalancers is parallel to them.
	Zones []string

	// Kinds are the names of the kinds of endpoints, as discovery gives them; required. FamilyInfo.MasterKind and
	// FamilyInfo.SecondTierKind say which are the origin and the parents; all others are edge caches.
	Kinds []string

	// Classes are the traffic classes; at least one is required.
	Classes []Class

	// Tenants are refused: requests on sockets name none.
	Tenants []Tenant

	// OverShareWorth is unused.
	OverShareWorth float64

	// Callers says what clients do; unused.
	Callers struct {
		MarksRetry bool
	}

	// Discovery is "push" where the endpoint list comes unasked, and "ask" where the policy has to subscribe. Only
	// the simulator heeds it: on sockets the router always polls.
	Discovery string

	Contract   Contract
	Limits     Limits
	FamilyInfo FamilyInfo

	// LoadReport says which fields endpoints report, and how; unused.
	LoadReport struct {
		Fields []string
		How    string
	}

	// WeightKind is "live" where the weights of the endpoint list follow the load and so may differ from router
	// to router; all routers then send an object to the same cache by its id alone. Any other value: weights are
	// sizes, and large caches get more objects.
	WeightKind string

	// RoundMs is unused.
	RoundMs float64
}

// Tenant is one of those who share the site; refused on sockets.
type Tenant struct {
	Name      string
	QuotaPerS float64 // requests a second
	Portion   float64
}

// Contract is what the site's endpoints and clients are promised, and what they promise.
type Contract struct {
	// AnswerSlackMs is how long after its deadline a request that has no response yet is failed. With a short time
	// a response under way may come too late; a long one makes clients wait for an answer that counts no more.
	AnswerSlackMs float64

	// AskEveryMs is unused.
	AskEveryMs float64

	// ColdFrom is the part of its capacity, from 0 to 1, that an edge cache has when it starts. It grows evenly
	// to 1 within ColdMs. With a low value caches warm up on few requests and others carry their load for longer.
	ColdFrom float64

	// ColdMs is the duration of an edge cache's slow start; 0: there is none.
	ColdMs float64

	// DrainGraceMs is how long after discovery told that an endpoint drains attempts may still reach it. It also
	// bounds how long an attempt may wait for a connection, and how old its decision may be when it is written: a
	// short grace fails attempts on slow connections. 0 bounds neither.
	DrainGraceMs float64

	// FallMs is the window in which the work sent to an endpoint in slow start is summed. A router whose earlier
	// process may have sent such work sends none for as long.
	FallMs float64

	// FallMultiple is the multiple of its present capacity that an edge cache in slow start bears within FallMs
	// before it fails. A router uses a part of it, so that routers that learn late of a start fit in.
	FallMultiple float64
}

// Limits say what a router may do.
type Limits struct {
	// Cancel permits a router to withdraw attempts. It spares endpoints work that nobody waits for.
	Cancel bool

	// PeerMessages permits routers to send messages to each other; without it a file with members is refused.
	PeerMessages bool

	// Probes permits health checks. Without them an ejected endpoint is tried with requests of clients.
	Probes bool

	// RetryAfter permits to tell rejected clients how long to wait.
	RetryAfter bool

	// SecondCopies permits hedging: a second attempt of an idempotent request while the first is in flight. It
	// shortens the slowest responses at the cost of more load on endpoints.
	SecondCopies bool

	// MostTries bounds the attempts of a request; 0 counts as 1. Reads stop sooner, where more would only feed an
	// overload.
	MostTries int

	// MaxOpen bounds the open requests of a router; further ones are rejected. 0: any number.
	MaxOpen int

	// StreamsPerConn bounds the attempts at the same time on one connection to an endpoint; 0 counts as 1. A low
	// number takes more connections; with a high one a broken connection fails more attempts.
	StreamsPerConn int

	// MaxRetryAfterMs is the time that rejected clients are told to wait, always in full. A long one takes load off sooner, and
	// leaves capacity unused once the overload is over.
	MaxRetryAfterMs float64

	// ConnectTimeoutMs is how long a connection to an endpoint, or a health check, may take; 0: 400 ms. A short
	// time finds a dead endpoint sooner and takes a busy one for dead. Three quarters of DrainGraceMs and of
	// PurgeGraceMs bound it, too.
	ConnectTimeoutMs float64

	// ConnIdleMs is the time after which endpoints close an idle connection; 0: 15 s. The router closes it at
	// four fifths, so that no attempt crosses the end.
	ConnIdleMs float64
}

// FamilyInfo describes the hierarchy of caches, and what its classes of objects are like. Lists for each class are
// parallel to Setup.Classes; an element that is missing counts as zero.
type FamilyInfo struct {
	// BypassAllowed permits to send requests past the edge caches to parents and the origin: it saves requests
	// while caches fail, and puts their load on the origin.
	BypassAllowed bool

	// Collapses tells that a cache lets attempts wait for a fill of the same object that is under way.
	Collapses bool

	// ClassGraceMs is, of each class, by how much a copy may be older than GoodForMs where only a stale one can
	// be had. A long grace serves more requests while the origin fails, with older content.
	ClassGraceMs []float64

	// GoodForMs is, of each class, how long a copy is fresh; 0: copies do not age, only purges end them, and a
	// disk cache does not keep them. A long time spares the origin and shows changes later.
	GoodForMs []float64

	// WorthWhenOld is, of each class, the part of Class.Value from 0 to 1 that a stale response is worth. Only
	// the simulator's score uses it.
	WorthWhenOld []float64

	// GoesThrough tells of each class whether its requests are writes, which go through to the origin.
	GoesThrough []bool

	// MultiPart is unused.
	MultiPart []bool

	// ClearedWithinMs is the time within which a purge has reached all caches. Until then the router asks for
	// copies that are younger than the purge; too short a time serves purged copies, a long one costs fills.
	ClearedWithinMs float64

	// PurgeGraceMs is how long after discovery told a purge older copies may still be sent. It bounds connecting
	// and the age of decisions as Contract.DrainGraceMs does; 0 bounds neither.
	PurgeGraceMs float64

	// FeedKbPerS is unused.
	FeedKbPerS []float64

	// FlowKbPerS is the rate at which one response is transferred. Transfer times follow from it, and with them
	// latency objectives and which requests wait behind others; 0: unknown, and sizes do not count.
	FlowKbPerS float64

	// LinkPrice is unused.
	LinkPrice float64

	// HubByZone is unused.
	HubByZone []int

	// ZoneBalancers is the number of routers of each of Setup.Zones, which divide what the zone's caches in slow
	// start can take. Where it has none for this router's zone Setup.Siblings is used, which is never too few.
	ZoneBalancers []int

	// MasterKind is the index in Setup.Kinds of the origin's kind.
	MasterKind int

	// SecondTierKind is the index in Setup.Kinds of the parents' kind; missing or -1: there are none.
	SecondTierKind *int

	// NotesGiven is "all" where every response of a cache that is an error gives a reason. An error without one
	// is then no sign of overload; with any other value it is.
	NotesGiven string

	// Sideways is unused.
	Sideways string

	// OriginFallMs and OriginFallMultiple are unused.
	OriginFallMs       float64
	OriginFallMultiple float64

	// ParentColdFrom, ParentRampMs and UpperFallMultiple are of parents what Contract.ColdFrom, ColdMs and
	// FallMultiple are of edge caches. All routers of the site share the budget of a parent.
	ParentColdFrom    float64
	ParentRampMs      float64
	UpperFallMultiple float64
}

// Class is one traffic class.
type Class struct {
	// Name is the class's name in requests; a plain word, required.
	Name string

	// Effect says what a second execution of a request would do; required. "safe": nothing; "keyed": nothing
	// where the endpoints know its idempotency key; "unsafe": all of it again, so that it is retried only where it
	// is proven that it was not executed.
	Effect string

	// Group names the endpoints that share what they know of idempotency keys: "all" (the default), those of a
	// "zone", or those of a "cell". A small group leaves fewer endpoints for a retry.
	Group string

	// DedupWindowMs is how long a group recognizes a key: a keyed request is not retried later.
	DedupWindowMs float64

	// TargetMs is the latency objective; above 0 and up to 60 s, required. A short one ends attempts and hedges
	// sooner.
	TargetMs float64

	// GiveUpMs is the time after which clients give up; above 0 and up to 60 s, required. The longest of all
	// classes bounds every request, and how long a shutdown takes.
	GiveUpMs float64

	// AimStretch is the multiple of a response's transfer time that is added to the latency objective.
	AimStretch float64

	// LateShare is the part of Value from 0 to 1 that a response after its objective is worth. It counts in the
	// scores by which upgrades are compared.
	LateShare float64

	// Value is the priority weight: what a response in time is worth. Where an endpoint's concurrency limit is
	// near, requests with little worth for their transfer time are held back first.
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

// noParents is the index of the parents' kind in a hierarchy without parents.
const noParents = -1

// elementOrZero returns an element of a list, or zero where the list is shorter.
func elementOrZero[T any](list []T, i int) (element T) {
	if i < len(list) {
		element = list[i]
	}
	return element
}

// PolicySettings returns the settings of package policy, in microseconds. A Group that is unknown counts as all. An
// Effect that is unknown would count as safe: package config refuses it before.
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

// class returns a traffic class; what FamilyInfo says of classes stands in lists parallel to them.
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
