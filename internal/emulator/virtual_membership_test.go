package emulator

import (
	"context"
	"testing"

	"quilldoor/scenarios"
)

// Routers whose discovery service is cut violate rules when they know no other routers, and
// none when they gossip. The runs are the same but for that.
func TestGossipKeepsTheRulesWhileDiscoveryIsCut(t *testing.T) {
	alone := 0
	for seed := range uint64(4) {
		for _, membership := range []bool{false, true} {
			s, err := scenarios.Load("board-cut-third")
			if err != nil {
				t.Fatal(err)
			}
			s.Fleet.Membership = membership
			r, err := RunVirtual(context.Background(), s, Options{Seed: seed + 1})
			if err != nil {
				t.Fatal(err)
			}
			broken := r.CountByRule[3] + r.CountByRule[4]
			if !membership {
				alone += broken
				continue
			}
			for _, b := range r.Violations {
				t.Errorf("seed %d: %v", seed+1, b)
			}
			if r.Collapsed > 0 || r.Members.AgreedAfter < 0 || len(r.Members.DeadByAll) > 0 {
				t.Errorf("seed %d: %d pushed over, agreed %d, called dead %v", seed+1, r.Collapsed, r.Members.AgreedAfter, r.Members.DeadByAll)
			}
		}
	}
	if alone == 0 {
		t.Error("no rule is broken by routers that know nobody: the rehearsal proves nothing")
	}
	t.Logf("alone: %d breaks", alone)
}
