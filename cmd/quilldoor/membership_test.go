package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"quilldoor/internal/emulator"
	"quilldoor/internal/scenario"
)

// Guards against live routers called dead by all others, and views that stay wrong after
// the last fault, while routers under load fail or are cut off.
func TestMembershipAmongProcesses(t *testing.T) {
	const fleet = `
settle_s: 1
fleet: {offices: 3, routers: 2, trunks: 2, caches: 2, cores: 3, members: true, board_ms: 200, death_ms: 500, cold_s: 2}
load: {txns_per_s: 90, objects: 800}
`
	for _, tc := range []struct {
		name, text string
		agreed     int64 // milliseconds after the last fault
		excused    bool
	}{
		// Half crash at once and restart without state, during a purge and a cache outage.
		{"half die", `
length_s: 11
troubles:
  - {kind: router_dies, at: 2.5, for: 4, share: 0.5}
  - {kind: purge, at: 3, share: 0.9}
  - {kind: die, at: 3, for: 2, share: 0.3}
`, 4000, false},
		// All restart together: there is no peer to get state from.
		{"all restart", `
length_s: 9
troubles: [{kind: router_dies, at: 3, for: 0.5}]
`, 4000, false},
		// Stopped for longer than the suspicion timeout, while the endpoints change.
		{"stopped", `
length_s: 17
troubles:
  - {kind: router_stops, at: 2, for: 10, share: 0.34}
  - {kind: purge, at: 4, share: 0.9}
  - {kind: deploy, at: 4, for: 1, every: 0.5, strength: 1, office: 2}
`, 4000, true},
		// Messages late, lost, doubled, reordered; routers short of CPU; one pause without a crash.
		{"poor ways", `
length_s: 12
troubles:
  - {kind: ways_loss, at: 1.5, for: 7, strength: 0.1}
  - {kind: ways_jitter, at: 1.5, for: 7, strength: 40}
  - {kind: ways_double, at: 1.5, for: 7, strength: 0.2}
  - {kind: ways_reorder, at: 1.5, for: 7, strength: 0.2}
  - {kind: router_starves, at: 2, for: 6, share: 0.17, strength: 0.5}
  - {kind: router_stops, at: 4, for: 0.5, share: 0.17}
`, 4000, false},
		// Partitions: one way, a chain, halves, three parts; each heals.
		{"cuts", `
length_s: 18
troubles:
  - {kind: ways_one_way, at: 1.5, for: 2, share: 0.17}
  - {kind: ways_chain, at: 4, for: 2}
  - {kind: ways_camps, at: 7, for: 3}
  - {kind: ways_camps, at: 11, for: 2, strength: 3}
  - {kind: cut_board, at: 7, for: 2, share: 0.34}
  - {kind: purge, at: 8, share: 0.5}
`, 5000, false},
		// A third has no discovery while caches drain, fail and warm up: gossip tells it.
		{"board cut", `
length_s: 16
troubles:
  - {kind: cut_board, at: 2, for: 13, share: 0.34}
  - {kind: deploy, at: 2.5, for: 1, every: 1, strength: 1, office: 1}
  - {kind: die, at: 3, for: 3, share: 0.5, office: 2}
  - {kind: preempt, at: 2.5, for: 14, share: 0.5, office: 3, strength: 12}
  - {kind: purge, at: 5, share: 0.5}
`, 4000, false},
		// Three partitions during a purge, a drain and the loss of a zone.
		{"camps", `
length_s: 14
troubles:
  - {kind: ways_camps, at: 2, for: 8, strength: 3}
  - {kind: office_lost, at: 3, for: 3, office: 1}
  - {kind: purge, at: 4, share: 0.9}
  - {kind: deploy, at: 6, for: 1, every: 0.5, strength: 1, office: 2}
  - {kind: ways_delay, at: 10, for: 2, share: 0.17, strength: 300}
`, 4000, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			result, err := playWithOwnProgram(t, fleet+tc.text, emulator.Options{})
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range result.Violations {
				t.Error(violation)
			}
			members := result.Members
			t.Logf("score %.3f, %d judged, %d excused; %d samples, agreed after %d ms",
				result.EarnedShare(), result.Judged, result.Excused, members.Comparisons, members.AgreedAfter/1000)
			if members.Comparisons < 10 || result.Judged < 400 {
				t.Errorf("%d samples, %d requests: too few to tell anything", members.Comparisons, result.Judged)
			}
			if members.AgreedAfter < 0 || members.AgreedAfter > tc.agreed*1000 {
				t.Errorf("views agreed %d ms after the last fault", members.AgreedAfter/1000)
			}
			if len(members.DeadByAll) > 0 {
				t.Errorf("called dead by all while alive: %v", members.DeadByAll)
			}
			if tc.excused != (result.Excused > 0) && tc.excused {
				t.Errorf("%d requests excused for a stopped router", result.Excused)
			}
		})
	}
}

// Guards against a scenario "board cut" that would pass without gossip: routers without
// membership break an invariant in it.
func TestDiscoveryCutBesideStarvedRouters(t *testing.T) {
	t.Parallel()
	result, err := playWithOwnProgram(t, `
settle_s: 1
fleet: {offices: 3, routers: 2, trunks: 2, caches: 2, cores: 3, board_ms: 200, death_ms: 500, cold_s: 2}
load: {txns_per_s: 90, objects: 800}
length_s: 13
troubles:
  - {kind: cut_board, at: 2, for: 11, share: 0.34}
  - {kind: preempt, at: 2.5, for: 11, share: 0.5, office: 1, strength: 10}
  - {kind: preempt, at: 2.5, for: 11, share: 0.5, office: 2, strength: 10}
  - {kind: preempt, at: 2.5, for: 11, share: 0.5, office: 3, strength: 10}
`, emulator.Options{})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d violations of rule 3", result.CountByRule[3])
	if result.CountByRule[3] == 0 {
		t.Error("no violation by routers without membership")
	}
}

// membershipFleet is two router processes that are members of one group.
type membershipFleet struct {
	dir       string
	key       string
	addresses []string // for clients by TCP, and for members by UDP
}

func newMembershipFleet(t *testing.T) *membershipFleet {
	t.Helper()
	dir := t.TempDir()
	fleet := &membershipFleet{
		dir:       dir,
		key:       filepath.Join(dir, "key"),
		addresses: []string{reserveAddress(t), reserveAddress(t)},
	}
	writeFile(t, fleet.key, []byte("a key of sixteen bytes"))
	return fleet
}

func (f *membershipFleet) configPath(i int) string {
	return filepath.Join(f.dir, fmt.Sprint("n", i, ".json"))
}

func (f *membershipFleet) operatorPath(i int) string {
	return filepath.Join(f.dir, fmt.Sprint("n", i, ".yaml"))
}

// writeFiles writes a router's configuration, whose settings may forbid membership, and
// its operator's file.
func (f *membershipFleet) writeFiles(t *testing.T, i int, permitted bool) {
	t.Helper()
	defaults := scenario.Default()
	defaults.Fleet.Membership = permitted
	text, err := json.Marshal(map[string]any{
		"name":     fmt.Sprint("n", i),
		"listen":   f.addresses[i],
		"seed":     "1",
		"board":    "127.0.0.1:1",
		"limits":   map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
		"settings": defaults.Settings(0, 0),
		"known":    json.RawMessage(`{"rev":0,"notices":[]}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, f.configPath(i), text)
	operator := fmt.Sprintf("members:\n  name: n%d\n  listen: %s\n  key_file: %s\n"+
		"  peers: [{name: n0, addr: \"%s\"}, {name: n1, addr: \"%s\"}]\n",
		i, f.addresses[i], f.key, f.addresses[0], f.addresses[1])
	writeFile(t, f.operatorPath(i), []byte(operator))
}

// start starts a router process and returns what it writes to its standard error.
func (f *membershipFleet) start(t *testing.T, i int, permitted bool) (*exec.Cmd, *strings.Builder) {
	t.Helper()
	f.writeFiles(t, i, permitted)
	cmd := exec.Command(os.Args[0], "serve", "--config", f.configPath(i), "--operator", f.operatorPath(i))
	cmd.Env = append(os.Environ(), "QUILLDOOR_TEST_MAIN=1")
	stderr := new(strings.Builder)
	cmd.Stderr = stderr
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	return cmd, stderr
}

// members runs the members command at the first router.
func (f *membershipFleet) members(args ...string) string {
	cmd := exec.Command(os.Args[0], append([]string{"members", "--operator", f.operatorPath(0)}, args...)...)
	cmd.Env = append(os.Environ(), "QUILLDOOR_TEST_MAIN=1")
	out, _ := cmd.CombinedOutput()
	return string(out)
}

// waitFor repeats the members command until its output has the text.
func (f *membershipFleet) waitFor(t *testing.T, text string, args ...string) {
	t.Helper()
	last := ""
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		last = f.members(args...)
		if strings.Contains(last, text) {
			return
		}
	}
	t.Fatalf("%v: no %q in\n%s", args, text, last)
}

// Guards against membership where the settings forbid messages between routers, and a
// command that does not show a running router's view.
func TestMembershipCommand(t *testing.T) {
	fleet := newMembershipFleet(t)
	forbidden, stderr := fleet.start(t, 0, false)
	if err := forbidden.Wait(); err == nil || !strings.Contains(stderr.String(), "settings.Limits.PeerMessages") {
		t.Fatalf("forbidden, and it runs: %v, %s", err, stderr)
	}
	var processes []*exec.Cmd
	for i := range 2 {
		cmd, _ := fleet.start(t, i, true)
		processes = append(processes, cmd)
		defer func() { cmd.Process.Kill(); cmd.Wait() }()
	}
	fleet.waitFor(t, "2 of 2 routers reachable")
	fleet.waitFor(t, "all that answered agree", "--matrix")
	if text := fleet.members("--json"); !json.Valid([]byte(text)) {
		t.Errorf("no JSON: %s", text)
	}
	// A planned end is gossiped and is no failure.
	processes[1].Process.Signal(syscall.SIGTERM)
	fleet.waitFor(t, "leaving")
	fleet.waitFor(t, " left ")
}
