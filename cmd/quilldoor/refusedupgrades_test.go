package main

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"quilldoor/internal/emulator"
	"quilldoor/internal/handoff"
)

// What a change is asked for and can't be, is live, or finds the folder harmed: it
// says why, and the router serves on.
func TestRefusedUpgrades(t *testing.T) {
	t.Parallel()
	edit := func(path string, old, replacement string) (string, error) {
		text, err := os.ReadFile(path)
		if err != nil {
			return "", err
		}
		if !strings.Contains(string(text), old) {
			return "", fmt.Errorf("no %s in %s", old, path)
		}
		to := filepath.Join(t.TempDir(), "changed")
		return to, os.WriteFile(to, []byte(strings.Replace(string(text), old, replacement, 1)), 0o600)
	}
	playUpgrades(t, supervisedFleet+"load: {txns_per_s: 60, objects: 500}\nlength_s: 8\n", func(fleet *emulator.Kept) error {
		for _, c := range []struct {
			what     string
			config   bool
			old, new string
			ok       bool
			says     string
			settled  uint64
		}{
			{"unknown key", false, "folder:", "colour: red\n  folder:", false, "colour", 1},
			{"folder", false, "folder:", "folder: /nowhere/at/all #", false, "keep.folder", 1},
			{"broken", true, `"settings"`, `"settings`, false, "", 1},
			{"value", true, `"TargetMs":`, `"TargetMs":-`, false, "TargetMs", 1},
			{"flow", true, `"flow_bytes_per_s":`, `"flow_bytes_per_s":1`, true, "is settled", 6},
			{"new name", true, `"name":"n1"`, `"name":"n9"`, true, "", 7}, // the platform's counts: nothing differs
		} {
			w := &handoff.Message{Kind: handoff.KindApply}
			from, to := fleet.Operator(0), &w.Operator
			if c.config {
				from, to = fleet.Config(0), &w.Config
			}
			path, err := edit(from, c.old, c.new)
			if err != nil {
				return err
			}
			*to = path
			got, err := fleet.Ask(0, w)
			if err != nil {
				return fmt.Errorf("%s: %w", c.what, err)
			}
			if got.OK != c.ok || !strings.Contains(got.Note, c.says) {
				t.Errorf("%s: %+v", c.what, got)
			}
			if s, err := fleet.Standing(0); err != nil || s.Settled.Generation != c.settled {
				t.Errorf("%s: %v, %+v", c.what, err, s)
			}
		}
		// Two at once: one goes on, the other is refused.
		first := make(chan *handoff.Message, 1)
		go func() {
			w, _ := fleet.Ask(0, &handoff.Message{Kind: handoff.KindApply})
			first <- w
		}()
		if _, err := fleet.Until(0, 3*time.Second, func(s *handoff.Status) bool { return s.State != "steady" }); err != nil {
			return err
		}
		if w, err := fleet.Ask(0, &handoff.Message{Kind: handoff.KindApply}); err != nil || w.OK || !strings.Contains(w.Note, "refused") {
			t.Errorf("the second: %v, %+v", err, w)
		}
		// Back while it is on trial.
		if _, err := fleet.Until(0, 3*time.Second, func(s *handoff.Status) bool { return s.State == "on trial" }); err != nil {
			return err
		}
		if w, err := fleet.Ask(0, &handoff.Message{Kind: handoff.KindRollBack}); err != nil || !w.FellBack {
			t.Errorf("back: %v, %+v", err, w)
		}
		if w := <-first; w == nil || !w.FellBack {
			t.Errorf("the first: %+v", w)
		}
		// A second keeper; a folder that takes no copies; a state file that can't be put.
		cmd := exec.Command(os.Args[0], "keep", "--config", fleet.Config(0), "--operator", fleet.Operator(0))
		cmd.Env = append(os.Environ(), "QUILLDOOR_TEST_MAIN=1")
		if out, err := cmd.CombinedOutput(); err == nil || !strings.Contains(string(out), "another keeper") {
			t.Errorf("a second keeper: %v, %s", err, out)
		}
		if err := os.WriteFile(filepath.Join(fleet.Folder(0), "9"), nil, 0o600); err != nil {
			return err
		}
		if w, err := fleet.Ask(0, &handoff.Message{Kind: handoff.KindApply}); err != nil || w.OK || w.FellBack {
			t.Errorf("no room for copies: %v, %+v", err, w)
		}
		state := filepath.Join(fleet.Folder(0), "state.json")
		if err := errors.Join(os.Remove(state), os.MkdirAll(filepath.Join(state, "x"), 0o700)); err != nil {
			return err
		}
		if w, err := fleet.Ask(0, &handoff.Message{Kind: handoff.KindApply}); err != nil || !w.OK || !strings.Contains(w.Note, "could not be written") {
			t.Errorf("no state file: %v, %+v", err, w)
		}
		s, err := fleet.Standing(0)
		if err != nil || s.Persistent || s.Settled.Generation != 10 {
			t.Errorf("%v, %+v", err, s)
		}
		// SIGHUP to the keeper reaches the generation.
		if err := syscall.Kill(s.SupervisorPID, syscall.SIGHUP); err != nil {
			return err
		}
		for end := time.Now().Add(2 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			text, err := os.ReadFile(fleet.Log(0))
			if err != nil {
				return err
			}
			if strings.Contains(string(text), "new configuration in force") {
				break
			}
			if time.Now().After(end) {
				return errors.New("no new configuration after SIGHUP")
			}
		}
		return checkHealth(fleet.Listen(0))
	})
}
