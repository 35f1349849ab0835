package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"quilldoor/internal/emulator"
	"quilldoor/internal/handoff"
)

// Guards against an impossible upgrade, a second one at the same time or one in a damaged
// folder that ends without a reason or stops the router.
func TestRefusedUpgrades(t *testing.T) {
	t.Parallel()
	const text = supervisedFleet + "load: {txns_per_s: 60, objects: 500}\nlength_s: 8\n"
	playUpgrades(t, text, func(fleet *emulator.RunningRouters) error {
		if err := checkEditedFiles(t, fleet); err != nil {
			return err
		}
		if err := checkConcurrentUpgrades(t, fleet); err != nil {
			return err
		}
		checkSecondSupervisor(t, fleet)
		if err := checkUnwritableFolder(t, fleet); err != nil {
			return err
		}
		if err := checkReloadReachesGeneration(fleet); err != nil {
			return err
		}
		return checkHealth(fleet.ClientAddr(0))
	})
}

// editedCopy writes a copy of a file with the first occurrence of old replaced.
func editedCopy(t *testing.T, path, old, replacement string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", err
	}
	if !strings.Contains(string(text), old) {
		return "", fmt.Errorf("%s is not in %s", old, path)
	}
	edited := filepath.Join(t.TempDir(), "changed")
	return edited, os.WriteFile(edited, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600)
}

// checkEditedFiles requests upgrades to edited configurations and operator files.
func checkEditedFiles(t *testing.T, fleet *emulator.RunningRouters) error {
	for _, tc := range []struct {
		name     string
		config   bool // the edited file is the configuration, else the operator's
		old, new string
		ok       bool
		note     string // in the reply
		settled  uint64 // generation afterwards
	}{
		{
			name: "unknown key", old: "folder:", new: "colour: red\n  folder:",
			note: "colour", settled: 1,
		},
		{
			name: "folder", old: "folder:", new: "folder: /nowhere/at/all #",
			note: "keep.folder", settled: 1,
		},
		{
			name: "broken", config: true, old: `"settings"`, new: `"settings`,
			settled: 1,
		},
		{
			name: "value", config: true, old: `"TargetMs":`, new: `"TargetMs":-`,
			note: "TargetMs", settled: 1,
		},
		{
			name: "flow", config: true, old: `"flow_bytes_per_s":`, new: `"flow_bytes_per_s":1`,
			ok: true, note: "is settled", settled: 6,
		},
		{ // the platform's counts do not differ between the two names
			name: "new name", config: true, old: `"name":"n1"`, new: `"name":"n9"`,
			ok: true, settled: 7,
		},
	} {
		request := &handoff.Message{Kind: handoff.KindApply}
		original, edited := fleet.OperatorPath(0), &request.Operator
		if tc.config {
			original, edited = fleet.ConfigPath(0), &request.Config
		}
		path, err := editedCopy(t, original, tc.old, tc.new)
		if err != nil {
			return err
		}
		*edited = path
		reply, err := fleet.CallSupervisor(0, request)
		if err != nil {
			return fmt.Errorf("%s: %w", tc.name, err)
		}
		if reply.OK != tc.ok || !strings.Contains(reply.Note, tc.note) {
			t.Errorf("%s: %+v", tc.name, reply)
		}
		if status, err := fleet.Status(0); err != nil || status.Settled.Generation != tc.settled {
			t.Errorf("%s: %v, %+v", tc.name, err, status)
		}
	}
	return nil
}

// checkConcurrentUpgrades requests an upgrade while another one runs, which is refused, and a
// rollback during the trial of the first one.
func checkConcurrentUpgrades(t *testing.T, fleet *emulator.RunningRouters) error {
	first := make(chan *handoff.Message, 1)
	go func() {
		reply, _ := fleet.CallSupervisor(0, &handoff.Message{Kind: handoff.KindApply})
		first <- reply
	}()
	upgrading := func(status *handoff.Status) bool { return status.State != "steady" }
	if _, err := fleet.WaitStatus(0, 3*time.Second, upgrading); err != nil {
		return err
	}
	reply, err := fleet.CallSupervisor(0, &handoff.Message{Kind: handoff.KindApply})
	if err != nil || reply.OK || !strings.Contains(reply.Note, "refused") {
		t.Errorf("second upgrade: %v, %+v", err, reply)
	}
	onTrial := func(status *handoff.Status) bool { return status.State == "on trial" }
	if _, err := fleet.WaitStatus(0, 3*time.Second, onTrial); err != nil {
		return err
	}
	if reply, err := fleet.CallSupervisor(0, &handoff.Message{Kind: handoff.KindRollBack}); err != nil || !reply.FellBack {
		t.Errorf("rollback on trial: %v, %+v", err, reply)
	}
	if reply := <-first; reply == nil || !reply.FellBack {
		t.Errorf("first upgrade: %+v", reply)
	}
	return nil
}

// checkSecondSupervisor starts a second supervisor with the same folder.
func checkSecondSupervisor(t *testing.T, fleet *emulator.RunningRouters) {
	second := ownCommand("keep", "--config", fleet.ConfigPath(0), "--operator", fleet.OperatorPath(0))
	output, err := second.CombinedOutput()
	if err == nil || !strings.Contains(string(output), "another supervisor uses this folder") {
		t.Errorf("second supervisor: %v, %s", err, output)
	}
}

// checkUnwritableFolder requests upgrades when the copies of a generation, and then the state
// file, can't be written.
func checkUnwritableFolder(t *testing.T, fleet *emulator.RunningRouters) error {
	if err := os.WriteFile(filepath.Join(fleet.SupervisorDir(0), "9"), nil, 0o600); err != nil {
		return err
	}
	if reply, err := fleet.CallSupervisor(0, &handoff.Message{Kind: handoff.KindApply}); err != nil || reply.OK || reply.FellBack {
		t.Errorf("copies can't be written: %v, %+v", err, reply)
	}
	state := filepath.Join(fleet.SupervisorDir(0), "state.json")
	if err := errors.Join(os.Remove(state), os.MkdirAll(filepath.Join(state, "x"), 0o700)); err != nil {
		return err
	}
	reply, err := fleet.CallSupervisor(0, &handoff.Message{Kind: handoff.KindApply})
	if err != nil || !reply.OK || !strings.Contains(reply.Note, "could not be written") {
		t.Errorf("state file can't be written: %v, %+v", err, reply)
	}
	status, err := fleet.Status(0)
	if err != nil || status.Persistent || status.Settled.Generation != 10 {
		t.Errorf("state file can't be written: %v, %+v", err, status)
	}
	return nil
}

// checkReloadReachesGeneration sends SIGHUP to the supervisor, which makes its generation reload
// the configuration.
func checkReloadReachesGeneration(fleet *emulator.RunningRouters) error {
	status, err := fleet.Status(0)
	if err != nil {
		return err
	}
	if err := syscall.Kill(status.SupervisorPID, syscall.SIGHUP); err != nil {
		return err
	}
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(20 * time.Millisecond) {
		text, err := os.ReadFile(fleet.LogPath(0))
		if err != nil {
			return err
		}
		if strings.Contains(string(text), "new configuration in force") {
			return nil
		}
		if time.Now().After(end) {
			return errors.New("the generation applied no new configuration after SIGHUP")
		}
	}
}
