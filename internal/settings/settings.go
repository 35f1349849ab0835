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

// PolicySettings turns the object into what the module is handed.
func (s *Setup) PolicySettings() policy.Settings {
	f, c, l := &s.FamilyInfo, &s.Contract, &s.Limits
	out := policy.Settings{
		Rank: s.Rank, Routers: s.Siblings, Zone: s.Zone, Zones: s.Zones, EndpointKinds: s.Kinds,
		OverQuotaWeight: s.OverShareWorth, ClientsMarkRetries: s.Callers.MarksRetry, Discovery: s.Discovery,
		WeightKind: s.WeightKind, BatchInterval: Micros(s.RoundMs),
		Contract: policy.Contract{
			AnswerSlack: Micros(c.AnswerSlackMs), PollInterval: Micros(c.AskEveryMs), SlowStartFor: Micros(c.ColdMs),
			DrainGrace: Micros(c.DrainGraceMs), OverloadWindow: Micros(c.FallMs),
			SlowStartFrom: c.ColdFrom, OverloadMultiple: c.FallMultiple,
		},
		Limits: policy.Limits{
			Cancel: l.Cancel, PeerMessages: l.PeerMessages, HealthChecks: l.Probes, RetryAfter: l.RetryAfter,
			Hedging: l.SecondCopies, MaxAttempts: l.MostTries, MaxOpenRequests: l.MaxOpen,
			StreamsPerConn: l.StreamsPerConn, MaxRetryAfter: Micros(l.MaxRetryAfterMs),
			ConnectTimeout: Micros(l.ConnectTimeoutMs),
		},
		Hierarchy: policy.Hierarchy{
			CacheBypass: f.BypassAllowed, CoalescesFills: f.Collapses, OriginKind: f.MasterKind, ParentKind: -1,
			StreamKBPerS: f.FlowKbPerS, LinkPrice: f.LinkPrice, ParentSlowStartFrom: f.ParentColdFrom,
			ParentSlowStartFor: Micros(f.ParentRampMs), ParentOverloadMultiple: f.UpperFallMultiple,
			PurgeSettleTime: Micros(f.ClearedWithinMs), PurgeGrace: Micros(f.PurgeGraceMs),
			PeerFills: f.Sideways, ReasonsGiven: f.NotesGiven, RoutersByZone: f.ZoneBalancers,
			HubByZone: f.HubByZone, LinkKBPerS: f.FeedKbPerS,
			OriginOverloadMultiple: f.OriginFallMultiple, OriginOverloadWindow: Micros(f.OriginFallMs),
		},
		LoadReport: policy.LoadReport{How: s.LoadReport.How, Fields: s.LoadReport.Fields},
	}
	if f.SecondTierKind != nil {
		out.Hierarchy.ParentKind = *f.SecondTierKind
	}
	for i, k := range s.Classes {
		out.Classes = append(out.Classes, policy.TrafficClass{
			Name: k.Name, Effect: effects[k.Effect], DedupGroup: dedupGroups[k.Group], DedupWindow: Micros(k.DedupWindowMs),
			LatencyObjective: Micros(k.TargetMs), ObjectiveStretch: k.AimStretch, Timeout: Micros(k.GiveUpMs),
			PriorityWeight: k.Value, LateValueShare: k.LateShare, Streamed: k.Streamed,
			FreshFor: Micros(at(f.GoodForMs, i)), StaleGrace: Micros(at(f.ClassGraceMs, i)),
			StaleValueShare: at(f.WorthWhenOld, i), Write: at(f.GoesThrough, i), Parts: at(f.MultiPart, i),
		})
	}
	for _, t := range s.Tenants {
		out.Tenants = append(out.Tenants, policy.Tenant{Name: t.Name, QuotaPerS: t.QuotaPerS, Share: t.Portion})
	}
	return out
}
