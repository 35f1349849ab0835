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
	Classes        []struct {
		Name, Effect, Group             string
		DedupWindowMs, TargetMs         float64
		GiveUpMs, AimStretch, LateShare float64
		Value                           float64
		Streamed                        bool
	}
	Tenants []struct {
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

func at[T any](list []T, i int) (v T) {
	if i < len(list) {
		v = list[i]
	}
	return v
}

// Logic turns the object into what the module is handed.
func (s *Setup) Logic() policy.Settings {
	f, c, l := &s.FamilyInfo, &s.Contract, &s.Limits
	out := policy.Settings{
		Rank: s.Rank, Siblings: s.Siblings, Zone: s.Zone, Zones: s.Zones, Kinds: s.Kinds,
		OverShareWorth: s.OverShareWorth, MarksRetry: s.Callers.MarksRetry, Discovery: s.Discovery,
		WeightKind: s.WeightKind, Round: Micros(s.RoundMs),
		Contract: policy.Contract{
			AnswerSlack: Micros(c.AnswerSlackMs), AskEvery: Micros(c.AskEveryMs), ColdFor: Micros(c.ColdMs),
			DrainGrace: Micros(c.DrainGraceMs), FallFor: Micros(c.FallMs),
			ColdFrom: c.ColdFrom, FallMultiple: c.FallMultiple,
		},
		Limits: policy.Limits{
			Cancel: l.Cancel, Peers: l.PeerMessages, Probes: l.Probes, RetryAfter: l.RetryAfter,
			SecondCopies: l.SecondCopies, MaxHops: l.MostTries, MaxOpen: l.MaxOpen,
			StreamsPerConn: l.StreamsPerConn, MaxRetryAfter: Micros(l.MaxRetryAfterMs),
			ConnectTimeout: Micros(l.ConnectTimeoutMs),
		},
		Family: policy.Family{
			Direct: f.BypassAllowed, Joins: f.Collapses, OriginKind: f.MasterKind, ParentKind: -1,
			FlowKBPerS: f.FlowKbPerS, LinkPrice: f.LinkPrice, ParentColdFrom: f.ParentColdFrom,
			ParentColdFor: Micros(f.ParentRampMs), ParentFallMultiple: f.UpperFallMultiple,
			PurgeDone: Micros(f.ClearedWithinMs), PurgeGrace: Micros(f.PurgeGraceMs),
			Siblings: f.Sideways, Tells: f.NotesGiven, ZoneBalancers: f.ZoneBalancers,
			HubByZone: f.HubByZone, LinkKBPerS: f.FeedKbPerS,
			OriginFallMultiple: f.OriginFallMultiple, OriginFallFor: Micros(f.OriginFallMs),
		},
		Report: policy.Report{How: s.LoadReport.How, Fields: s.LoadReport.Fields},
	}
	if f.SecondTierKind != nil {
		out.Family.ParentKind = *f.SecondTierKind
	}
	for i, k := range s.Classes {
		out.Rules = append(out.Rules, policy.RemapRule{
			Name: k.Name, Effect: k.Effect, Group: k.Group, Window: Micros(k.DedupWindowMs),
			SLA: Micros(k.TargetMs), Stretch: k.AimStretch, TimeLimit: Micros(k.GiveUpMs),
			Importance: k.Value, LateShare: k.LateShare, Streamed: k.Streamed,
			Fresh: Micros(at(f.GoodForMs, i)), Grace: Micros(at(f.ClassGraceMs, i)),
			StaleShare: at(f.WorthWhenOld, i), Write: at(f.GoesThrough, i), Parts: at(f.MultiPart, i),
		})
	}
	for _, t := range s.Tenants {
		out.Tenants = append(out.Tenants, policy.Tenant(t))
	}
	return out
}
