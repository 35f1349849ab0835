package invariant

import (
	"slices"

	"quilldoor/internal/policy"
)

// Settings are the limits of the rules.
type Settings struct {
	DrainGraceMicros int64                      // attempts to an endpoint that drains are allowed for so long
	PurgeGraceMicros int64                      // older copies are allowed for so long after a purge
	WindowMicros     int64                      // within which the work of slow-start budgets is summed
	SlowStart        map[string]SlowStartBudget // by kind of endpoint; a kind that is missing has no slow start
}

// SlowStartBudget is that of endpoints of a kind after their start.
type SlowStartBudget struct {
	From           float64 // capacity at the start, as a share of the full one, 0 to 1
	Multiple       float64 // of the capacity of the moment, that may be sent within a window
	DurationMicros int64   // of the slow start
	Routers        float64 // that share the budget; less than 1 counts as 1
}

// SettingsFrom takes the limits from a router's settings.
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
		case hierarchy.OriginKind: // it has no slow start
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

// routersOfZone counts the routers that share the edge caches of this router's zone; all
// of them where the settings do not tell.
func routersOfZone(set *policy.Settings) int {
	byZone := set.Hierarchy.RoutersByZone
	if i := slices.Index(set.Zones, set.Zone); i >= 0 && i < len(byZone) && byZone[i] > 0 {
		return byZone[i]
	}
	return max(set.Routers, 1)
}

// allowance returns the work that one router may send within a window to an endpoint of
// an age and weight, in microseconds.
func (b *SlowStartBudget) allowance(age int64, weight float64, window int64) float64 {
	capacity := b.From + (1-b.From)*float64(age)/float64(max(b.DurationMicros, 1))
	return b.Multiple * capacity * weight * float64(window) / max(b.Routers, 1)
}
