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

// Six real routers that know each other, under load, while some of them fail or are
// cut off: each txn one end, no rule broken, no live router called dead by all the
// others, and every view right soon after the last trouble.
func TestMembershipAmongProcesses(t *testing.T) {
	const fleet = `
settle_s: 1
fleet: {offices: 3, routers: 2, trunks: 2, caches: 2, cores: 3, members: true, board_ms: 200, death_ms: 500, cold_s: 2}
load: {txns_per_s: 90, objects: 800}
`
	for _, c := range []struct {
		name, text string
		agreed     int64 // milliseconds after the last turn
		excused    bool
	}{
		// Half die in one instant and come back from nothing, while a purge and a dead cache go on.
		{"half die", `
length_s: 11
troubles:
  - {kind: router_dies, at: 2.5, for: 4, share: 0.5}
  - {kind: purge, at: 3, share: 0.9}
  - {kind: die, at: 3, for: 2, share: 0.3}
`, 4000, false},
		// All are started again together: nobody is there to ask.
		{"all restart", `
length_s: 9
troubles: [{kind: router_dies, at: 3, for: 0.5}]
`, 4000, false},
		// Stopped for longer than suspicion takes, and woken into a changed world.
		{"stopped", `
length_s: 17
troubles:
  - {kind: router_stops, at: 2, for: 10, share: 0.34}
  - {kind: purge, at: 4, share: 0.9}
  - {kind: deploy, at: 4, for: 1, every: 0.5, strength: 1, office: 2}
`, 4000, true},
		// Words late, lost, doubled, overtaken; routers short of CPU; one stop that is no death.
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
		// Cut one way, into a chain, into halves, into three; then healed.
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
		// A third has no board while caches drain, die and come back cold: the others tell it.
		{"board cut", `
length_s: 16
troubles:
  - {kind: cut_board, at: 2, for: 13, share: 0.34}
  - {kind: deploy, at: 2.5, for: 1, every: 1, strength: 1, office: 1}
  - {kind: die, at: 3, for: 3, share: 0.5, office: 2}
  - {kind: preempt, at: 2.5, for: 14, share: 0.5, office: 3, strength: 12}
  - {kind: purge, at: 5, share: 0.5}
`, 4000, false},
		// Three camps, while a purge, a drain and a cold office come.
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
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			result, err := playWithOwnProgram(t, fleet+c.text, emulator.Options{})
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range result.Breaks {
				t.Error(violation)
			}
			members := result.Members
			t.Logf("worth %.3f, %d judged, %d excused; %d looks, agreed after %d ms", result.Worth(), result.Judged, result.Excused, members.Looks, members.AgreedAfter/1000)
			if members.Looks < 10 || result.Judged < 400 {
				t.Errorf("%d looks, %d txns: too few to tell anything", members.Looks, result.Judged)
			}
			if members.AgreedAfter < 0 || members.AgreedAfter > c.agreed*1000 {
				t.Errorf("views agreed %d ms after the last trouble", members.AgreedAfter/1000)
			}
			if len(members.DeadByAll) > 0 {
				t.Errorf("called dead by all while alive: %v", members.DeadByAll)
			}
			if c.excused != (result.Excused > 0) && c.excused {
				t.Errorf("%d txns fell due while their router stood still", result.Excused)
			}
		})
	}
}

// The same cut of the board breaks rules where routers know nobody: the test above
// proves what it says.
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
	if t.Logf("%d breaks of rule 3", result.Count[3]); result.Count[3] == 0 {
		t.Error("no rule is broken by routers that know nobody")
	}
}

// Membership is refused where the settings forbid talk among routers, and a person
// asks a running router with its own command.
func writeFile(t *testing.T, path string, content []byte) {
	t.Helper()
	if err := os.WriteFile(path, content, 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestMembershipCommand(t *testing.T) {
	dir := t.TempDir()
	key := filepath.Join(dir, "key")
	writeFile(t, key, []byte("a key of sixteen bytes"))
	var processes []*exec.Cmd
	var files []string
	addresses := []string{reserveAddress(t), reserveAddress(t)} // for clients by TCP, and for members by UDP
	start := func(i int, permitted bool) (*exec.Cmd, *strings.Builder) {
		s := scenario.Default()
		s.Fleet.Membership = permitted
		text, _ := json.Marshal(map[string]any{
			"name": fmt.Sprint("n", i), "listen": addresses[i], "seed": "1", "board": "127.0.0.1:1",
			"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}, "settings": s.Settings(0, 0), "known": json.RawMessage(`{"rev":0,"notices":[]}`),
		})
		config := filepath.Join(dir, fmt.Sprint("n", i, ".json"))
		writeFile(t, config, text)
		operatorText := fmt.Sprintf("members:\n  name: n%d\n  listen: %s\n  key_file: %s\n  peers: [{name: n0, addr: \"%s\"}, {name: n1, addr: \"%s\"}]\n", i, addresses[i], key, addresses[0], addresses[1])
		file := filepath.Join(dir, fmt.Sprint("n", i, ".yaml"))
		writeFile(t, file, []byte(operatorText))
		files = append(files, file)
		cmd := exec.Command(os.Args[0], "serve", "--config", config, "--operator", file)
		cmd.Env = append(os.Environ(), "QUILLDOOR_TEST_MAIN=1")
		out := new(strings.Builder)
		cmd.Stderr = out
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		return cmd, out
	}
	cmd, out := start(0, false)
	if err := cmd.Wait(); err == nil || !strings.Contains(out.String(), "settings.Limits.PeerMessages") {
		t.Fatalf("forbidden, and it runs: %v, %s", err, out)
	}
	files = nil
	for i := range 2 {
		cmd, _ := start(i, true)
		processes = append(processes, cmd)
		defer func() { cmd.Process.Kill(); cmd.Wait() }()
	}
	ask := func(args ...string) string {
		cmd := exec.Command(os.Args[0], append([]string{"members", "--operator", files[0]}, args...)...)
		cmd.Env = append(os.Environ(), "QUILLDOOR_TEST_MAIN=1")
		out, _ := cmd.CombinedOutput()
		return string(out)
	}
	waitFor := func(what string, args ...string) {
		t.Helper()
		last := ""
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			if last = ask(args...); strings.Contains(last, what) {
				return
			}
		}
		t.Fatalf("%v: no %q in\n%s", args, what, last)
	}
	waitFor("2 of 2 routers reachable")
	waitFor("all that answered agree", "--matrix")
	if text := ask("--json"); !json.Valid([]byte(text)) {
		t.Errorf("no JSON: %s", text)
	}
	// A planned end is told, and is no failure.
	processes[1].Process.Signal(syscall.SIGTERM)
	waitFor("leaving")
	waitFor(" left ")
}
