package main

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"quilldoor/internal/emulator"
	"quilldoor/internal/handoff"
	"quilldoor/internal/membership"
)

// upgradeRepeatedly upgrades a router to its own program several times in a row.
func upgradeRepeatedly(fleet *emulator.RunningRouters, router, upgrades int) error {
	for i := range upgrades {
		reply, err := fleet.CallSupervisor(router, &handoff.Message{Kind: handoff.KindApply})
		if err != nil {
			return fmt.Errorf("router %d, upgrade %d: %w", router, i, err)
		}
		if !reply.OK {
			return fmt.Errorf("router %d, upgrade %d: %+v", router, i, reply)
		}
	}
	return nil
}

// Guards against connections that are refused or broken off, and requests that end
// twice or never, while generations follow each other under load.
func TestUpgradesInARow(t *testing.T) {
	t.Parallel()
	const upgrades = 15
	text := supervisedFleet + "load: {txns_per_s: 200, objects: 800}\nlength_s: 14\ntroubles:\n" +
		"  - {kind: deploy, at: 3, for: 1, every: 1, strength: 1}\n" +
		"  - {kind: purge, at: 5, share: 1}\n" +
		"  - {kind: cut_board, at: 7, for: 2}\n" +
		"  - {kind: die, at: 9, for: 1.5, share: 0.25}\n"
	result := playUpgrades(t, text, func(fleet *emulator.RunningRouters) error {
		if err := upgradeRepeatedly(fleet, 0, upgrades); err != nil {
			return err
		}
		status, err := fleet.WaitStatus(0, 5*time.Second, func(status *handoff.Status) bool {
			return status.Serving != nil && status.Serving.AgentState == "serving"
		})
		if err != nil {
			return err
		}
		if status.Settled.Generation != upgrades+1 || status.Restarts != 0 {
			return fmt.Errorf("status %+v", status)
		}
		t.Logf("at most %d MB and %d descriptors in all processes", status.PeakMB, status.PeakDescriptors)
		return nil
	})
	if result.RefusedConnections > 0 || result.BrokenConnections > 0 {
		t.Errorf("%d connections refused, %d broken off", result.RefusedConnections, result.BrokenConnections)
	}
}

// Guards against an upgrade that loses or shares resources that only one process of a router may
// own: its membership, its gateway, its disk cache and its metrics file. Four routers of two
// sites are upgraded three times, all at once, during a purge and a cut between the sites.
func TestUpgradeHandsEverythingOver(t *testing.T) {
	t.Parallel()
	result := playUpgrades(t, `
settle_s: 1
length_s: 13
fleet: {offices: 2, routers: 2, trunks: 2, caches: 3, cores: 4, link_share: 0.3, board_ms: 200,
  keep: true, trial_s: 1, members: true, sites: 2, site_ms: 5, disk_mb: 32}
load: {txns_per_s: 80, objects: 600, weights: [2, 0.5]}
troubles:
  - {kind: purge, at: 5, share: 0.6}
  - {kind: site_cut, at: 6, for: 0.7}
  - {kind: cut_board, at: 4, for: 2, share: 0.5}
`, func(fleet *emulator.RunningRouters) error {
		time.Sleep(2 * time.Second) // the routers join each other
		before, err := membershipViews(fleet)
		if err != nil {
			return err
		}
		var upgrades errgroup.Group
		for i := range fleet.Count() {
			upgrades.Go(func() error { return upgradeRepeatedly(fleet, i, 3) })
		}
		if err := upgrades.Wait(); err != nil {
			return err
		}
		time.Sleep(time.Second)
		after, err := membershipViews(fleet)
		if err != nil {
			return err
		}
		for i := range after {
			checkUpgradedView(t, i, before[i], after[i])
			if err := checkUpgradedLog(t, fleet, i); err != nil {
				return err
			}
		}
		return nil
	})
	if result.RefusedConnections > 0 || result.BrokenConnections > 0 {
		t.Errorf("%d connections refused, %d broken off", result.RefusedConnections, result.BrokenConnections)
	}
	if result.Members.CalledDead > 0 {
		t.Errorf("declared dead: %v", result.Members.DeadByAll)
	}
}

// membershipViews returns each router's view of the members.
func membershipViews(fleet *emulator.RunningRouters) ([]*membership.View, error) {
	views := make([]*membership.View, fleet.Count())
	for i := range views {
		var err error
		if views[i], err = fleet.View(i); err != nil {
			return nil, err
		}
	}
	return views, nil
}

// checkUpgradedView checks that a router kept its identity over the upgrades and sees
// all members alive, upgraded and with its own settings.
func checkUpgradedView(t *testing.T, router int, before, after *membership.View) {
	t.Helper()
	self := after.Self
	if self.ID != before.Self.ID || self.Process == nil || self.Process.Generation != 4 {
		t.Errorf("router %d was %v and is %v, %+v", router, before.Self.ID, self.ID, self.Process)
	}
	for _, member := range after.Members {
		if member.State != membership.StateAlive || member.Process == nil ||
			member.Process.Generation != 4 || member.Process.Settings != self.Process.Settings {
			t.Errorf("router %d sees %s %v, %+v", router, member.Name, member.State, member.Process)
		}
	}
}

// checkUpgradedLog checks that a router's log reports no lost resource, and that each of its
// generations opened the disk cache once.
func checkUpgradedLog(t *testing.T, fleet *emulator.RunningRouters, router int) error {
	t.Helper()
	text, err := os.ReadFile(fleet.LogPath(router))
	if err != nil {
		return err
	}
	for _, unwanted := range []string{
		"disk cache off", "member dead", "member left", "this one keeps quiet", "level=error",
	} {
		if strings.Contains(string(text), unwanted) {
			t.Errorf("the log of router %d contains %q", router, unwanted)
		}
	}
	if got := strings.Count(string(text), "disk cache recovered"); got != 4 {
		t.Errorf("router %d: its disk cache was opened %d times", router, got)
	}
	return nil
}
