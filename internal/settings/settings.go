// Package settings has the settings object that a router starts with, as the simulator's wire and the router's
// configuration both give it, and turns it into the settings of package policy. Package config also reads it: it checks
// the values, and takes from it what bounds connections and times of the sockets (config.Limits).
package settings

import (
	"math"

	"quilldoor/internal/policy"
)

// Micros turns milliseconds into whole microseconds, rounded to the nearest one.
func Micros(ms float64) int64 { return int64(math.Round(ms * 1000)) }

// Setup is the settings object. Its fields have the names of the object's keys; names that end in Ms are
// milliseconds. Fields marked unused are accepted for sites that give them, and decide nothing.
type Setup struct {
	Rank           int      // index of this router; unused
	Siblings       int      // how many routers there are in all zones; 0 counts as 1
	Zone           string   // of this router
	Zones, Kinds   []string // of the site: zones, kinds of endpoints
	Classes        []Class
	Tenants        []Tenant // refused: requests on sockets name none
	OverShareWorth float64  // unused
	Callers        struct {
		MarksRetry bool // unused
	}
	Discovery  string // push or ask
	Contract   Contract
	Limits     Limits
	FamilyInfo FamilyInfo
	LoadReport struct { // unused
		Fields []string
		How    string
	}
	WeightKind string  // what an endpoint's weight counts; "live": its capacity at the moment, else its size
	RoundMs    float64 // unused
}

// Tenant is one of those who share the site.
type Tenant struct {
	Name      string
	QuotaPerS float64 // requests per second
	Portion   float64 // of the site
}

// Contract is what the site's endpoints and clients are promised, and promise.
type Contract struct {
	AnswerSlackMs float64 // how long after its timeout a request is answered at the latest
	AskEveryMs    float64 // unused
	ColdFrom      float64 // slow start of caches: the part of their capacity at the start, 0 to 1 ...
	ColdMs        float64 // ... and the duration; 0: none
	DrainGraceMs  float64 // after a drain was told, in which attempts may still begin
	FallMs        float64 // overload: the window ...
	FallMultiple  float64 // ... and the multiple of the capacity that a cache bears in it
}

// Limits say what a router may do.
type Limits struct {
	Cancel           bool    // attempts may be withdrawn
	PeerMessages     bool    // routers may talk to each other
	Probes           bool    // health checks are allowed
	RetryAfter       bool    // rejected clients may be sent a time to wait
	SecondCopies     bool    // hedged requests are allowed
	MostTries        int     // attempts of a request; missing or 0: one
	MaxOpen          int     // open requests; 0: any number
	StreamsPerConn   int     // attempts at once on a connection to an endpoint; 0: one
	MaxRetryAfterMs  float64 // the time that rejected clients are told to wait, always in full
	ConnectTimeoutMs float64 // for opening a connection to an endpoint; 0: 400
	ConnIdleMs       float64 // after which endpoints close idle connections; 0: 15,000
}

// FamilyInfo describes the hierarchy of caches, and what its classes of objects are like. Lists for each class are
// parallel to Classes.
type FamilyInfo struct {
	BypassAllowed      bool      // requests may go past the caches
	Collapses          bool      // caches coalesce fills
	ClassGraceMs       []float64 // of each class: by which a stale copy may be older
	GoodForMs          []float64 // of each class: freshness time
	WorthWhenOld       []float64 // of each class: the part of its value for a stale copy
	GoesThrough        []bool    // of each class: it is written through to the origin
	MultiPart          []bool    // unused
	ClearedWithinMs    float64   // within which a purge reaches all caches; older ones have no effect
	PurgeGraceMs       float64   // after a purge was told, in which older copies may be sent
	FeedKbPerS         []float64 // unused
	FlowKbPerS         float64   // transfer rate of one response, in KB per second; 0: unknown
	LinkPrice          float64   // unused
	HubByZone          []int     // unused
	ZoneBalancers      []int     // routers of each zone
	MasterKind         int       // index of the origin's kind
	SecondTierKind     *int      // index of the parents' kind; nil: there are none
	NotesGiven         string    // the responses that give a reason; "all": every one
	Sideways           string    // unused
	OriginFallMs       float64   // unused
	OriginFallMultiple float64   // unused
	ParentColdFrom     float64   // slow start of parents: the part of their capacity at the start ...
	ParentRampMs       float64   // ... and the duration
	UpperFallMultiple  float64   // overload of parents: the multiple of the capacity that one bears
}

// Class is one traffic class.
type Class struct {
	Name          string
	Effect        string  // safe (idempotent), keyed (with an idempotency key) or unsafe
	Group         string  // of endpoints that share idempotency keys: all, zone or cell
	DedupWindowMs float64 // in which repeats with one key are recognized
	TargetMs      float64 // latency objective
	GiveUpMs      float64 // after which clients give up
	AimStretch    float64 // multiple of the transfer time by which the latency objective grows
	LateShare     float64 // part of Value for a late response, 0 to 1
	Value         float64 // priority weight: of a response in time
	Streamed      bool    // refused: the protocol on sockets has no streams
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

// at returns an element of a list, or zero where the list is shorter.
func at[T any](list []T, i int) (v T) {
	if i < len(list) {
		v = list[i]
	}
	return v
}

// PolicySettings returns the settings of package policy, in microseconds. A Group that is unknown counts as all. An
// Effect that is unknown would count as safe: package config refuses it before.
func (s *Setup) PolicySettings() policy.Settings {
	out := policy.Settings{
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
		out.Classes = append(out.Classes, s.class(i))
	}
	return out
}

func (s *Setup) contract() policy.Contract {
	c := &s.Contract
	return policy.Contract{
		AnswerSlack:      Micros(c.AnswerSlackMs),
		DrainGrace:       Micros(c.DrainGraceMs),
		SlowStartFor:     Micros(c.ColdMs),
		SlowStartFrom:    c.ColdFrom,
		OverloadWindow:   Micros(c.FallMs),
		OverloadMultiple: c.FallMultiple,
	}
}

func (s *Setup) limits() policy.Limits {
	l := &s.Limits
	return policy.Limits{
		Cancel:          l.Cancel,
		HealthChecks:    l.Probes,
		RetryAfter:      l.RetryAfter,
		Hedging:         l.SecondCopies,
		MaxAttempts:     l.MostTries,
		MaxOpenRequests: l.MaxOpen,
		MaxRetryAfter:   Micros(l.MaxRetryAfterMs),
	}
}

func (s *Setup) hierarchy() policy.Hierarchy {
	f := &s.FamilyInfo
	h := policy.Hierarchy{
		CacheBypass:            f.BypassAllowed,
		CoalescesFills:         f.Collapses,
		OriginKind:             f.MasterKind,
		ParentKind:             -1,
		StreamKBPerS:           f.FlowKbPerS,
		ParentSlowStartFrom:    f.ParentColdFrom,
		ParentSlowStartFor:     Micros(f.ParentRampMs),
		ParentOverloadMultiple: f.UpperFallMultiple,
		PurgeSettleTime:        Micros(f.ClearedWithinMs),
		PurgeGrace:             Micros(f.PurgeGraceMs),
		ReasonsGiven:           policy.ReasonsGiven(f.NotesGiven),
		RoutersByZone:          f.ZoneBalancers,
	}
	if f.SecondTierKind != nil {
		h.ParentKind = *f.SecondTierKind
	}
	return h
}

// class returns a traffic class; what FamilyInfo says of classes stands in lists parallel to them.
func (s *Setup) class(i int) policy.TrafficClass {
	k, f := &s.Classes[i], &s.FamilyInfo
	return policy.TrafficClass{
		Name:             k.Name,
		Effect:           effects[k.Effect],
		DedupGroup:       dedupGroups[k.Group],
		DedupWindow:      Micros(k.DedupWindowMs),
		LatencyObjective: Micros(k.TargetMs),
		ObjectiveStretch: k.AimStretch,
		Timeout:          Micros(k.GiveUpMs),
		PriorityWeight:   k.Value,
		LateValueShare:   k.LateShare,
		FreshFor:         Micros(at(f.GoodForMs, i)),
		StaleGrace:       Micros(at(f.ClassGraceMs, i)),
		StaleValueShare:  at(f.WorthWhenOld, i),
		Write:            at(f.GoesThrough, i),
	}
}
