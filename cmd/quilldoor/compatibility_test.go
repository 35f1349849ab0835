package main

import (
	"context"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"quilldoor/internal/emulator"
	"quilldoor/internal/handoff"
	"quilldoor/internal/membership"
)

// earlierCommit is the last one before supervisors: its routers have membership but no
// generations.
const earlierCommit = "4908419758da4242638886f5b5b86827d6656c20"

// Guards against an upgrade that the routers of the earlier program can't live beside:
// two of them, without a supervisor, and two of this program, supervised and upgraded,
// agree on the members. The earlier program can't be supervised and is refused.
func TestEarlierProgramBesideThis(t *testing.T) {
	t.Parallel()
	program := buildEarlier(t, earlierCommit, routerCommand)
	const text = `
settle_s: 1
length_s: 11
fleet: {offices: 2, routers: 2, trunks: 2, caches: 3, cores: 4,
  keep: true, trial_s: 0.5, members: true, board_ms: 200, death_ms: 500}
load: {txns_per_s: 80, objects: 600}
troubles:
  - {kind: purge, at: 3, share: 0.6}
  - {kind: cut_board, at: 4, for: 3, share: 0.5}
  - {kind: ways_camps, at: 6, for: 1}
`
	drive := func(_ context.Context, fleet *emulator.RunningRouters) error {
		time.Sleep(2 * time.Second)
		for _, router := range []int{0, 2} {
			if err := upgradeRepeatedly(fleet, router, 2); err != nil {
				return err
			}
			if err := expectEarlierProgramRefused(fleet, router, program); err != nil {
				return err
			}
		}
		// All agree once the partition is over.
		for i := range fleet.Count() {
			if err := checkAgreement(t, fleet, i); err != nil {
				return err
			}
		}
		return nil
	}
	result, err := playScenario(t, text, emulator.Options{},
		emulator.SocketOptions{Program: os.Args[0], Earlier: program, Drive: drive})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range result.Violations {
		t.Error(violation)
	}
	agreedAfter := result.Members.AgreedAfter
	t.Logf("%d judged, agreed after %d ms", result.Judged, agreedAfter/1000)
	if agreedAfter < 0 || agreedAfter > 4e6 {
		t.Errorf("views agreed after %d us", agreedAfter)
	}
}

// expectEarlierProgramRefused asks a supervised router for an upgrade to the earlier program.
func expectEarlierProgramRefused(fleet *emulator.RunningRouters, router int, program string) error {
	reply, err := fleet.CallSupervisor(router, &handoff.Message{Kind: handoff.KindApply, Program: program})
	if err != nil {
		return fmt.Errorf("router %d, to the earlier program: %w", router, err)
	}
	if reply.OK || !strings.Contains(reply.Note, "json") {
		return fmt.Errorf("router %d, to the earlier program: %+v", router, reply)
	}
	return nil
}

// checkAgreement waits for a router to see all members alive, and checks that it tells
// its generation if it is a supervised one.
func checkAgreement(t *testing.T, fleet *emulator.RunningRouters, router int) error {
	notAlive := func(member membership.MemberStatus) bool { return member.State != membership.StateAlive }
	var view *membership.View
	diverged := true
	for end := time.Now().Add(10 * time.Second); diverged && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		var err error
		if view, err = fleet.View(router); err != nil {
			return err
		}
		diverged = len(view.Members) < fleet.Count()-1 || slices.ContainsFunc(view.Members, notAlive)
	}
	for _, member := range view.Members {
		if notAlive(member) {
			t.Errorf("router %d sees %s %v", router, member.Name, member.State)
		}
	}
	supervised := router%2 == 0
	if supervised != (view.Self.Process != nil && view.Self.Process.Generation == 3) {
		t.Errorf("router %d says it runs %+v", router, view.Self.Process)
	}
	return nil
}
