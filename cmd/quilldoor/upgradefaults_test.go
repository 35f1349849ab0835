package main

import (
	"errors"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"quilldoor/internal/emulator"
	"quilldoor/internal/handoff"
)

// faultyGeneration is an upgrade to a faulty program, with the outcome that it must have.
type faultyGeneration struct {
	fault     fault
	reason    string // in the reply
	fallsBack bool   // after the new generation has served; else the upgrade is refused before
	crashes   bool   // the new process ends or is killed while it holds connections
}

// Guards against a faulty new generation that is settled: the upgrade must be refused or fall
// back with a reason, and the old generation must serve in the end.
func TestFaultyGenerations(t *testing.T) {
	t.Parallel()
	text := strings.Replace(supervisedFleet, "trial_s: 0.4", "trial_s: 4", 1) +
		"load: {txns_per_s: 120, objects: 500}\nlength_s: 5\n"
	for _, tc := range []faultyGeneration{
		{fault: faultNoStart, reason: "has ended"},
		{fault: faultNeverReady},
		{fault: faultNoHeartbeats, reason: "has said nothing for", fallsBack: true, crashes: true},
		{fault: faultNoConfirmation, fallsBack: true, crashes: true},
		{fault: faultCrash, reason: "has ended", fallsBack: true, crashes: true},
		{fault: faultMemory, reason: "memory:", fallsBack: true, crashes: true},
		{fault: faultDescriptors, reason: "descriptors:", fallsBack: true, crashes: true},
		{fault: faultNoEndpoint, reason: "does worse", fallsBack: true},
	} {
		t.Run(string(tc.fault), func(t *testing.T) {
			t.Parallel()
			var recoveryMS int64
			result := playUpgrades(t, text, func(fleet *emulator.RunningRouters) (err error) {
				recoveryMS, err = tc.upgrade(t, fleet)
				return err
			})
			t.Logf("old generation served again after %d ms", recoveryMS)
			if result.RefusedConnections > 0 || !tc.crashes && result.BrokenConnections > 0 {
				t.Errorf("%d connections refused, %d broken off", result.RefusedConnections, result.BrokenConnections)
			}
			if tc.fallsBack && recoveryMS > 500 {
				t.Errorf("served again %d ms after the end of the new one", recoveryMS)
			}
		})
	}
}

// upgrade requests an upgrade to the faulty program. It checks the reply, the generation that
// serves afterwards, and that the supervisor still accepts commands. It returns how long the
// router was without a serving generation.
func (tc faultyGeneration) upgrade(t *testing.T, fleet *emulator.RunningRouters) (recoveryMS int64, err error) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if tc.crashes {
			excuseCrashOnTrial(fleet)
		}
	}()
	reply, err := fleet.CallSupervisor(0, &handoff.Message{Kind: handoff.KindApply, Program: faultyProgram(t, tc.fault)})
	if err != nil {
		return 0, err
	}
	if reply.OK || reply.FellBack != tc.fallsBack || !strings.Contains(reply.Note, tc.reason) {
		return 0, fmt.Errorf("%+v", reply)
	}
	status, err := fleet.WaitStatus(0, 2*time.Second, func(status *handoff.Status) bool {
		return status.Serving != nil && status.Serving.AgentState == "serving" && status.Next == nil
	})
	if err != nil {
		return 0, err
	}
	if status.Serving.Generation != 1 || status.Settled.Generation != 1 {
		return 0, fmt.Errorf("status %+v", status)
	}
	<-done
	// The supervisor still accepts commands. There is no earlier generation to roll back to.
	reply, err = fleet.CallSupervisor(0, &handoff.Message{Kind: handoff.KindRollBack})
	if err != nil {
		return 0, fmt.Errorf("rollback without an earlier generation: %w", err)
	}
	if reply.OK {
		return 0, fmt.Errorf("rollback without an earlier generation: %+v", reply)
	}
	return status.LastCrashMS, nil
}

// excuseCrashOnTrial excuses the requests that a new generation holds when it crashes on trial.
func excuseCrashOnTrial(fleet *emulator.RunningRouters) {
	onTrial := func(status *handoff.Status) bool {
		return status.State == "on trial" || status.State == "handing over"
	}
	if _, err := fleet.WaitStatus(0, 4*time.Second, onTrial); err != nil {
		return
	}
	// The caller checks next that the new generation was not settled.
	_, _ = fleet.WaitStatus(0, 4*time.Second, func(status *handoff.Status) bool {
		fleet.ExcuseCrash(0)
		return status.State == "steady"
	})
}

// Guards against a router without a serving generation, or with two, after processes were killed
// or stopped at a step of an upgrade: the old generation must serve in the end unless the new one
// has passed its trial.
func TestProcessKilledAtEachUpgradeStep(t *testing.T) {
	t.Parallel()
	text := strings.Replace(supervisedFleet, "trial_s: 0.4", "trial_s: 1.5", 1) +
		"load: {txns_per_s: 100, objects: 500}\nlength_s: 12\n"
	for _, step := range []string{"warming", "on trial", "steady"} {
		for _, target := range []string{"old", "new", "supervisor", "supervisor and new", "stop supervisor", "stop new", "all"} {
			if step == "steady" && strings.Contains(target, "new") {
				continue // there is no new process
			}
			t.Run(step+", "+target, func(t *testing.T) {
				t.Parallel()
				playUpgradesWith(t, text, playOptions{endWithDrive: true}, func(fleet *emulator.RunningRouters) error {
					minLoadTime := time.After(3 * time.Second)
					err := injectFault(t, fleet, step, target)
					<-minLoadTime
					return err
				})
			})
		}
	}
}

// injectFault kills or stops the target's processes at a step of an upgrade and checks
// which generation serves in the end.
func injectFault(t *testing.T, fleet *emulator.RunningRouters, step, target string) error {
	t.Helper()
	upgrade := &handoff.Message{Kind: handoff.KindApply}
	if step == "warming" { // otherwise it lasts for some 20 ms, which a test on a busy machine may miss
		upgrade.Program = faultyProgram(t, faultReadyLate)
	}
	if step != "steady" {
		// The reply may never come; the generation that serves in the end shows the outcome.
		go func() { _, _ = fleet.CallSupervisor(0, upgrade) }()
	}
	status, err := fleet.WaitStatus(0, 4*time.Second, func(status *handoff.Status) bool {
		return status.State == step && status.Serving != nil && (step == "steady" || status.Next != nil)
	})
	if err != nil {
		return err
	}
	if err := killOrStop(fleet, status, target); err != nil {
		return err
	}
	supervisorKilled := strings.Contains(target, "supervisor") && !strings.Contains(target, "stop") || target == "all"
	if supervisorKilled {
		if err := restartSupervisor(fleet, target != "all"); err != nil {
			return err
		}
	}
	if err := expectSettledGeneration(fleet, generationAfterFault(step, target)); err != nil {
		return err
	}
	return checkHealth(fleet.ClientAddr(0))
}

// killOrStop sends the signals of an injected fault.
func killOrStop(fleet *emulator.RunningRouters, status *handoff.Status, target string) error {
	kill := func(pid int) error { return fleet.Signal(0, pid, syscall.SIGKILL) }
	var next int
	if status.Next != nil {
		next = status.Next.PID
	}
	switch target {
	case "old":
		return kill(status.Serving.PID)
	case "new":
		return kill(next)
	case "supervisor":
		return fleet.KillSupervisor(0)
	case "supervisor and new":
		return errors.Join(fleet.KillSupervisor(0), kill(next))
	case "all":
		err := errors.Join(fleet.KillSupervisor(0), kill(status.Serving.PID))
		if next != 0 {
			err = errors.Join(err, kill(next))
		}
		return err
	case "stop supervisor":
		if err := syscall.Kill(status.SupervisorPID, syscall.SIGSTOP); err != nil {
			return err
		}
		time.Sleep(2 * time.Second)
		return syscall.Kill(status.SupervisorPID, syscall.SIGCONT)
	case "stop new":
		fleet.ExcuseCrash(0) // it may hold requests, and is killed for its missing heartbeats
		return syscall.Kill(next, syscall.SIGSTOP)
	}
	return nil
}

// restartSupervisor starts a killed supervisor again, after an absence that is longer than a
// generation waits for its supervisor before it yields.
func restartSupervisor(fleet *emulator.RunningRouters, generationServes bool) error {
	time.Sleep(700 * time.Millisecond)
	if generationServes {
		if err := checkHealth(fleet.ClientAddr(0)); err != nil {
			return fmt.Errorf("without a supervisor: %w", err)
		}
	}
	return fleet.StartSupervisor(0)
}

// generationAfterFault returns the generation that has to serve in the end.
func generationAfterFault(step, target string) uint64 {
	switch {
	case step == "on trial" && (target == "old" || target == "stop supervisor"): // the new one passes its trial
		return 2
	case step == "warming" && target == "stop supervisor": // the upgrade continues when the supervisor does
		return 2
	}
	return 1
}

// expectSettledGeneration waits for a steady router and checks its generation.
func expectSettledGeneration(fleet *emulator.RunningRouters, want uint64) error {
	status, err := fleet.WaitStatus(0, 5*time.Second, func(status *handoff.Status) bool {
		return status.State == "steady" && status.Serving != nil &&
			status.Serving.AgentState == "serving" && status.Next == nil
	})
	if err != nil {
		return err
	}
	if status.Serving.Generation != want || status.Settled.Generation != want {
		return fmt.Errorf("generation %d serves and %d is settled, want %d: last outcome %q",
			status.Serving.Generation, status.Settled.Generation, want, status.LastOutcome)
	}
	return nil
}
