package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"quilldoor/internal/emulator"
	"quilldoor/internal/handoff"
)

// supervisorLink is a link to the program that a supervisor is started with.
type supervisorLink struct{ path string }

// newSupervisorLink makes a link to a program.
func newSupervisorLink(t *testing.T, program string) *supervisorLink {
	t.Helper()
	link := &supervisorLink{filepath.Join(t.TempDir(), "supervisor")}
	if err := os.Symlink(program, link.path); err != nil {
		t.Fatal(err)
	}
	return link
}

// set lets supervisors that are started from now on run a program.
func (l *supervisorLink) set(program string) error {
	return errors.Join(os.Remove(l.path), os.Symlink(program, l.path))
}

// supervisorEnd is how a supervisor ends, and another program's takes its place.
type supervisorEnd struct {
	name    string
	replace func(*emulator.RunningRouters, *supervisorLink, string, *handoff.Status) error
	// losesConnections: the router ends, too, and connections meanwhile are refused or
	// broken off.
	losesConnections bool
}

var supervisorEnds = []supervisorEnd{
	{name: "killed", replace: killAndReplaceSupervisor},
	{name: "ended", replace: endAndReplaceSupervisor, losesConnections: true},
}

// Guards against a supervisor that can't read the folder and the operator's file that a
// supervisor of another version has left, or begins with another generation than the
// settled one, or can't change it. The one before was ended, or was killed and has left
// its router running. All this happens under load, in both orders of the versions.
func TestSupervisorFolderOfEarlierProgram(t *testing.T) {
	t.Parallel()
	for _, programs := range programPairs(t) {
		for _, end := range supervisorEnds {
			t.Run(programs.name+", "+end.name, func(t *testing.T) {
				t.Parallel()
				end.play(t, programs)
			})
		}
	}
}

// play lets a supervisor of the other version take the place of one of the first version.
func (e *supervisorEnd) play(t *testing.T, programs programPair) {
	t.Helper()
	const text = supervisedFleet + "load: {txns_per_s: 100, objects: 500}\nlength_s: 7\n"
	link := newSupervisorLink(t, programs.first)
	result := playWithPrograms(t, text, emulator.SocketOptions{
		Program: link.path,
		Drive: func(_ context.Context, fleet *emulator.RunningRouters) error {
			settled, err := settleBesidePrevious(fleet, programs.first)
			if err != nil {
				return err
			}
			if err := e.replace(fleet, link, programs.other, settled); err != nil {
				return fmt.Errorf("read by %s: %w", programs.other, err)
			}
			_, err = settleBesidePrevious(fleet, programs.other)
			return err
		},
	})
	if !e.losesConnections {
		expectNoneLost(t, result)
	}
}

// settleBesidePrevious upgrades the router to a program, so that the folder names a
// settled generation and a previous one.
func settleBesidePrevious(fleet *emulator.RunningRouters, program string) (*handoff.Status, error) {
	before, err := fleet.Status(0)
	if err != nil {
		return nil, err
	}
	if err := upgradeTo(fleet, 0, program, before.Settled.Generation+1); err != nil {
		return nil, err
	}
	return waitUntilServing(fleet)
}

// waitUntilServing waits until the supervisor has nothing under way and its settled
// generation serves.
func waitUntilServing(fleet *emulator.RunningRouters) (*handoff.Status, error) {
	const timeout = 10 * time.Second
	return fleet.WaitStatus(0, timeout, func(status *handoff.Status) bool {
		return status.State == "steady" && status.Serving != nil && status.Serving.AgentState == "serving"
	})
}

// killAndReplaceSupervisor kills the supervisor, starts another program's and checks that
// it has adopted the process that serves.
func killAndReplaceSupervisor(
	fleet *emulator.RunningRouters, link *supervisorLink, program string, before *handoff.Status,
) error {
	if err := link.set(program); err != nil {
		return err
	}
	if err := fleet.KillSupervisor(0); err != nil {
		return err
	}
	if err := fleet.StartSupervisor(0); err != nil {
		return err
	}
	after, err := checkSettledKept(fleet, program, before)
	if err != nil {
		return err
	}
	if after.Serving.PID != before.Serving.PID {
		return fmt.Errorf("process %d served and was not adopted: %+v", before.Serving.PID, after.Serving)
	}
	return nil
}

// endAndReplaceSupervisor ends the supervisor and its router, and starts another
// program's supervisor.
func endAndReplaceSupervisor(
	fleet *emulator.RunningRouters, link *supervisorLink, program string, before *handoff.Status,
) error {
	if err := link.set(program); err != nil {
		return err
	}
	if err := fleet.Restart(0); err != nil {
		return err
	}
	_, err := checkSettledKept(fleet, program, before)
	return err
}

// checkSettledKept checks that a supervisor runs a program, and serves with the settled
// generation and knows the previous one of the supervisor before it.
func checkSettledKept(
	fleet *emulator.RunningRouters, program string, before *handoff.Status,
) (*handoff.Status, error) {
	after, err := waitUntilServing(fleet)
	if err != nil {
		return nil, err
	}
	if after.SupervisorPID == before.SupervisorPID {
		return nil, fmt.Errorf("supervisor %d still runs", before.SupervisorPID)
	}
	if err := checkRuns(after.SupervisorPID, program); err != nil {
		return nil, fmt.Errorf("supervisor: %w", err)
	}
	if err := checkRuns(after.Serving.PID, before.Settled.Program); err != nil {
		return nil, fmt.Errorf("settled generation: %w", err)
	}
	if *after.Settled != *before.Settled {
		return nil, fmt.Errorf("settled: %+v, was %+v", after.Settled, before.Settled)
	}
	if after.Previous == nil || *after.Previous != *before.Previous {
		return nil, fmt.Errorf("previous: %+v, was %+v", after.Previous, before.Previous)
	}
	return after, checkHealth(fleet.ClientAddr(0))
}

// checkRuns checks that a process runs a program.
func checkRuns(pid int, program string) error {
	running, err := os.Stat(fmt.Sprintf("/proc/%d/exe", pid))
	if err != nil {
		return err
	}
	wanted, err := os.Stat(program)
	if err != nil {
		return err
	}
	if !os.SameFile(running, wanted) {
		return fmt.Errorf("process %d does not run %s", pid, program)
	}
	return nil
}
