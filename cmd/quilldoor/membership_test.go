package main

import (
	"encoding/json"
	"fmt"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"quilldoor/internal/emulator"
	"quilldoor/internal/invariant"
	"quilldoor/internal/scenario"
)

// membershipFleet is six routers of three zones that are members of one group.
const membershipFleet = `
settle_s: 1
fleet: {offices: 3, routers: 2, trunks: 2, caches: 2, cores: 3,
  members: true, board_ms: 200, death_ms: 500, cold_s: 2}
load: {txns_per_s: 90, objects: 800}
`

// membershipScenario contains faults, after which all views of the members have to agree again.
type membershipScenario struct {
	name           string
	text           string
	agreesWithinMS int64 // after the last fault
	stopsRouters   bool  // requests at a stopped router are excused
}

var membershipScenarios = []membershipScenario{
	{
		// Half crash at once and restart without state, during a purge and a cache outage.
		name: "half die",
		text: `
length_s: 11
troubles:
  - {kind: router_dies, at: 2.5, for: 4, share: 0.5}
  - {kind: purge, at: 3, share: 0.9}
  - {kind: die, at: 3, for: 2, share: 0.3}
`,
		agreesWithinMS: 4000,
	},
	{
		// No router is left that the others could receive state from.
		name: "all restart",
		text: `
length_s: 9
troubles: [{kind: router_dies, at: 3, for: 0.5}]
`,
		agreesWithinMS: 4000,
	},
	{
		// Routers are stopped for longer than the suspicion timeout, while endpoints change.
		name: "stopped",
		text: `
length_s: 17
troubles:
  - {kind: router_stops, at: 2, for: 10, share: 0.34}
  - {kind: purge, at: 4, share: 0.9}
  - {kind: deploy, at: 4, for: 1, every: 0.5, strength: 1, office: 2}
`,
		agreesWithinMS: 4000,
		stopsRouters:   true,
	},
	{
		// Messages are late, lost, duplicated and reordered, a router is short of CPU, and one pauses
		// without a crash.
		name: "poor network",
		text: `
length_s: 12
troubles:
  - {kind: ways_loss, at: 1.5, for: 7, strength: 0.1}
  - {kind: ways_jitter, at: 1.5, for: 7, strength: 40}
  - {kind: ways_double, at: 1.5, for: 7, strength: 0.2}
  - {kind: ways_reorder, at: 1.5, for: 7, strength: 0.2}
  - {kind: router_starves, at: 2, for: 6, share: 0.17, strength: 0.5}
  - {kind: router_stops, at: 4, for: 0.5, share: 0.17}
`,
		agreesWithinMS: 4000,
	},
	{
		// The network is cut in one direction, into a chain, into halves and into three parts; each
		// cut heals.
		name: "partitions",
		text: `
length_s: 18
troubles:
  - {kind: ways_one_way, at: 1.5, for: 2, share: 0.17}
  - {kind: ways_chain, at: 4, for: 2}
  - {kind: ways_camps, at: 7, for: 3}
  - {kind: ways_camps, at: 11, for: 2, strength: 3}
  - {kind: cut_board, at: 7, for: 2, share: 0.34}
  - {kind: purge, at: 8, share: 0.5}
`,
		agreesWithinMS: 5000,
	},
	{
		// A third of the routers is cut off from discovery while caches drain, fail and warm up, and
		// learns of that by gossip.
		name: "discovery cut",
		text: `
length_s: 16
troubles:
  - {kind: cut_board, at: 2, for: 13, share: 0.34}
  - {kind: deploy, at: 2.5, for: 1, every: 1, strength: 1, office: 1}
  - {kind: die, at: 3, for: 3, share: 0.5, office: 2}
  - {kind: preempt, at: 2.5, for: 14, share: 0.5, office: 3, strength: 12}
  - {kind: purge, at: 5, share: 0.5}
`,
		agreesWithinMS: 4000,
	},
	{
		// The routers are in three parts during a purge, a drain and the loss of a zone.
		name: "three parts",
		text: `
length_s: 14
troubles:
  - {kind: ways_camps, at: 2, for: 8, strength: 3}
  - {kind: office_lost, at: 3, for: 3, office: 1}
  - {kind: purge, at: 4, share: 0.9}
  - {kind: deploy, at: 6, for: 1, every: 0.5, strength: 1, office: 2}
  - {kind: ways_delay, at: 10, for: 2, share: 0.17, strength: 300}
`,
		agreesWithinMS: 4000,
	},
}

// Guards against live routers that all others declare dead, and views of the members that do
// not agree in time after the last fault, while routers under load fail or are cut off.
func TestMembershipAmongProcesses(t *testing.T) {
	for _, tc := range membershipScenarios {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			result, err := playWithOwnProgram(t, membershipFleet+tc.text, emulator.Options{})
			if err != nil {
				t.Fatal(err)
			}
			tc.check(t, result)
		})
	}
}

// check checks that no invariant was violated, and that all views agreed again in time.
func (tc membershipScenario) check(t *testing.T, result *emulator.Result) {
	t.Helper()
	for _, violation := range result.Violations {
		t.Error(violation)
	}
	members := result.Members
	t.Logf("score %.3f, %d judged, %d excused; %d samples, agreed after %d ms",
		result.EarnedShare(), result.Judged, result.Excused, members.Comparisons, members.AgreedAfter/1000)
	if members.Comparisons < 10 || result.Judged < 400 {
		t.Errorf("%d samples, %d requests: too few for a conclusion", members.Comparisons, result.Judged)
	}
	if members.AgreedAfter < 0 || members.AgreedAfter > tc.agreesWithinMS*1000 {
		t.Errorf("views agreed %d ms after the last fault", members.AgreedAfter/1000)
	}
	if len(members.DeadByAll) > 0 {
		t.Errorf("declared dead by all others while alive: %v", members.DeadByAll)
	}
	if tc.stopsRouters && result.Excused == 0 {
		t.Error("no request excused for a stopped router")
	}
}

// Guards against a scenario "discovery cut" of TestMembershipAmongProcesses that would pass
// without gossip: under such faults, routers without membership have to violate an invariant.
func TestDiscoveryCutBesideStarvedRouters(t *testing.T) {
	t.Parallel()
	result, err := playWithOwnProgram(t, `
settle_s: 1
fleet: {offices: 3, routers: 2, trunks: 2, caches: 2, cores: 3,
  board_ms: 200, death_ms: 500, cold_s: 2}
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
	violations := result.CountByRule[invariant.RuleDrained]
	t.Logf("%d violations of invariant 3", violations)
	if violations == 0 {
		t.Error("routers without membership violated no invariant")
	}
}

// memberPair is two router processes that are members of one group.
type memberPair struct {
	dir       string
	key       string
	addresses []string // for clients by TCP, and for members by UDP
}

func newMemberPair(t *testing.T) *memberPair {
	t.Helper()
	dir := t.TempDir()
	pair := &memberPair{
		dir:       dir,
		key:       filepath.Join(dir, "key"),
		addresses: []string{reserveAddress(t), reserveAddress(t)},
	}
	writeFile(t, pair.key, []byte("a key of sixteen bytes"))
	return pair
}

func (p *memberPair) configPath(i int) string {
	return filepath.Join(p.dir, fmt.Sprint("n", i, ".json"))
}

func (p *memberPair) operatorPath(i int) string {
	return filepath.Join(p.dir, fmt.Sprint("n", i, ".yaml"))
}

// writeFiles writes a router's configuration, whose settings may forbid membership, and
// its operator's file.
func (p *memberPair) writeFiles(t *testing.T, i int, permitted bool) {
	t.Helper()
	defaults := scenario.Default()
	defaults.Fleet.Membership = permitted
	text, err := json.Marshal(map[string]any{
		"name":     fmt.Sprint("n", i),
		"listen":   p.addresses[i],
		"seed":     "1",
		"board":    "127.0.0.1:1",
		"limits":   map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256},
		"settings": defaults.Settings(0, 0),
		"known":    json.RawMessage(`{"rev":0,"notices":[]}`),
	})
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, p.configPath(i), text)
	operator := fmt.Sprintf("members:\n  name: n%d\n  listen: %s\n  key_file: %s\n"+
		"  peers: [{name: n0, addr: \"%s\"}, {name: n1, addr: \"%s\"}]\n",
		i, p.addresses[i], p.key, p.addresses[0], p.addresses[1])
	writeFile(t, p.operatorPath(i), []byte(operator))
}

// start starts a router process and returns it with the text of its standard error.
func (p *memberPair) start(t *testing.T, i int, permitted bool) (*exec.Cmd, *strings.Builder) {
	t.Helper()
	p.writeFiles(t, i, permitted)
	process := ownCommand("serve", "--config", p.configPath(i), "--operator", p.operatorPath(i))
	stderr := new(strings.Builder)
	process.Stderr = stderr
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	return process, stderr
}

// members runs the members command at the first router.
func (p *memberPair) members(args ...string) string {
	command := ownCommand(append([]string{"members", "--operator", p.operatorPath(0)}, args...)...)
	output, _ := command.CombinedOutput() // contains the error of a failed command, too
	return string(output)
}

// waitFor repeats the members command until its output contains the text.
func (p *memberPair) waitFor(t *testing.T, text string, args ...string) {
	t.Helper()
	last := ""
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		last = p.members(args...)
		if strings.Contains(last, text) {
			return
		}
	}
	t.Fatalf("members %v: no %q in\n%s", args, text, last)
}

// Guards against membership where the settings forbid messages between routers, and a
// command that does not show a running router's view.
func TestMembershipCommand(t *testing.T) {
	pair := newMemberPair(t)
	forbidden, stderr := pair.start(t, 0, false)
	if err := forbidden.Wait(); err == nil || !strings.Contains(stderr.String(), "settings.Limits.PeerMessages") {
		t.Fatalf("a router with a forbidden membership: %v, %s", err, stderr)
	}
	var processes []*exec.Cmd
	for i := range 2 {
		process, _ := pair.start(t, i, true)
		processes = append(processes, process)
		defer func() { process.Process.Kill(); process.Wait() }()
	}
	pair.waitFor(t, "2 of 2 routers reachable")
	pair.waitFor(t, "all that answered agree", "--matrix")
	if text := pair.members("--json"); !json.Valid([]byte(text)) {
		t.Errorf("members --json: invalid JSON: %s", text)
	}
	// A planned shutdown is announced to the members and is not a failure.
	processes[1].Process.Signal(syscall.SIGTERM)
	pair.waitFor(t, "leaving")
	pair.waitFor(t, " left ")
}
