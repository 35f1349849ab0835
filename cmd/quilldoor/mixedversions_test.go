package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"quilldoor/internal/emulator"
	"quilldoor/internal/handoff"
	"quilldoor/internal/membership"
	"quilldoor/internal/policy"
)

// programPair is a program, and another one of another version.
type programPair struct {
	name         string
	first, other string // paths
}

// programPairs are both orders of this program and the earlier one.
func programPairs(t *testing.T) []programPair {
	t.Helper()
	earlier := earlierRouter(t)
	return []programPair{
		{name: "this one first", first: os.Args[0], other: earlier},
		{name: "earlier one first", first: earlier, other: os.Args[0]},
	}
}

// playWithPrograms plays a scenario and fails the test where a rule was violated.
func playWithPrograms(t *testing.T, text string, routers emulator.SocketOptions) *emulator.Result {
	t.Helper()
	result, err := playScenario(t, text, emulator.Options{}, routers)
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range result.Violations {
		t.Error(violation)
	}
	t.Logf("score %.4f, %d judged, %d excused, %d refused, %d broken off",
		result.EarnedShare(), result.Judged, result.Excused, result.RefusedConnections, result.BrokenConnections)
	const fewestRequests = 150
	if result.Judged < fewestRequests {
		t.Errorf("%d requests: too few to tell anything", result.Judged)
	}
	return result
}

// expectNoneLost fails the test where a connection was refused or broken off.
func expectNoneLost(t *testing.T, result *emulator.Result) {
	t.Helper()
	if result.RefusedConnections > 0 || result.BrokenConnections > 0 {
		t.Errorf("%d connections refused, %d broken off", result.RefusedConnections, result.BrokenConnections)
	}
}

// Guards against an upgrade to another version that is refused, falls back, or loses what
// the process before it knew: its membership, purges, gateway, disk cache and what it has
// learned. Two supervised routers of two sites are upgraded under load to the other
// program and back again; the supervisor is of each version in turn.
func TestUpgradeFromEarlierProgramAndBack(t *testing.T) {
	t.Parallel()
	const text = `
settle_s: 1
length_s: 12
fleet: {offices: 2, routers: 1, trunks: 2, caches: 3, cores: 4, link_share: 0.3, board_ms: 200,
  keep: true, trial_s: 1, members: true, sites: 2, site_ms: 5, disk_mb: 32}
load: {txns_per_s: 60, objects: 600, weights: [2, 0.5]}
troubles:
  - {kind: purge, at: 2.5, share: 0.6}
  - {kind: cut_board, at: 3, for: 2, share: 0.5}
  - {kind: purge, at: 4.5, share: 0.6}
`
	for _, programs := range programPairs(t) {
		t.Run(programs.name, func(t *testing.T) {
			t.Parallel()
			drive := func(_ context.Context, fleet *emulator.RunningRouters) error {
				return upgradeThereAndBack(t, fleet, programs)
			}
			result := playWithPrograms(t, text, emulator.SocketOptions{Program: programs.first, Drive: drive})
			expectNoneLost(t, result)
			if result.Members.CalledDead > 0 {
				t.Errorf("called dead: %v", result.Members.DeadByAll)
			}
		})
	}
}

// upgradeThereAndBack upgrades all routers at once to the other program and then to the
// first again, and checks what they kept.
func upgradeThereAndBack(t *testing.T, fleet *emulator.RunningRouters, programs programPair) error {
	const joinTime = 2 * time.Second // the routers join each other
	time.Sleep(joinTime)
	before, err := membershipViews(fleet)
	if err != nil {
		return err
	}
	for step, program := range []string{programs.other, programs.first} {
		generation := uint64(step + 2)
		if err := upgradeAllTo(fleet, program, generation); err != nil {
			return err
		}
		if err := waitForGeneration(fleet, before, generation); err != nil {
			return err
		}
	}
	for i := range fleet.Count() {
		if err := checkNothingRefused(t, fleet.LogPath(i)); err != nil {
			return err
		}
	}
	return nil
}

// upgradeAllTo upgrades all routers at once to a program and checks that it is settled.
func upgradeAllTo(fleet *emulator.RunningRouters, program string, generation uint64) error {
	var upgrades errgroup.Group
	for i := range fleet.Count() {
		upgrades.Go(func() error { return upgradeTo(fleet, i, program, generation) })
	}
	return upgrades.Wait()
}

// upgradeTo upgrades a router to a program and checks that it is settled.
func upgradeTo(fleet *emulator.RunningRouters, router int, program string, generation uint64) error {
	reply, err := fleet.CallSupervisor(router, &handoff.Message{Kind: handoff.KindApply, Program: program})
	if err != nil {
		return fmt.Errorf("router %d, to %s: %w", router, program, err)
	}
	if !reply.OK {
		return fmt.Errorf("router %d, to %s: %+v", router, program, reply)
	}
	status, err := fleet.Status(router)
	if err != nil {
		return fmt.Errorf("router %d, after the upgrade to %s: %w", router, program, err)
	}
	settled := status.Settled
	if settled == nil || settled.Program != program || settled.Generation != generation || status.Restarts != 0 {
		return fmt.Errorf("router %d, after the upgrade to %s: %+v", router, program, status)
	}
	return nil
}

// waitForGeneration waits until all routers see each other alive with a generation, and
// checks that each has kept the identity that it had before.
func waitForGeneration(fleet *emulator.RunningRouters, before []*membership.View, generation uint64) error {
	const timeout = 5 * time.Second
	var reason error
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		views, err := membershipViews(fleet)
		if err != nil {
			return err
		}
		for i, view := range views {
			if view.Self.ID != before[i].Self.ID {
				return fmt.Errorf("router %d was %v and is %v", i, before[i].Self.ID, view.Self.ID)
			}
		}
		if reason = expectGeneration(views, generation); reason == nil {
			return nil
		}
	}
	return reason
}

// expectGeneration checks that all routers run a generation and see all others alive with
// it.
func expectGeneration(views []*membership.View, generation uint64) error {
	for i, view := range views {
		if view.Self.Process == nil || uint64(view.Self.Process.Generation) != generation {
			return fmt.Errorf("router %d runs %+v, want generation %d", i, view.Self.Process, generation)
		}
		if len(view.Members) < len(views)-1 {
			return fmt.Errorf("router %d sees %d members", i, len(view.Members))
		}
		for _, member := range view.Members {
			if member.State != membership.StateAlive || member.Process == nil || uint64(member.Process.Generation) != generation {
				return fmt.Errorf("router %d sees %s %v, %+v", i, member.Name, member.State, member.Process)
			}
		}
	}
	return nil
}

// earlierSnapshotRefusal is what earlier programs log where they can't take a snapshot over.
const earlierSnapshotRefusal = "snapshot has another shape"

// checkNothingRefused checks that no process of a router logged an error, or that it did
// not take over what its predecessor has learned.
func checkNothingRefused(t *testing.T, log string) error {
	t.Helper()
	text, err := os.ReadFile(log)
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(text)) {
		for _, unwanted := range []string{"level=error", earlierSnapshotRefusal, policy.ErrSnapshot.Error()} {
			if strings.Contains(line, unwanted) {
				t.Errorf("logged: %s", line)
			}
		}
	}
	return nil
}
