package emulator

import (
	"context"
	"testing"

	"quilldoor/scenarios"
)

// Routers that lose the connection to their discovery service must violate no rule if they exchange
// endpoint state by gossip. The same runs without membership must violate some, or the scenario
// would test nothing.
func TestGossipKeepsTheRulesWhileDiscoveryIsCut(t *testing.T) {
	violatedAlone := 0
	for seed := range uint64(4) {
		for _, membership := range []bool{false, true} {
			s, err := scenarios.Load("board-cut-third")
			if err != nil {
				t.Fatal(err)
			}
			s.Fleet.Membership = membership
			result, err := RunVirtual(context.Background(), s, Options{Seed: seed + 1})
			if err != nil {
				t.Fatal(err)
			}
			violations := result.CountByRule[3] + result.CountByRule[4] + result.Unsent
			if !membership {
				violatedAlone += violations
				continue
			}
			if result.Unsent > 0 {
				t.Errorf("seed %d: %d attempts to endpoints of whose end gossip had told", seed+1, result.Unsent)
			}
			for _, violation := range result.Violations {
				t.Errorf("seed %d: %v", seed+1, violation)
			}
			if result.Collapsed > 0 || result.Members.AgreedAfter < 0 || len(result.Members.DeadByAll) > 0 {
				t.Errorf("seed %d: %d collapsed, agreed after %d, declared dead %v",
					seed+1, result.Collapsed, result.Members.AgreedAfter, result.Members.DeadByAll)
			}
		}
	}
	if violatedAlone == 0 {
		t.Error("routers without membership violate no rule: the scenario doesn't test gossip")
	}
	t.Logf("without membership: %d violations", violatedAlone)
}
