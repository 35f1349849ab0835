package faultsearch

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"quilldoor/internal/scenario"
)

const (
	// warmUpS is the time, in seconds, before outcomes count and faults may begin.
	warmUpS = 6.0
	// quietEndS is the time, in seconds, at the end of a scenario in which no fault begins.
	quietEndS = 12.0
	// meanServiceS is the mean service time, in core seconds, of a request of the default mix.
	meanServiceS = 0.27
)

// Space bounds the scenarios that Draw returns.
type Space struct {
	Membership bool     // routers may discover each other by membership
	Sites      bool     // fleets may span two sites
	FaultKinds []string // empty: all kinds that apply to the drawn fleet
	MaxFaults  int
	LengthS    float64
	// Bounds of the load as a share of the capacity of the fleet's caches.
	MinLoadShare, MaxLoadShare float64
}

// DefaultSpace returns the space of small fleets with faults of all kinds.
func DefaultSpace() Space {
	return Space{
		Membership:   true,
		Sites:        true,
		MaxFaults:    6,
		LengthS:      32,
		MinLoadShare: 0.15,
		MaxLoadShare: 0.8,
	}
}

// Draw returns a random scenario within the space. The order of the random draws is part of its
// contract: a seed that a test or a report names must always draw the same scenario.
func Draw(random *rand.Rand, space Space) *scenario.Scenario {
	s := scenario.Default()
	s.Seed = 1 + random.Uint64N(1<<32)
	s.LengthS = space.LengthS
	s.WarmUpS = warmUpS
	drawFleet(random, &s.Fleet)
	drawLoad(random, &s, space)
	drawTopology(random, &s.Fleet, space)
	s.Faults = drawFaults(random, &s, space)
	return &s
}

// drawFleet draws the sizes, capacities and delays.
func drawFleet(random *rand.Rand, fleet *scenario.Fleet) {
	fleet.Trunks = 1 + random.IntN(3)
	fleet.Offices = 1 + random.IntN(4)
	fleet.Routers = 1 + random.IntN(3)
	fleet.Caches = 2 + random.IntN(4)
	fleet.Parents = choose(random, 1, 1, 2)
	fleet.Cores = 2 + random.IntN(5)
	fleet.LinkShare = logUniform(random, 0.2, 0.8)
	fleet.ParentLink = logUniform(random, 0.8, 1.8)
	fleet.SlowStartFrom = logUniform(random, 0.15, 0.5)
	fleet.SlowStartS = logUniform(random, 3, 15)
	fleet.OverloadMultiple = logUniform(random, 1.5, 4)
	fleet.ParentSlowStartFrom = logUniform(random, 0.06, 0.4)
	fleet.ParentSlowStartS = logUniform(random, 3, 20)
	fleet.DiscoveryDelayMS = logUniform(random, 100, 2500)
	fleet.CrashDetectionMS = logUniform(random, 300, 4000)
	fleet.CacheShare = logUniform(random, 0.1, 0.5)
	fleet.PreWarmed = random.IntN(4) > 0
	fleet.ParentCoalesces = random.IntN(2) == 0
	fleet.OrphanFills = random.IntN(2) == 0
	fleet.Hedging = random.IntN(2) == 0
	fleet.OriginRejectShare = logUniform(random, 0.5, 1)
}

// drawLoad draws the clients' retries and writes, and a request rate in proportion to the capacity
// of the drawn fleet.
func drawLoad(random *rand.Rand, s *scenario.Scenario, space Space) {
	fleet := &s.Fleet
	load := &s.Load
	load.Retries = random.IntN(4)
	load.RetryWaitMS = choose(random, 0, 150, 600.0)
	load.RetryAfterShare = choose(random, 0, 0.5, 1)
	load.WriteShare = choose(random, 0.034, 0.034, 0.2)
	loadShare := logUniform(random, space.MinLoadShare, space.MaxLoadShare)
	load.RequestsPerS = roundDigits(loadShare * float64(fleet.Offices*fleet.Caches*fleet.Cores) / meanServiceS)
}

// drawTopology draws whether the routers use membership and whether the fleet spans sites.
func drawTopology(random *rand.Rand, fleet *scenario.Fleet, space Space) {
	fleet.Membership = space.Membership && fleet.Offices*fleet.Routers > 1 && random.IntN(2) == 0
	if space.Sites && fleet.Offices > 1 && random.IntN(4) == 0 {
		fleet.Sites = 2
	}
}

// drawFaults returns at least one fault. Faults are in the order in which they begin.
func drawFaults(random *rand.Rand, s *scenario.Scenario, space Space) []scenario.Fault {
	kinds := applicableKinds(&s.Fleet, space.FaultKinds)
	var faults []scenario.Fault
	for range 1 + random.IntN(max(space.MaxFaults, 1)) {
		faults = append(faults, drawFault(random, s, choose(random, kinds...)))
	}
	slices.SortStableFunc(faults, func(a, b scenario.Fault) int { return int(math.Copysign(1, a.At-b.At)) })
	return faults
}

// applicableKinds returns the fault kinds that apply to the fleet, of the given ones or, if none is
// given, of all.
func applicableKinds(fleet *scenario.Fleet, kinds []string) []string {
	if len(kinds) == 0 {
		kinds = scenario.FaultNames()
	}
	return slices.DeleteFunc(slices.Clone(kinds), func(kind string) bool {
		needsMembership := strings.HasPrefix(kind, scenario.PeerKindPrefix)
		needsSites := kind == scenario.KindSiteCut
		return needsMembership && !fleet.Membership || needsSites && fleet.Sites < 2
	})
}

// drawFault returns a fault of the named kind with a random time, duration, scope and strength.
func drawFault(random *rand.Rand, s *scenario.Scenario, kindName string) scenario.Fault {
	kind := scenario.FaultKinds[kindName]
	fault := scenario.Fault{Kind: kindName}
	fault.At = roundDigits(warmUpS + random.Float64()*max(s.LengthS-warmUpS-quietEndS, 1))
	fault.For = logUniform(random, 0.2, 9)
	fault.Share = choose(random, 1, logUniform(random, 0.05, 1))
	switch kind.Scope {
	case scenario.ScopeAll:
		fault.Share = logUniform(random, 0.02, 1)
	case scenario.ScopeOffice, scenario.ScopeCaches, scenario.ScopeRouters:
		if random.IntN(2) == 0 {
			fault.Office = 1 + random.IntN(s.Fleet.Offices)
		}
	case scenario.ScopeTrunk:
		fault.Trunk = 1 + random.IntN(s.Fleet.Trunks)
	}
	switch kindName {
	case scenario.KindResponseCorrupt, scenario.KindResponseReset, scenario.KindOriginReset,
		scenario.KindResponseEndless, scenario.KindResponseError: // Share is the share of all responses
		fault.Share = logUniform(random, 0.005, 0.3)
	case scenario.KindPeerPartition:
		fault.Strength = choose(random, 2, 3.0)
	}
	if kind.Strength != 0 && fault.Strength == 0 {
		strength := kind.Strength * logUniform(random, 0.3, 3)
		fault.Strength = roundDigits(min(max(strength, kind.MinStrength), kind.MaxStrength))
	}
	if kind.Recurring {
		fault.Every = logUniform(random, 0.5, 4)
	}
	return fault
}

// logUniform draws a number from low to high whose logarithm is uniformly distributed, and rounds
// it by roundDigits.
func logUniform(random *rand.Rand, low, high float64) float64 {
	return roundDigits(low * math.Pow(high/low, random.Float64()))
}

// roundDigits rounds to three significant digits, so that a scenario's YAML stays short.
func roundDigits(value float64) float64 {
	if value == 0 {
		return 0
	}
	scale := math.Pow(10, 2-math.Floor(math.Log10(math.Abs(value))))
	return math.Round(value*scale) / scale
}

// choose draws one element of the list.
func choose[T any](random *rand.Rand, list ...T) T { return list[random.IntN(len(list))] }
