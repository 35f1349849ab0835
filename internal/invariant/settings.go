package invariant

import (
	"slices"

	"quilldoor/internal/policy"
)

// Settings are the limits of the rules.
type Settings struct {
	DrainGraceMicros int64                      // how long attempts to a draining endpoint remain allowed
	PurgeGraceMicros int64                      // how long older copies remain allowed after a purge
	WindowMicros     int64                      // time over which work is summed for slow-start budgets
	SlowStart        map[string]SlowStartBudget // by kind of endpoint; a kind without an entry has no slow start
}

// SlowStartBudget bounds the work that may be sent to an endpoint of a kind after its start.
type SlowStartBudget struct {
	From           float64 // capacity at the start, as a share of the full capacity, 0 to 1
	Multiple       float64 // work allowed within a window, as a multiple of the current capacity
	DurationMicros int64   // duration of the slow start
	Routers        float64 // number of routers that share the budget; less than 1 counts as 1
}

// SettingsFrom derives the limits from a router's settings.
func SettingsFrom(set *policy.Settings) Settings {
	contract, hierarchy := &set.Contract, &set.Hierarchy
	settings := Settings{
		DrainGraceMicros: contract.DrainGrace,
		PurgeGraceMicros: hierarchy.PurgeGrace,
		WindowMicros:     contract.OverloadWindow,
		SlowStart:        map[string]SlowStartBudget{},
	}
	for i, kind := range set.EndpointKinds {
		switch i {
		case hierarchy.OriginKind: // the origin has no slow start
		case hierarchy.ParentKind:
			settings.SlowStart[kind] = SlowStartBudget{
				From:           hierarchy.ParentSlowStartFrom,
				Multiple:       hierarchy.ParentOverloadMultiple,
				DurationMicros: hierarchy.ParentSlowStartFor,
				Routers:        float64(max(set.Routers, 1)),
			}
		default:
			settings.SlowStart[kind] = SlowStartBudget{
				From:           contract.SlowStartFrom,
				Multiple:       contract.OverloadMultiple,
				DurationMicros: contract.SlowStartFor,
				Routers:        float64(routersOfZone(set)),
			}
		}
	}
	return settings
}

// routersOfZone returns the number of routers that share the edge caches of this router's
// zone, or that of all routers if the settings hold none for the zone.
func routersOfZone(set *policy.Settings) int {
	byZone := set.Hierarchy.RoutersByZone
	if i := slices.Index(set.Zones, set.Zone); i >= 0 && i < len(byZone) && byZone[i] > 0 {
		return byZone[i]
	}
	return max(set.Routers, 1)
}

// allowance returns the work that one router may send within a window to an endpoint of
// that age and weight. Work, age and window are in microseconds.
func (b *SlowStartBudget) allowance(age int64, weight float64, window int64) float64 {
	capacity := b.From + (1-b.From)*float64(age)/float64(max(b.DurationMicros, 1))
	return b.Multiple * capacity * weight * float64(window) / max(b.Routers, 1)
}
