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

// A new generation that is wrong in any way is refused or falls back; the old one
// serves in the end, and says why.
func TestFaultyGenerations(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		fault, says string
		back, dies  bool
	}{
		{"no start", "has ended", false, false},
		{"never ready", "", false, false},
		{"silent", "has said nothing for", true, true},
		{"mute", "", true, true},
		{"crash", "has ended", true, true},
		{"memory", "memory:", true, true},
		{"descriptors", "descriptors:", true, true},
		{"refuses", "does worse", true, false},
	} {
		t.Run(c.fault, func(t *testing.T) {
			t.Parallel()
			var recoveryMS int64
			result := playUpgrades(t, strings.Replace(supervisedFleet, "trial_s: 0.4", "trial_s: 4", 1)+"load: {txns_per_s: 120, objects: 500}\nlength_s: 5\n", func(fleet *emulator.Kept) error {
				done := make(chan struct{})
				go func() { // who is killed on trial: what it holds is not its duty
					defer close(done)
					if !c.dies {
						return
					}
					if _, err := fleet.Until(0, 4*time.Second, func(status *handoff.Status) bool { return status.State == "on trial" || status.State == "handing over" }); err == nil {
						// That it did not settle shows in what the test looks at next.
						_, _ = fleet.Until(0, 4*time.Second, func(status *handoff.Status) bool { fleet.Crashed(0); return status.State == "steady" })
					}
				}()
				reply, err := fleet.Ask(0, &handoff.Message{Kind: handoff.KindApply, Program: faultyProgram(t, c.fault)})
				if err != nil {
					return err
				}
				if reply.OK || reply.FellBack != c.back || !strings.Contains(reply.Note, c.says) {
					return fmt.Errorf("%+v", reply)
				}
				status, err := fleet.Until(0, 2*time.Second, func(status *handoff.Status) bool {
					return status.Serving != nil && status.Serving.AgentState == "serving" && status.Next == nil
				})
				if err != nil {
					return err
				}
				if status.Serving.Generation != 1 || status.Settled.Generation != 1 {
					return fmt.Errorf("status %+v", status)
				}
				recoveryMS = status.LastCrashMS
				<-done
				// It can be changed again, and by a good one.
				if reply, err = fleet.Ask(0, &handoff.Message{Kind: handoff.KindRollBack}); err != nil {
					return fmt.Errorf("back to nothing: %w", err)
				}
				if reply.OK {
					return fmt.Errorf("back to nothing: %+v", reply)
				}
				return nil
			})
			t.Logf("back after %d ms", recoveryMS)
			if result.Refused > 0 || !c.dies && result.Broke > 0 {
				t.Errorf("%d connections refused, %d broken off", result.Refused, result.Broke)
			}
			if c.back && recoveryMS > 500 {
				t.Errorf("served again %d ms after the end of the new one", recoveryMS)
			}
		})
	}
}

// Processes killed and stopped at each step of a change: one generation serves in
// the end, the old one unless the new one was settled.
func TestProcessKilledAtEachUpgradeStep(t *testing.T) {
	t.Parallel()
	text := strings.Replace(supervisedFleet, "trial_s: 0.4", "trial_s: 1.5", 1) + "load: {txns_per_s: 100, objects: 500}\nlength_s: 12\n"
	for _, step := range []string{"warming", "on trial", "steady"} {
		for _, target := range []string{"old", "new", "keeper", "keeper and new", "stop keeper", "stop new", "all"} {
			if step == "steady" && strings.Contains(target, "new") {
				continue // there is none
			}
			t.Run(step+", "+target, func(t *testing.T) {
				t.Parallel()
				playUpgradesWith(t, text, playOptions{endWithDrive: true}, func(fleet *emulator.Kept) error {
					minLoadTime := time.After(3 * time.Second) // of load
					err := injectFault(t, fleet, step, target)
					<-minLoadTime
					return err
				})
			})
		}
	}
}

func injectFault(_ *testing.T, fleet *emulator.Kept, step, target string) error {
	asked := make(chan *handoff.Message, 1)
	if step != "steady" {
		go func() {
			w, _ := fleet.Ask(0, &handoff.Message{Kind: handoff.KindApply})
			asked <- w
		}()
	}
	s, err := fleet.Until(0, 4*time.Second, func(s *handoff.Status) bool {
		return s.State == step && s.Serving != nil && (step == "steady" || s.Next != nil)
	})
	if err != nil {
		return err
	}
	var next int
	if s.Next != nil {
		next = s.Next.PID
	}
	kill := func(pid int) error { return fleet.Signal(0, pid, syscall.SIGKILL) }
	keeperGone := strings.Contains(target, "keeper") && !strings.Contains(target, "stop") || target == "all"
	switch target {
	case "old":
		err = kill(s.Serving.PID)
	case "new":
		err = kill(next)
	case "keeper":
		err = fleet.KillKeeper(0)
	case "keeper and new":
		err = errors.Join(fleet.KillKeeper(0), kill(next))
	case "all":
		err = errors.Join(fleet.KillKeeper(0), kill(s.Serving.PID))
		if next != 0 {
			err = errors.Join(err, kill(next))
		}
	case "stop keeper":
		if err = syscall.Kill(s.SupervisorPID, syscall.SIGSTOP); err == nil {
			time.Sleep(2 * time.Second)
			err = syscall.Kill(s.SupervisorPID, syscall.SIGCONT)
		}
	case "stop new":
		fleet.Crashed(0) // it may hold some, and is killed for its silence
		err = syscall.Kill(next, syscall.SIGSTOP)
	}
	if err != nil {
		return err
	}
	if keeperGone {
		time.Sleep(700 * time.Millisecond) // longer than a generation yields
		if target != "all" {
			if err := checkHealth(fleet.Listen(0)); err != nil {
				return fmt.Errorf("without a keeper: %w", err)
			}
		}
		if err := fleet.StartKeeper(0); err != nil {
			return err
		}
	}
	s, err = fleet.Until(0, 5*time.Second, func(s *handoff.Status) bool {
		return s.State == "steady" && s.Serving != nil && s.Serving.AgentState == "serving" && s.Next == nil
	})
	if err != nil {
		return err
	}
	want := uint64(1)
	switch {
	case step == "on trial" && (target == "old" || target == "stop keeper"): // the new one does well
		want = 2
	case step == "warming" && target == "stop keeper":
		want = 2 // it goes on when it wakes
	}
	if s.Serving.Generation != want || s.Settled.Generation != want {
		return fmt.Errorf("generation %d serves and %d is settled, %d was to: last %q", s.Serving.Generation, s.Settled.Generation, want, s.LastOutcome)
	}
	return checkHealth(fleet.Listen(0))
}
