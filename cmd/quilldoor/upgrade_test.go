package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"quilldoor/internal/checker"
	"quilldoor/internal/emulator"
	"quilldoor/internal/engine"
	"quilldoor/internal/handoff"
	"quilldoor/internal/membership"
	"quilldoor/internal/upstream"
)

// faults are those of a faulty variant of the program, by QUILLDOOR_FAULT; the shipped
// binary has none.
type faults struct {
	name   string
	served atomic.Bool
	memory [][]byte   // held for ever
	files  []*os.File // never closed
}

func init() {
	if name := os.Getenv("QUILLDOOR_FAULT"); name != "" {
		testFaults = &faults{name: name}
	}
}

func (f *faults) hearEndpoints(list []engine.Endpoint) {
	if f.name == "deaf to drains" {
		for i := range list {
			list[i].State = "active"
		}
	}
}

func (f *faults) ignoresPurges() bool { return f.name == "deaf to purges" }

func (f *faults) wrapResults(handle upstream.ResultFunc) upstream.ResultFunc {
	if f.name != "a fifth slower" {
		return handle
	}
	return func(attempt *engine.Attempt, result engine.Result) {
		delay := time.Duration(time.Now().UnixMicro()-attempt.DecidedAt) * time.Microsecond / 5
		time.AfterFunc(delay, func() { handle(attempt, result) })
	}
}

func (f *faults) at(stage lifecycleStage, r *router) {
	switch stage {
	case stageStart:
		f.atStart(r)
	case stageReady:
		if f.name == "never ready" {
			time.Sleep(time.Minute)
		}
	case stageServing:
		f.atServing(r)
	case stageHeartbeat:
		f.atHeartbeat(r)
	}
}

func (f *faults) atStart(r *router) {
	switch f.name {
	case "no start":
		fmt.Fprintln(os.Stderr, "quilldoor: a fault of a test")
		os.Exit(3)
	case "narrow": // rejects what it could do
		r.policy.Limits.MaxOpenRequests = 1
	case "greedy": // takes warming endpoints for warm
		r.policy.Contract.SlowStartFor, r.policy.Hierarchy.ParentSlowStartFor = 1, 1
	case "refuses":
		r.policy.Zone, r.policy.Hierarchy.CacheBypass = "nowhere", false
	}
}

func (f *faults) atServing(r *router) {
	switch f.name {
	case "silent", "memory":
		f.served.Store(true)
	case "mute": // it does not report what it was told
		time.Sleep(time.Minute)
	case "crash":
		time.AfterFunc(time.Second, func() { os.Exit(3) })
	case "quiet among members":
		if r.membership != nil {
			r.membership.Close()
			r.membership = nil
		}
	}
}

func (f *faults) atHeartbeat(r *router) {
	worked := func() bool { return r.downstream.RequestCounts().Completed > 60 }
	switch f.name {
	case "silent":
		if f.served.Load() {
			time.Sleep(time.Minute)
		}
	case "memory":
		if f.served.Load() {
			f.hold(40 << 20)
		}
	case "leaks":
		f.hold(2 << 20)
	case "descriptors":
		for range 200 {
			if file, err := os.Open(os.DevNull); err == nil {
				f.files = append(f.files, file)
			}
		}
	case "dies at work":
		if worked() {
			os.Exit(3)
		}
	case "hangs at work":
		if worked() {
			time.Sleep(time.Hour)
		}
	}
}

// hold takes memory that is really used.
func (f *faults) hold(bytes int) {
	b := make([]byte, bytes)
	for i := range b {
		b[i] = 1
	}
	f.memory = append(f.memory, b)
}

// variant is a program that is wrong in one way.
func variant(t *testing.T, fault string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), strings.ReplaceAll(fault, " ", "-"))
	text := fmt.Sprintf("#!/bin/sh\nexec env 'QUILLDOOR_FAULT=%s' '%s' \"$@\"\n", fault, os.Args[0])
	if err := os.WriteFile(path, []byte(text), 0o755); err != nil {
		t.Fatal(err)
	}
	return path
}

// changes plays a script with kept routers while drive has its way with them.
func changes(t *testing.T, text string, drive func(*emulator.Kept) error) *emulator.Result {
	t.Helper()
	return changesBut(t, text, played{}, drive)
}

// played is how a script is, besides.
type played struct {
	may  func(checker.Violation) bool // rules that may be broken: a wrong program is tested for it
	ends bool                         // clients come no longer than drive takes
}

func changesBut(t *testing.T, text string, how played, drive func(*emulator.Kept) error) *emulator.Result {
	t.Helper()
	r, err := play(t, text, emulator.Options{}, emulator.Routers{
		Program: os.Args[0], EndWithDrive: how.ends,
		Drive: func(_ context.Context, k *emulator.Kept) error { return drive(k) },
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, b := range r.Breaks {
		if how.may == nil || !how.may(b) {
			t.Error(b)
		}
	}
	t.Logf("worth %.4f, %d judged, %d excused, %d refused, %d broken off", r.Worth(), r.Judged, r.Excused, r.Refused, r.Broke)
	if r.Judged < 150 {
		t.Errorf("%d txns: too few to tell anything", r.Judged)
	}
	return r
}

const keptFleet = `
settle_s: 0.5
fleet: {offices: 1, routers: 1, trunks: 1, caches: 12, cores: 6, link_share: 0.6, parents: 2, keep: true, trial_s: 0.4, board_ms: 200, death_ms: 500, cold_s: 2}
`

// Changes in a row under load: no connection is refused or broken off, each txn has
// one end, no rule is broken, one generation serves in the end.
func TestUpgradesInARow(t *testing.T) {
	t.Parallel()
	const many = 15
	r := changes(t, keptFleet+"load: {txns_per_s: 200, objects: 800}\nlength_s: 14\ntroubles:\n  - {kind: deploy, at: 3, for: 1, every: 1, strength: 1}\n  - {kind: purge, at: 5, share: 1}\n  - {kind: cut_board, at: 7, for: 2}\n  - {kind: die, at: 9, for: 1.5, share: 0.25}\n",
		func(k *emulator.Kept) error {
			for i := range many {
				w, err := k.Ask(0, &handoff.Message{Kind: handoff.KindApply})
				if err != nil {
					return fmt.Errorf("change %d: %w", i, err)
				}
				if !w.OK {
					return fmt.Errorf("change %d: %+v", i, w)
				}
			}
			s, err := k.Until(0, 5*time.Second, func(s *handoff.Status) bool { return s.Serving != nil && s.Serving.AgentState == "serving" })
			if err != nil {
				return err
			}
			if s.Settled.Generation != many+1 || s.Restarts != 0 {
				return fmt.Errorf("status %+v", s)
			}
			t.Logf("%d MB and %d descriptors of all processes at the most", s.PeakMB, s.PeakDescriptors)
			return nil
		})
	if r.Refused > 0 || r.Broke > 0 {
		t.Errorf("%d connections refused, %d broken off", r.Refused, r.Broke)
	}
}

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
			var fell int64
			r := changes(t, strings.Replace(keptFleet, "trial_s: 0.4", "trial_s: 4", 1)+"load: {txns_per_s: 120, objects: 500}\nlength_s: 5\n", func(k *emulator.Kept) error {
				done := make(chan struct{})
				go func() { // who is killed on trial: what it holds is not its duty
					defer close(done)
					if !c.dies {
						return
					}
					if _, err := k.Until(0, 4*time.Second, func(s *handoff.Status) bool { return s.State == "on trial" || s.State == "handing over" }); err == nil {
						// That it did not settle shows in what the test looks at next.
						_, _ = k.Until(0, 4*time.Second, func(s *handoff.Status) bool { k.Crashed(0); return s.State == "steady" })
					}
				}()
				w, err := k.Ask(0, &handoff.Message{Kind: handoff.KindApply, Program: variant(t, c.fault)})
				if err != nil {
					return err
				}
				if w.OK || w.FellBack != c.back || !strings.Contains(w.Note, c.says) {
					return fmt.Errorf("%+v", w)
				}
				s, err := k.Until(0, 2*time.Second, func(s *handoff.Status) bool {
					return s.Serving != nil && s.Serving.AgentState == "serving" && s.Next == nil
				})
				if err != nil {
					return err
				}
				if s.Serving.Generation != 1 || s.Settled.Generation != 1 {
					return fmt.Errorf("status %+v", s)
				}
				fell = s.LastCrashMS
				<-done
				// It can be changed again, and by a good one.
				if w, err = k.Ask(0, &handoff.Message{Kind: handoff.KindRollBack}); err != nil {
					return fmt.Errorf("back to nothing: %w", err)
				}
				if w.OK {
					return fmt.Errorf("back to nothing: %+v", w)
				}
				return nil
			})
			t.Logf("back after %d ms", fell)
			if r.Refused > 0 || !c.dies && r.Broke > 0 {
				t.Errorf("%d connections refused, %d broken off", r.Refused, r.Broke)
			}
			if c.back && fell > 500 {
				t.Errorf("served again %d ms after the end of the new one", fell)
			}
		})
	}
}

// Processes killed and stopped at each step of a change: one generation serves in
// the end, the old one unless the new one was settled.
func TestProcessKilledAtEachUpgradeStep(t *testing.T) {
	t.Parallel()
	text := strings.Replace(keptFleet, "trial_s: 0.4", "trial_s: 1.5", 1) + "load: {txns_per_s: 100, objects: 500}\nlength_s: 12\n"
	for _, step := range []string{"warming", "on trial", "steady"} {
		for _, who := range []string{"old", "new", "keeper", "keeper and new", "stop keeper", "stop new", "all"} {
			if step == "steady" && strings.Contains(who, "new") {
				continue // there is none
			}
			t.Run(step+", "+who, func(t *testing.T) {
				t.Parallel()
				changesBut(t, text, played{ends: true}, func(k *emulator.Kept) error {
					least := time.After(3 * time.Second) // of load
					err := harm(t, k, step, who)
					<-least
					return err
				})
			})
		}
	}
}

func harm(_ *testing.T, k *emulator.Kept, step, who string) error {
	asked := make(chan *handoff.Message, 1)
	if step != "steady" {
		go func() {
			w, _ := k.Ask(0, &handoff.Message{Kind: handoff.KindApply})
			asked <- w
		}()
	}
	s, err := k.Until(0, 4*time.Second, func(s *handoff.Status) bool {
		return s.State == step && s.Serving != nil && (step == "steady" || s.Next != nil)
	})
	if err != nil {
		return err
	}
	var next int
	if s.Next != nil {
		next = s.Next.PID
	}
	kill := func(pid int) error { return k.Signal(0, pid, syscall.SIGKILL) }
	keeperGone := strings.Contains(who, "keeper") && !strings.Contains(who, "stop") || who == "all"
	switch who {
	case "old":
		err = kill(s.Serving.PID)
	case "new":
		err = kill(next)
	case "keeper":
		err = k.KillKeeper(0)
	case "keeper and new":
		err = errors.Join(k.KillKeeper(0), kill(next))
	case "all":
		err = errors.Join(k.KillKeeper(0), kill(s.Serving.PID))
		if next != 0 {
			err = errors.Join(err, kill(next))
		}
	case "stop keeper":
		if err = syscall.Kill(s.SupervisorPID, syscall.SIGSTOP); err == nil {
			time.Sleep(2 * time.Second)
			err = syscall.Kill(s.SupervisorPID, syscall.SIGCONT)
		}
	case "stop new":
		k.Crashed(0) // it may hold some, and is killed for its silence
		err = syscall.Kill(next, syscall.SIGSTOP)
	}
	if err != nil {
		return err
	}
	if keeperGone {
		time.Sleep(700 * time.Millisecond) // longer than a generation yields
		if who != "all" {
			if err := serves(k.Listen(0)); err != nil {
				return fmt.Errorf("without a keeper: %w", err)
			}
		}
		if err := k.StartKeeper(0); err != nil {
			return err
		}
	}
	s, err = k.Until(0, 5*time.Second, func(s *handoff.Status) bool {
		return s.State == "steady" && s.Serving != nil && s.Serving.AgentState == "serving" && s.Next == nil
	})
	if err != nil {
		return err
	}
	want := uint64(1)
	switch {
	case step == "on trial" && (who == "old" || who == "stop keeper"): // the new one does well
		want = 2
	case step == "warming" && who == "stop keeper":
		want = 2 // it goes on when it wakes
	}
	if s.Serving.Generation != want || s.Settled.Generation != want {
		return fmt.Errorf("generation %d serves and %d is settled, %d was to: last %q", s.Serving.Generation, s.Settled.Generation, want, s.LastOutcome)
	}
	return serves(k.Listen(0))
}

// Four routers of two sites with all that one process of a router owns: members, a
// gateway, a disk tier, a metrics file. Each is changed three times, all at once,
// while a purge comes and the sites are cut: the others hold each for one member that
// never went, the folder is nobody's twice, every txn has one end.
func TestUpgradeHandsEverythingOver(t *testing.T) {
	t.Parallel()
	r := changes(t, `
settle_s: 1
length_s: 13
fleet: {offices: 2, routers: 2, trunks: 2, caches: 3, cores: 4, keep: true, trial_s: 1, members: true, sites: 2, site_ms: 5, disk_mb: 32, board_ms: 200, link_share: 0.3}
load: {txns_per_s: 80, objects: 600, weights: [2, 0.5]}
troubles:
  - {kind: purge, at: 5, share: 0.6}
  - {kind: site_cut, at: 6, for: 0.7}
  - {kind: cut_board, at: 4, for: 2, share: 0.5}
`, func(k *emulator.Kept) error {
		time.Sleep(2 * time.Second) // they know each other
		before := make([]*membership.View, k.Count())
		for i := range before {
			var err error
			if before[i], err = k.View(i); err != nil {
				return err
			}
		}
		ends := make(chan error, k.Count())
		for i := range k.Count() {
			go func() {
				for n := range 3 {
					w, err := k.Ask(i, &handoff.Message{Kind: handoff.KindApply})
					if err != nil {
						ends <- fmt.Errorf("router %d, change %d: %w", i, n, err)
						return
					}
					if !w.OK {
						ends <- fmt.Errorf("router %d, change %d: %+v", i, n, w)
						return
					}
				}
				ends <- nil
			}()
		}
		for range k.Count() {
			if err := <-ends; err != nil {
				return err
			}
		}
		time.Sleep(time.Second)
		for i := range before {
			v, err := k.View(i)
			if err != nil {
				return err
			}
			if v.Self.ID != before[i].Self.ID || v.Self.Process == nil || v.Self.Process.Generation != 4 {
				t.Errorf("router %d was life %v and is %v, %+v", i, before[i].Self.ID, v.Self.ID, v.Self.Process)
			}
			for _, s := range v.Members {
				if s.State != membership.StateAlive || s.Process == nil || s.Process.Generation != 4 || s.Process.Settings != v.Self.Process.Settings {
					t.Errorf("router %d holds %s %v, %+v", i, s.Name, s.State, s.Process)
				}
			}
			text, err := os.ReadFile(k.Log(i))
			if err != nil {
				return err
			}
			for _, bad := range []string{"disk cache off", "member dead", "member left", "this one keeps quiet", "level=error"} {
				if strings.Contains(string(text), bad) {
					t.Errorf("router %d has logged %q", i, bad)
				}
			}
			if got := strings.Count(string(text), "disk cache recovered"); got != 4 {
				t.Errorf("router %d: its folder was opened %d times", i, got)
			}
		}
		return nil
	})
	if r.Refused > 0 || r.Broke > 0 {
		t.Errorf("%d connections refused, %d broken off", r.Refused, r.Broke)
	}
	if r.Members.CalledDead > 0 {
		t.Errorf("called dead: %v", r.Members.DeadByAll)
	}
}

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
	changes(t, keptFleet+"load: {txns_per_s: 60, objects: 500}\nlength_s: 8\n", func(k *emulator.Kept) error {
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
			from, to := k.Operator(0), &w.Operator
			if c.config {
				from, to = k.Config(0), &w.Config
			}
			path, err := edit(from, c.old, c.new)
			if err != nil {
				return err
			}
			*to = path
			got, err := k.Ask(0, w)
			if err != nil {
				return fmt.Errorf("%s: %w", c.what, err)
			}
			if got.OK != c.ok || !strings.Contains(got.Note, c.says) {
				t.Errorf("%s: %+v", c.what, got)
			}
			if s, err := k.Standing(0); err != nil || s.Settled.Generation != c.settled {
				t.Errorf("%s: %v, %+v", c.what, err, s)
			}
		}
		// Two at once: one goes on, the other is refused.
		first := make(chan *handoff.Message, 1)
		go func() {
			w, _ := k.Ask(0, &handoff.Message{Kind: handoff.KindApply})
			first <- w
		}()
		if _, err := k.Until(0, 3*time.Second, func(s *handoff.Status) bool { return s.State != "steady" }); err != nil {
			return err
		}
		if w, err := k.Ask(0, &handoff.Message{Kind: handoff.KindApply}); err != nil || w.OK || !strings.Contains(w.Note, "refused") {
			t.Errorf("the second: %v, %+v", err, w)
		}
		// Back while it is on trial.
		if _, err := k.Until(0, 3*time.Second, func(s *handoff.Status) bool { return s.State == "on trial" }); err != nil {
			return err
		}
		if w, err := k.Ask(0, &handoff.Message{Kind: handoff.KindRollBack}); err != nil || !w.FellBack {
			t.Errorf("back: %v, %+v", err, w)
		}
		if w := <-first; w == nil || !w.FellBack {
			t.Errorf("the first: %+v", w)
		}
		// A second keeper; a folder that takes no copies; a state file that can't be put.
		cmd := exec.Command(os.Args[0], "keep", "--config", k.Config(0), "--operator", k.Operator(0))
		cmd.Env = append(os.Environ(), "QUILLDOOR_TEST_MAIN=1")
		if out, err := cmd.CombinedOutput(); err == nil || !strings.Contains(string(out), "another keeper") {
			t.Errorf("a second keeper: %v, %s", err, out)
		}
		if err := os.WriteFile(filepath.Join(k.Folder(0), "9"), nil, 0o600); err != nil {
			return err
		}
		if w, err := k.Ask(0, &handoff.Message{Kind: handoff.KindApply}); err != nil || w.OK || w.FellBack {
			t.Errorf("no room for copies: %v, %+v", err, w)
		}
		state := filepath.Join(k.Folder(0), "state.json")
		if err := errors.Join(os.Remove(state), os.MkdirAll(filepath.Join(state, "x"), 0o700)); err != nil {
			return err
		}
		if w, err := k.Ask(0, &handoff.Message{Kind: handoff.KindApply}); err != nil || !w.OK || !strings.Contains(w.Note, "could not be written") {
			t.Errorf("no state file: %v, %+v", err, w)
		}
		s, err := k.Standing(0)
		if err != nil || s.Persistent || s.Settled.Generation != 10 {
			t.Errorf("%v, %+v", err, s)
		}
		// SIGHUP to the keeper reaches the generation.
		if err := syscall.Kill(s.SupervisorPID, syscall.SIGHUP); err != nil {
			return err
		}
		for end := time.Now().Add(2 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			text, err := os.ReadFile(k.Log(0))
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
		return serves(k.Listen(0))
	})
}

// serves asks a router's health.
func serves(listen string) error {
	c, err := dialHTTP(listen)
	if err != nil {
		return err
	}
	if c != 200 {
		return fmt.Errorf("health: %d", c)
	}
	return nil
}

func dialHTTP(listen string) (int, error) {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := client.Get("http://" + listen + "/health")
	if err != nil {
		return 0, err
	}
	res.Body.Close()
	return res.StatusCode, nil
}
