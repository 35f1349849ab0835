package main

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
	"testing"
	"time"

	"quilldoor/internal/emulator"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/membership"
	"quilldoor/internal/simulation"
)

// Guards against messages between routers that another version reads in another way. Four
// offices have a router each, of the two versions in turn, and all are members of one
// group. While one version is cut off from discovery, only routers of the other version
// can tell it of drains; a partition follows. Caches drain for longer than a router may go
// without hearing of it.
func TestEarlierProgramInOneSite(t *testing.T) {
	t.Parallel()
	for _, tc := range []struct {
		name    string
		offices [2]int // of one version, from 1
	}{
		{name: "this one cut off", offices: [2]int{1, 3}},
		{name: "earlier one cut off", offices: [2]int{2, 4}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			t.Parallel()
			playCutOff(t, tc.offices)
		})
	}
}

// playCutOff cuts the routers of two offices off from discovery while their caches drain.
func playCutOff(t *testing.T, offices [2]int) {
	t.Helper()
	text := `
settle_s: 1
length_s: 17
fleet: {offices: 4, routers: 1, trunks: 2, caches: 4, cores: 2,
  members: true, board_ms: 200, death_ms: 500, cold_s: 2}
load: {txns_per_s: 90, objects: 600}
troubles:
  - {kind: purge, at: 3, share: 0.6}
  - {kind: ways_camps, at: 14, for: 1}
`
	for _, office := range offices {
		text += fmt.Sprintf("  - {kind: cut_board, at: 2, for: 11, office: %d}\n", office)
		text += fmt.Sprintf("  - {kind: preempt, at: 2.5, for: 11, share: 0.5, office: %d, strength: 10}\n", office)
	}
	drive := func(_ context.Context, fleet *emulator.RunningRouters) error {
		const untilHealed = 15 * time.Second // the partition is over
		time.Sleep(untilHealed)
		for i := range fleet.Count() {
			if err := waitForAllAlive(fleet, i); err != nil {
				return err
			}
		}
		return nil
	}
	result := playWithPrograms(t, text, emulator.SocketOptions{
		Program: os.Args[0], Earlier: earlierRouter(t), Drive: drive,
	})
	checkMembers(t, result)
}

// checkMembers checks that all views agreed again in time, and that nobody was called dead
// who was not.
func checkMembers(t *testing.T, result *emulator.Result) {
	t.Helper()
	members := result.Members
	t.Logf("%d samples, agreed after %d ms", members.Comparisons, members.AgreedAfter/1000)
	if members.Comparisons < 10 {
		t.Errorf("%d samples: too few to tell anything", members.Comparisons)
	}
	// As for all faults of TestMembershipAmongProcesses but the longest partitions.
	const agreesWithinMS = 4000
	if members.AgreedAfter < 0 || members.AgreedAfter > agreesWithinMS*1000 {
		t.Errorf("views agreed %d ms after the last fault", members.AgreedAfter/1000)
	}
	if len(members.DeadByAll) > 0 {
		t.Errorf("called dead by all while alive: %v", members.DeadByAll)
	}
}

// waitForAllAlive waits until a router sees all others alive.
func waitForAllAlive(fleet *emulator.RunningRouters, router int) error {
	const timeout = 10 * time.Second
	notAlive := func(member membership.MemberStatus) bool { return member.State != membership.StateAlive }
	var view *membership.View
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		var err error
		if view, err = fleet.View(router); err != nil {
			return err
		}
		if len(view.Members) >= fleet.Count()-1 && !slices.ContainsFunc(view.Members, notAlive) {
			return nil
		}
	}
	return fmt.Errorf("router %d does not see all alive: %+v", router, view.Members)
}

// forwardingDirection is which router forwards, to which other one, and what became of
// the requests.
type forwardingDirection struct {
	name       string
	weights    string // load by site
	home, peer int    // routers
	forwarded  map[string]bool
	completed  int // of those forwarded
}

// record follows the requests in the event log.
func (d *forwardingDirection) record(entry *eventlog.Entry) {
	switch {
	case entry.Kind == eventlog.KindForwarded && entry.Attempt == d.home && entry.Router == d.peer:
		d.forwarded[entry.Request] = true
	case entry.Kind == eventlog.KindAnswered && entry.Router == d.home && d.forwarded[entry.Request] &&
		entry.Outcome == string(simulation.AnswerCompleted):
		d.completed++
	}
}

// Guards against gateways that do not connect to one of another version, or lose,
// duplicate or answer wrongly what they forward to it. One site's router is of this
// program, the other's of the earlier one; the busy site forwards, and the link is cut.
func TestGatewayBesideEarlierProgram(t *testing.T) {
	t.Parallel()
	for _, direction := range []*forwardingDirection{
		{name: "this one forwards", weights: "[4, 0.3]", home: 0, peer: 1},
		{name: "earlier one forwards", weights: "[0.3, 4]", home: 1, peer: 0},
	} {
		t.Run(direction.name, func(t *testing.T) {
			t.Parallel()
			direction.play(t)
		})
	}
}

func (d *forwardingDirection) play(t *testing.T) {
	t.Helper()
	text := `
length_s: 9
settle_s: 1
fleet: {offices: 2, routers: 1, trunks: 2, caches: 2, cores: 3, link_share: 0.15, board_ms: 200,
  sites: 2, site_ms: 5}
load: {txns_per_s: 90, objects: 2000, weights: ` + d.weights + `}
troubles:
  - {kind: purge, at: 3, share: 0.4}
  - {kind: site_cut, at: 4, for: 0.4}
  - {kind: site_cut, at: 5.5, for: 1}
`
	d.forwarded = map[string]bool{}
	result, err := playScenario(t, text, emulator.Options{Record: d.record},
		emulator.SocketOptions{Program: os.Args[0], Earlier: earlierRouter(t)})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range result.Violations {
		t.Error(violation)
	}
	t.Logf("%d judged, %d forwarded, %d of them completed", result.Judged, len(d.forwarded), d.completed)
	// As many as TestEmulatedSites wants forwarded.
	const fewestCompleted = 3
	if d.completed < fewestCompleted {
		t.Errorf("%d forwarded requests completed: too few to tell anything", d.completed)
	}
}

// Guards against purges that one version tells another by gossip and that are not applied.
// Only the first of two members hears of purges from discovery; the names of the purged
// object and group must come up in the debug log of the other one.
func TestPurgeReachesEarlierProgramByGossip(t *testing.T) {
	t.Parallel()
	for _, programs := range programPairs(t) {
		t.Run(programs.name, func(t *testing.T) {
			t.Parallel()
			checkPurgeByGossip(t, programs)
		})
	}
}

func checkPurgeByGossip(t *testing.T, programs programPair) {
	t.Helper()
	const object, group = "object-of-a-purge", 987_654
	platform := newFakePlatform(t)
	platform.restartDiscovery(`{"rev":1,"pool":{"all":true,"targets":[]}}`)
	pair := newMemberPair(t)
	for i := range pair.addresses {
		pair.writeFiles(t, i, true)
	}
	connectDiscovery(t, pair.configPath(0), platform)
	pair.startProgram(t, 0, programs.first)
	log := pair.startProgram(t, 1, programs.other)
	pair.waitFor(t, "2 of 2 routers reachable")
	platform.purge([]string{object}, 0, true)
	platform.purge([]string{"another"}, group, true)
	waitForText(t, log, object)
	waitForText(t, log, fmt.Sprint(group))
}

// connectDiscovery lets a configuration name a platform's discovery.
func connectDiscovery(t *testing.T, config string, platform *fakePlatform) {
	t.Helper()
	text, err := os.ReadFile(config)
	if err != nil {
		t.Fatal(err)
	}
	const nowhere = `"board":"127.0.0.1:1"`
	if !strings.Contains(string(text), nowhere) {
		t.Fatalf("no %s in %s", nowhere, text)
	}
	own := fmt.Sprintf(`"board":%q`, platform.discovery.Addr())
	writeFile(t, config, []byte(strings.Replace(string(text), nowhere, own, 1)))
}

// startProgram starts a member that runs a program, and returns the file that it logs to.
func (p *memberPair) startProgram(t *testing.T, i int, program string) (log string) {
	t.Helper()
	log = p.configPath(i) + ".log"
	file, err := os.Create(log)
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	process := exec.Command(program, "serve", "--config", p.configPath(i), "--operator", p.operatorPath(i),
		"--log-level", "debug")
	process.Env = append(os.Environ(), mainVariable+"=1", "LB_CONFIG=", "LB_NAME=", "LB_LISTEN=", "LB_OPERATOR=")
	process.Stderr = file
	if err := process.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		process.Process.Kill()
		process.Wait()
	})
	return log
}

// waitForText waits until a file has a text.
func waitForText(t *testing.T, path, text string) {
	t.Helper()
	const timeout = 10 * time.Second
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		content, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(content), text) {
			return
		}
	}
	t.Errorf("no %s in %s after %v", text, path, timeout)
}
