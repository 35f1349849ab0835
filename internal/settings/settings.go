// Package settings reads the nested settings object that an instance starts
// with, for the simulator's wire and for the router's configuration alike.
package settings

import (
	"math"

	"quilldoor/internal/policy"
)

// Micros turns milliseconds into whole microseconds.
func Micros(ms float64) int64 { return int64(math.Round(ms * 1000)) }

// Setup is the settings object as the simulator and the configuration word it;
// both sides read it here.
type Setup struct {
	Rank, Siblings int
	Zone           string
	Zones, Kinds   []string
	Classes        []Class
	Tenants        []struct {
		Name               string
		QuotaPerS, Portion float64
	}
	OverShareWorth float64
	Callers        struct{ MarksRetry bool }
	Discovery      string
	Contract       struct {
		AnswerSlackMs, AskEveryMs, ColdFrom, ColdMs float64
		DrainGraceMs, FallMs, FallMultiple          float64
	}
	Limits struct {
		Cancel, PeerMessages, Probes, RetryAfter, SecondCopies bool
		MostTries, MaxOpen, StreamsPerConn                     int
		MaxRetryAfterMs, ConnectTimeoutMs, ConnIdleMs          float64
	}
	FamilyInfo struct {
		BypassAllowed, Collapses              bool
		ClassGraceMs, GoodForMs, WorthWhenOld []float64
		GoesThrough, MultiPart                []bool
		ClearedWithinMs, PurgeGraceMs         float64
		FeedKbPerS                            []float64
		FlowKbPerS, LinkPrice                 float64
		HubByZone, ZoneBalancers              []int
		MasterKind                            int
		SecondTierKind                        *int
		NotesGiven, Sideways                  string
		OriginFallMs, OriginFallMultiple      float64
		ParentColdFrom, ParentRampMs          float64
		UpperFallMultiple                     float64
	}
	LoadReport struct {
		Fields []string
		How    string
	}
	WeightKind string
	RoundMs    float64
}

// Class is one traffic class.
type Class struct {
	Name, Effect, Group             string
	DedupWindowMs, TargetMs         float64
	GiveUpMs, AimStretch, LateShare float64
	Value                           float64
	Streamed                        bool
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

func at[T any](list []T, i int) (v T) {
	if i < len(list) {
		v = list[i]
	}
	return v
}

// PolicySettings gives what the decisions use of the settings object.
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

// class gives a traffic class; what FamilyInfo says of classes stands in lists parallel to them.
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
