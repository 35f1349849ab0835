package main

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"quilldoor/internal/emulator"
	"quilldoor/internal/handoff"
	"quilldoor/internal/membership"
)

// Changes in a row under load: no connection is refused or broken off, each txn has
// one end, no rule is broken, one generation serves in the end.
func TestUpgradesInARow(t *testing.T) {
	t.Parallel()
	const upgrades = 15
	result := playUpgrades(t, supervisedFleet+"load: {txns_per_s: 200, objects: 800}\nlength_s: 14\ntroubles:\n  - {kind: deploy, at: 3, for: 1, every: 1, strength: 1}\n  - {kind: purge, at: 5, share: 1}\n  - {kind: cut_board, at: 7, for: 2}\n  - {kind: die, at: 9, for: 1.5, share: 0.25}\n",
		func(fleet *emulator.Kept) error {
			for i := range upgrades {
				reply, err := fleet.Ask(0, &handoff.Message{Kind: handoff.KindApply})
				if err != nil {
					return fmt.Errorf("change %d: %w", i, err)
				}
				if !reply.OK {
					return fmt.Errorf("change %d: %+v", i, reply)
				}
			}
			status, err := fleet.Until(0, 5*time.Second, func(status *handoff.Status) bool {
				return status.Serving != nil && status.Serving.AgentState == "serving"
			})
			if err != nil {
				return err
			}
			if status.Settled.Generation != upgrades+1 || status.Restarts != 0 {
				return fmt.Errorf("status %+v", status)
			}
			t.Logf("%d MB and %d descriptors of all processes at the most", status.PeakMB, status.PeakDescriptors)
			return nil
		})
	if result.Refused > 0 || result.Broke > 0 {
		t.Errorf("%d connections refused, %d broken off", result.Refused, result.Broke)
	}
}

// Four routers of two sites with all that one process of a router owns: members, a
// gateway, a disk tier, a metrics file. Each is changed three times, all at once,
// while a purge comes and the sites are cut: the others hold each for one member that
// never went, the folder is nobody's twice, every txn has one end.
func TestUpgradeHandsEverythingOver(t *testing.T) {
	t.Parallel()
	result := playUpgrades(t, `
settle_s: 1
length_s: 13
fleet: {offices: 2, routers: 2, trunks: 2, caches: 3, cores: 4, keep: true, trial_s: 1, members: true, sites: 2, site_ms: 5, disk_mb: 32, board_ms: 200, link_share: 0.3}
load: {txns_per_s: 80, objects: 600, weights: [2, 0.5]}
troubles:
  - {kind: purge, at: 5, share: 0.6}
  - {kind: site_cut, at: 6, for: 0.7}
  - {kind: cut_board, at: 4, for: 2, share: 0.5}
`, func(fleet *emulator.Kept) error {
		time.Sleep(2 * time.Second) // they know each other
		before := make([]*membership.View, fleet.Count())
		for i := range before {
			var err error
			if before[i], err = fleet.View(i); err != nil {
				return err
			}
		}
		results := make(chan error, fleet.Count())
		for i := range fleet.Count() {
			go func() {
				for upgrade := range 3 {
					reply, err := fleet.Ask(i, &handoff.Message{Kind: handoff.KindApply})
					if err != nil {
						results <- fmt.Errorf("router %d, change %d: %w", i, upgrade, err)
						return
					}
					if !reply.OK {
						results <- fmt.Errorf("router %d, change %d: %+v", i, upgrade, reply)
						return
					}
				}
				results <- nil
			}()
		}
		for range fleet.Count() {
			if err := <-results; err != nil {
				return err
			}
		}
		time.Sleep(time.Second)
		for i := range before {
			view, err := fleet.View(i)
			if err != nil {
				return err
			}
			if view.Self.ID != before[i].Self.ID || view.Self.Process == nil || view.Self.Process.Generation != 4 {
				t.Errorf("router %d was life %v and is %v, %+v", i, before[i].Self.ID, view.Self.ID, view.Self.Process)
			}
			for _, s := range view.Members {
				if s.State != membership.StateAlive || s.Process == nil || s.Process.Generation != 4 || s.Process.Settings != view.Self.Process.Settings {
					t.Errorf("router %d holds %s %v, %+v", i, s.Name, s.State, s.Process)
				}
			}
			text, err := os.ReadFile(fleet.Log(i))
			if err != nil {
				return err
			}
			for _, bad := range []string{"disk cache off", "member dead", "member left", "this one keeps quiet", "level=error"} {
				if strings.Contains(string(text), bad) {
					t.Errorf("router %d has logged %q", i, bad)
				}
			}
			if got := strings.Count(string(text), "disk cache recovered"); got != 4 {
				t.Errorf("router %d: its folder was opened %d times", i, got)
			}
		}
		return nil
	})
	if result.Refused > 0 || result.Broke > 0 {
		t.Errorf("%d connections refused, %d broken off", result.Refused, result.Broke)
	}
	if result.Members.CalledDead > 0 {
		t.Errorf("called dead: %v", result.Members.DeadByAll)
	}
}
