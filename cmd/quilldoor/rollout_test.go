package main

import (
	"errors"
	"fmt"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"quilldoor/internal/checker"
	"quilldoor/internal/emulator"
	"quilldoor/internal/handoff"
	"quilldoor/internal/invariant"
	"quilldoor/internal/rollout"
)

// rolloutFleet is eight supervised routers of four zones with membership.
const rolloutFleet = `
settle_s: 1
fleet: {offices: 4, routers: 2, trunks: 2, caches: 5, cores: 5, link_share: 0.8,
  keep: true, trial_s: 0.5, members: true, board_ms: 200, death_ms: 500, cold_s: 3}
load: {txns_per_s: 240, objects: 800}
`

// writePlan writes a rollout plan for the program with the given stages, or by default
// with three: one router, half of the routers, all.
func writePlan(fleet *emulator.RunningRouters, program string, stages ...string) error {
	var plan strings.Builder
	fmt.Fprintf(&plan, "name: trial\nprogram: %s\nsilent_s: 15\n", program)
	plan.WriteString("guards: {most_loss: 0.25, loss: 0.05, refusals: 0.05, failures: 0.05}\nrouters:\n")
	for i := range fleet.Count() {
		name, zone := fleet.Name(i)
		fmt.Fprintf(&plan, "  - {name: %s, office: %s}\n", name, zone)
	}
	if len(stages) == 0 {
		first, _ := fleet.Name(0)
		stages = []string{
			"{routers: [" + first + "], watch_s: 40, least_s: 2}",
			"{share: 0.5, watch_s: 30, least_s: 2}",
			"{share: 1, watch_s: 2, least_s: 2}",
		}
	}
	fmt.Fprintf(&plan, "stages:\n  - %s\n", strings.Join(stages, "\n  - "))
	return os.WriteFile(fleet.Plan(), []byte(plan.String()), 0o600)
}

// waitForRolloutEnd waits for the end of a rollout. Of the routers' answers the one with
// the newest state counts.
func waitForRolloutEnd(fleet *emulator.RunningRouters, within time.Duration, routers ...int) (*rollout.Status, error) {
	var last *rollout.Status
	var lastErr error
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, router := range routers {
			status, err := fleet.Rollout(router, rollout.CommandNone)
			if err != nil {
				lastErr = err
				continue
			}
			if last == nil || status.Seq >= last.Seq && status.AgeMS >= 0 {
				last = status
			}
		}
		if last != nil && (last.Phase == "done" || last.Phase == "undone") {
			return last, nil
		}
	}
	return last, errors.Join(fmt.Errorf("no end after %v: %+v", within, last), lastErr)
}

// startRollout starts the rollout at a router, once all have read the plan.
func startRollout(fleet *emulator.RunningRouters, router int) error {
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for i := range fleet.Count() {
			if status, err := fleet.Rollout(i, rollout.CommandNone); err == nil && !status.Recovering {
				ready++
			}
		}
		if ready == fleet.Count() {
			break
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d of %d routers have the plan", ready, fleet.Count())
		}
	}
	_, err := fleet.Rollout(router, rollout.CommandStart)
	return err
}

// waitForLeader waits until one of the routers leads the rollout forward.
func waitForLeader(fleet *emulator.RunningRouters, routers []int) (int, error) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, router := range routers {
			if status, err := fleet.Rollout(router, rollout.CommandNone); err == nil && status.IsLeader && status.Phase == "forward" {
				return router, nil
			}
		}
	}
	return 0, errors.New("no leader")
}

// servingGenerations returns the generation that serves at each router.
func servingGenerations(fleet *emulator.RunningRouters) ([]uint64, error) {
	var generations []uint64
	for i := range fleet.Count() {
		status, err := fleet.Status(i)
		if err != nil {
			return nil, fmt.Errorf("router %d: %w", i, err)
		}
		if status.Serving == nil {
			return nil, fmt.Errorf("router %d: %+v", i, status)
		}
		generations = append(generations, status.Serving.Generation)
	}
	return generations, nil
}

// Guards against a rollout of a good program that stops halfway or is undone when its
// leader's supervisor is killed, the next one's is stopped, routers are cut off from
// each other and from discovery, and caches come back cold.
func TestRolloutOfTheSameProgram(t *testing.T) {
	t.Parallel()
	text := rolloutFleet + "length_s: 150\ntroubles:\n" +
		"  - {kind: office_lost, at: 22, for: 3, office: 2}\n" +
		"  - {kind: ways_camps, at: 30, for: 4, share: 0.25}\n" +
		"  - {kind: cut_board, at: 34, for: 3, share: 0.5}\n"
	result := playUpgradesWith(t, text, playOptions{endWithDrive: true}, func(fleet *emulator.RunningRouters) error {
		if err := writePlan(fleet, os.Args[0]); err != nil {
			return err
		}
		if err := startRollout(fleet, 3); err != nil {
			return err
		}
		all := []int{0, 1, 2, 3, 4, 5, 6, 7}
		if err := disturbLeaders(fleet, all); err != nil {
			return err
		}
		status, err := waitForRolloutEnd(fleet, 80*time.Second, all...)
		if err != nil {
			return err
		}
		generations, err := servingGenerations(fleet)
		if err != nil {
			return err
		}
		t.Logf("%s at seq %d: %v (%s)", status.Phase, status.Seq, generations, status.Reason)
		if status.Phase != "done" {
			t.Errorf("%+v", status)
		}
		for i, generation := range generations {
			if generation != 2 {
				t.Errorf("router %d has generation %d", i, generation)
			}
		}
		return nil
	})
	if result.RefusedConnections > 0 || result.BrokenConnections > 0 {
		t.Errorf("%d connections refused, %d broken off", result.RefusedConnections, result.BrokenConnections)
	}
}

// disturbLeaders kills the supervisor of the rollout's leader and starts it again, then
// stops the supervisor of the next leader for some seconds.
func disturbLeaders(fleet *emulator.RunningRouters, routers []int) error {
	leader, err := waitForLeader(fleet, routers)
	if err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	if err := fleet.KillSupervisor(leader); err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := fleet.StartSupervisor(leader); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if leader, err = waitForLeader(fleet, routers); err != nil {
		return err
	}
	status, err := fleet.Status(leader)
	if err != nil {
		return err
	}
	syscall.Kill(status.SupervisorPID, syscall.SIGSTOP)
	time.Sleep(7 * time.Second)
	syscall.Kill(status.SupervisorPID, syscall.SIGCONT)
	return nil
}

// skipLong skips a long test unless all are asked for.
func skipLong(t *testing.T, long bool) {
	t.Helper()
	if long && os.Getenv("QUILLDOOR_ALL") == "" {
		t.Skip("a minute: QUILLDOOR_ALL=1 plays it")
	}
}

// expectRolledBack waits for the end of a rollout, which has to be undone for the reason.
func expectRolledBack(t *testing.T, fleet *emulator.RunningRouters, within time.Duration, reason string) error {
	began := time.Now()
	status, err := waitForRolloutEnd(fleet, within, 1, 2, 3, 4, 5, 6, 7)
	if err != nil {
		return err
	}
	t.Logf("%s after %v: %s", status.Phase, time.Since(began).Round(100*time.Millisecond), status.Reason)
	if status.Phase != "undone" || !strings.Contains(status.Reason, reason) {
		t.Errorf("%+v", status)
	}
	return nil
}

// expectFirstGeneration checks that no router but those of the first stage was upgraded.
func expectFirstGeneration(t *testing.T, fleet *emulator.RunningRouters, inFirstStage func(router int) bool) error {
	generations, err := servingGenerations(fleet)
	if err != nil {
		return err
	}
	for i, generation := range generations {
		if !inFirstStage(i) && generation != 1 {
			t.Errorf("router %d has had generation %d", i, generation)
		}
	}
	return nil
}

// worseProgram is a rollout of a program that does worse than the one that serves.
type worseProgram struct {
	fault  fault
	reason string // of the rollback
	long   bool   // skipped unless all tests are asked for
	half   bool   // of each zone is upgraded first: a small fault shows on many routers only
}

// Guards against a worse program that gets beyond the first stage of its rollout, or is
// left on a router after the rollback.
func TestRolloutsOfWorsePrograms(t *testing.T) {
	for _, tc := range []worseProgram{
		{fault: faultNarrow},
		{fault: faultDiesAtWork, long: true},
		{fault: faultLeaks, reason: "MB", long: true},
		{fault: faultHangsAtWork, long: true},
		{fault: faultNoStart, reason: "did not change", long: true},
		{fault: faultQuietMember, reason: "by itself", long: true},
		{fault: faultSlower, reason: "slowness", long: true, half: true},
	} {
		t.Run(string(tc.fault), func(t *testing.T) {
			skipLong(t, tc.long)
			t.Parallel()
			text := rolloutFleet + "length_s: 130\n"
			playUpgradesWith(t, text, playOptions{endWithDrive: true}, func(fleet *emulator.RunningRouters) error {
				return tc.rollOut(t, fleet)
			})
		})
	}
}

// rollOut starts the rollout and checks its rollback.
func (tc worseProgram) rollOut(t *testing.T, fleet *emulator.RunningRouters) error {
	var stages []string
	if tc.half {
		stages = []string{"{share: 0.5, watch_s: 80, least_s: 5}", "{share: 1, watch_s: 2, least_s: 2}"}
	}
	if err := writePlan(fleet, faultyProgram(t, tc.fault), stages...); err != nil {
		return err
	}
	if err := startRollout(fleet, 5); err != nil {
		return err
	}
	stop := make(chan struct{})
	defer close(stop)
	go excuseCrashes(fleet, stop)
	if err := expectRolledBack(t, fleet, 110*time.Second, tc.reason); err != nil {
		return err
	}
	inFirstStage := func(router int) bool { return router == 0 || tc.half && router%2 == 0 }
	if err := expectFirstGeneration(t, fleet, inFirstStage); err != nil {
		return err
	}
	status, err := fleet.WaitStatus(0, 20*time.Second, func(status *handoff.Status) bool {
		return status.State == "steady" && status.Serving != nil &&
			strings.HasSuffix(status.Settled.Program, "quilldoor.test")
	})
	if err != nil {
		return err
	}
	t.Logf("router 0 is back at generation %d", status.Serving.Generation)
	return checkHealth(fleet.Listen(0))
}

// excuseCrashes excuses, until stop is closed, the requests that router 0 holds when its
// process dies of a fault.
func excuseCrashes(fleet *emulator.RunningRouters, stop <-chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
			fleet.ExcuseCrash(0)
		}
	}
}

// invariantBreaker is a rollout of a program that breaks an invariant and does no worse
// by it.
type invariantBreaker struct {
	fault    fault
	troubles []string // of the scenario: they give the program occasions to break the rule
	rule     invariant.Rule
	long     bool // skipped unless all tests are asked for
}

// Guards against a program that breaks an invariant and is rolled out because its
// figures are no worse: the supervisor's monitor sees it, and the rollout is undone.
func TestRolloutsOfRuleBreakers(t *testing.T) {
	for _, tc := range []invariantBreaker{
		{
			fault: faultDeafToPurges,
			troubles: []string{
				"{kind: purge, at: 20, share: 1}",
				"{kind: purge, at: 28, share: 1}",
				"{kind: purge, at: 36, share: 1}",
				"{kind: purge, at: 44, share: 1}",
			},
			rule: invariant.RuleStale,
		},
		{
			fault:    faultDeafToDrains,
			troubles: []string{"{kind: deploy, at: 16, for: 1, every: 3, strength: 2}"},
			rule:     invariant.RuleDrained,
			long:     true,
		},
		{
			fault: faultGreedy,
			troubles: []string{
				"{kind: die, at: 20, for: 1, share: 0.4, office: 1}",
				"{kind: die, at: 27, for: 1, share: 0.4, office: 1}",
				"{kind: die, at: 34, for: 1, share: 0.4, office: 1}",
				"{kind: die, at: 41, for: 1, share: 0.4, office: 1}",
			},
			rule: invariant.RuleOverBudget,
			long: true,
		},
	} {
		t.Run(string(tc.fault), func(t *testing.T) {
			skipLong(t, tc.long)
			t.Parallel()
			violations := 0
			allowed := func(violation checker.Violation) bool {
				if violation.Rule != int(tc.rule) || violation.Router != 0 && !tc.overloads() {
					return false
				}
				violations++
				return true
			}
			playUpgradesWith(t, tc.scenario(), playOptions{allowed: allowed, endWithDrive: true}, func(fleet *emulator.RunningRouters) error {
				return tc.rollOut(t, fleet)
			})
			t.Logf("the checker saw %d violations", violations)
			if violations == 0 && !tc.overloads() {
				t.Error("no violation: the test shows nothing")
			}
		})
	}
}

// overloads tells whether the program spends more than its share of a slow start: routers
// beside it then break the rule too, or none does.
func (tc invariantBreaker) overloads() bool { return tc.rule == invariant.RuleOverBudget }

func (tc invariantBreaker) scenario() string {
	text := rolloutFleet + "length_s: 100\ntroubles:\n  - " + strings.Join(tc.troubles, "\n  - ") + "\n"
	if tc.overloads() { // load enough to push a cold endpoint over
		text = strings.Replace(text, "txns_per_s: 240", "txns_per_s: 240, weights: [1.4, 0.8, 0.9, 0.9]", 1)
	}
	return text
}

// rollOut starts the rollout and checks that it is undone for the broken invariant.
func (tc invariantBreaker) rollOut(t *testing.T, fleet *emulator.RunningRouters) error {
	first, _ := fleet.Name(0)
	err := writePlan(fleet, faultyProgram(t, tc.fault),
		"{routers: ["+first+"], watch_s: 60, least_s: 45}", "{share: 1, watch_s: 2, least_s: 2}")
	if err != nil {
		return err
	}
	if err := startRollout(fleet, 5); err != nil {
		return err
	}
	if err := expectRolledBack(t, fleet, 80*time.Second, fmt.Sprintf("breaks rule %d", tc.rule)); err != nil {
		return err
	}
	return expectFirstGeneration(t, fleet, func(router int) bool { return router == 0 })
}
