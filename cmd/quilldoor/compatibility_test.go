package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"quilldoor/internal/emulator"
	"quilldoor/internal/handoff"
	"quilldoor/internal/membership"
)

// earlierCommit is the landing before keepers: its routers know each other, and know
// nothing of generations.
const earlierCommit = "4908419758da4242638886f5b5b86827d6656c20"

// earlierProgram builds it, where the repository's history is at hand.
func earlierProgram(t *testing.T) string {
	t.Helper()
	top, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		t.Skip("not decided: no history at hand")
	}
	root := strings.TrimSpace(string(top))
	if exec.Command("git", "-C", root, "cat-file", "-e", earlierCommit+"^{commit}").Run() != nil {
		t.Skip("not decided: the history does not reach back to", earlierCommit)
	}
	dir := t.TempDir()
	text := filepath.Join(dir, "text.tar")
	for _, c := range [][]string{
		{"git", "-C", root, "archive", "-o", text, earlierCommit},
		{"tar", "-xf", text, "-C", dir},
		{"go", "build", "-C", dir, "-buildvcs=false", "-o", filepath.Join(dir, "quilldoor"), "./cmd/quilldoor"},
	} {
		if out, err := exec.Command(c[0], c[1:]...).CombinedOutput(); err != nil {
			t.Fatalf("%v: %v, %s", c, err, out)
		}
	}
	return filepath.Join(dir, "quilldoor")
}

// Two routers of the landing before and two of this text, kept, know each other, while
// those of this text are changed and one of the others dies. The earlier program can't
// be kept, and is refused with a reason.
func TestEarlierProgramBesideThis(t *testing.T) {
	t.Parallel()
	program := earlierProgram(t)
	const text = `
settle_s: 1
length_s: 11
fleet: {offices: 2, routers: 2, trunks: 2, caches: 3, cores: 4, keep: true, trial_s: 0.5, members: true, board_ms: 200, death_ms: 500}
load: {txns_per_s: 80, objects: 600}
troubles:
  - {kind: purge, at: 3, share: 0.6}
  - {kind: cut_board, at: 4, for: 3, share: 0.5}
  - {kind: ways_camps, at: 6, for: 1}
`
	drive := func(_ context.Context, fleet *emulator.Kept) error {
		time.Sleep(2 * time.Second)
		for _, i := range []int{0, 2} {
			for range 2 {
				if reply, err := fleet.Ask(i, &handoff.Message{Kind: handoff.KindApply}); err != nil {
					return fmt.Errorf("router %d: %w", i, err)
				} else if !reply.OK {
					return fmt.Errorf("router %d: %+v", i, reply)
				}
			}
			if reply, err := fleet.Ask(i, &handoff.Message{Kind: handoff.KindApply, Program: program}); err != nil {
				return fmt.Errorf("router %d, to the earlier text: %w", i, err)
			} else if reply.OK || !strings.Contains(reply.Note, "json") {
				return fmt.Errorf("router %d, to the earlier text: %+v", i, reply)
			}
		}
		// All agree once the camps are over.
		for i := range fleet.Count() {
			var view *membership.View
			var err error
			for end, diverged := time.Now().Add(10*time.Second), true; diverged && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				if view, err = fleet.View(i); err != nil {
					return err
				}
				diverged = len(view.Members) < fleet.Count()-1 || slices.ContainsFunc(view.Members, func(member membership.MemberStatus) bool { return member.State != membership.StateAlive })
			}
			for _, member := range view.Members {
				if member.State != membership.StateAlive {
					t.Errorf("router %d holds %s %v", i, member.Name, member.State)
				}
			}
			if supervised := i%2 == 0; supervised != (view.Self.Process != nil && view.Self.Process.Generation == 3) {
				t.Errorf("router %d says it runs %+v", i, view.Self.Process)
			}
		}
		return nil
	}
	result, err := playScenario(t, text, emulator.Options{}, emulator.Routers{Program: os.Args[0], Earlier: program, Drive: drive})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range result.Breaks {
		t.Error(b)
	}
	if t.Logf("%d judged, agreed after %d ms", result.Judged, result.Members.AgreedAfter/1000); result.Members.AgreedAfter < 0 || result.Members.AgreedAfter > 4e6 {
		t.Errorf("views agreed after %d us", result.Members.AgreedAfter)
	}
}
