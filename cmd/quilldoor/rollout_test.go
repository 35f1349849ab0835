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
	return os.WriteFile(fleet.PlanPath(), []byte(plan.String()), 0o600)
}

// waitForRolloutEnd waits for the end of a rollout and returns the newest of the routers'
// states.
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
	return last, errors.Join(fmt.Errorf("the rollout has not ended after %v: %+v", within, last), lastErr)
}

// startRollout starts the rollout at a router, once all routers have read the plan.
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

// waitForLeader waits until one of the routers leads the rollout in its phase "forward".
func waitForLeader(fleet *emulator.RunningRouters, routers []int) (int, error) {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		for _, router := range routers {
			if status, err := fleet.Rollout(router, rollout.CommandNone); err == nil && status.IsLeader && status.Phase == "forward" {
				return router, nil
			}
		}
	}
	return 0, errors.New("no router leads the rollout")
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

// Guards against a rollout of a good program that stops halfway or is rolled back when its
// leader's supervisor is killed, the next leader's is stopped, routers are cut off from each
// other and from discovery, and caches restart cold.
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

// skipLong skips a long test unless QUILLDOOR_ALL requests all tests.
func skipLong(t *testing.T, long bool) {
	t.Helper()
	if long && os.Getenv("QUILLDOOR_ALL") == "" {
		t.Skip("takes a minute: set QUILLDOOR_ALL=1 to run it")
	}
}

// expectRolledBack waits for the end of a rollout and checks that it was rolled back for the
// given reason.
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

// expectFirstGeneration checks that only routers of the first stage were upgraded.
func expectFirstGeneration(t *testing.T, fleet *emulator.RunningRouters, inFirstStage func(router int) bool) error {
	generations, err := servingGenerations(fleet)
	if err != nil {
		return err
	}
	for i, generation := range generations {
		if !inFirstStage(i) && generation != 1 {
			t.Errorf("router %d serves with generation %d", i, generation)
		}
	}
	return nil
}

// worseProgram is a rollout of a program that performs worse than the one that serves.
type worseProgram struct {
	fault  fault
	reason string // of the rollback
	long   bool   // skipped unless QUILLDOOR_ALL requests all tests
	half   bool   // half of each zone is upgraded first, since a small fault shows only on many routers
}

// Guards against a worse program that gets beyond the first stage of its rollout, or is
// left on a router after the rollback.
func TestRolloutsOfWorsePrograms(t *testing.T) {
	for _, tc := range []worseProgram{
		{fault: faultRejects},
		{fault: faultCrashUnderLoad, long: true},
		{fault: faultMemoryLeak, reason: "MB", long: true},
		{fault: faultHangUnderLoad, long: true},
		{fault: faultNoStart, reason: "did not change", long: true},
		{fault: faultSilentMember, reason: "by itself", long: true},
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
	return checkHealth(fleet.ClientAddr(0))
}

// excuseCrashes excuses, until stop is closed, the requests that router 0 holds when its
// process crashes.
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

// invariantViolator is a rollout of a program that violates an invariant and performs no worse
// than the one that serves.
type invariantViolator struct {
	fault    fault
	troubles []string // of the scenario, in which the program violates the rule
	rule     invariant.Rule
	long     bool // skipped unless QUILLDOOR_ALL requests all tests
}

// Guards against a program that violates an invariant and is rolled out because its metrics are
// no worse: the supervisor's monitor has to detect it, and the rollout to be rolled back.
func TestRolloutsOfRuleBreakers(t *testing.T) {
	for _, tc := range []invariantViolator{
		{
			fault: faultIgnoresPurges,
			troubles: []string{
				"{kind: purge, at: 20, share: 1}",
				"{kind: purge, at: 28, share: 1}",
				"{kind: purge, at: 36, share: 1}",
				"{kind: purge, at: 44, share: 1}",
			},
			rule: invariant.RuleStale,
		},
		{
			fault:    faultIgnoresDrains,
			troubles: []string{"{kind: deploy, at: 16, for: 1, every: 3, strength: 2}"},
			rule:     invariant.RuleDrained,
			long:     true,
		},
		{
			fault: faultSkipsSlowStart,
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
			t.Logf("the checker found %d violations", violations)
			if violations == 0 && !tc.overloads() {
				t.Error("the program violated no invariant: the test shows nothing")
			}
		})
	}
}

// overloads reports whether the program exceeds its share of the budget of an endpoint in slow
// start. Then other routers may violate the rule as well, or none does.
func (tc invariantViolator) overloads() bool { return tc.rule == invariant.RuleOverBudget }

func (tc invariantViolator) scenario() string {
	text := rolloutFleet + "length_s: 100\ntroubles:\n  - " + strings.Join(tc.troubles, "\n  - ") + "\n"
	if tc.overloads() { // enough load to exceed the budget of a cold endpoint
		text = strings.Replace(text, "txns_per_s: 240", "txns_per_s: 240, weights: [1.4, 0.8, 0.9, 0.9]", 1)
	}
	return text
}

// rollOut starts the rollout and checks that it is rolled back for the violated invariant.
func (tc invariantViolator) rollOut(t *testing.T, fleet *emulator.RunningRouters) error {
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
