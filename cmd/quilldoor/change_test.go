package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"quilldoor/internal/emulate"
	"quilldoor/internal/handover"
	"quilldoor/internal/script"
)

// Wrong variants of the program, by QUILLDOOR_FAULT; the shipped binary has none.
func init() {
	fault := os.Getenv("QUILLDOOR_FAULT")
	if fault == "" {
		return
	}
	var hoard [][]byte
	var files []*os.File
	var served atomic.Bool
	wrongly = func(when string, r *router) {
		switch {
		case when == "start" && fault == "no start":
			fmt.Fprintln(os.Stderr, "quilldoor: a fault of a test")
			os.Exit(3)
		case when == "ready" && fault == "never ready":
			time.Sleep(time.Minute)
		case when == "own" && fault == "silent":
			served.Store(true)
		case when == "beat" && fault == "silent" && served.Load():
			time.Sleep(time.Minute)
		case when == "own" && fault == "mute": // it says nothing of what it was told
			time.Sleep(time.Minute)
		case when == "own" && fault == "crash":
			time.AfterFunc(time.Second, func() { os.Exit(3) })
		case when == "own" && fault == "memory":
			served.Store(true)
		case when == "beat" && fault == "memory" && served.Load():
			b := make([]byte, 40<<20)
			for i := range b {
				b[i] = 1
			}
			hoard = append(hoard, b)
		case when == "beat" && fault == "descriptors":
			for range 200 {
				if f, err := os.Open(os.DevNull); err == nil {
					files = append(files, f)
				}
			}
		case when == "start" && fault == "refuses":
			r.set.Zone, r.set.Family.Direct = "nowhere", false
		}
	}
	_ = hoard
	_ = files
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
func changes(t *testing.T, text string, drive func(*emulate.Kept) error) *emulate.Result {
	t.Helper()
	s, err := script.Parse(t.Name(), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	const tries = 3
	for range tries {
		ctx, stop := context.WithTimeout(context.Background(), 3*time.Minute)
		r, err := emulate.Sockets(ctx, s, emulate.Options{Seed: 1}, emulate.Routers{Program: os.Args[0],
			Drive: func(_ context.Context, k *emulate.Kept) error { return drive(k) }})
		stop()
		if r != nil && r.Late > emulate.TooLate {
			t.Logf("the model was %d ms late", r.Late/1000)
			continue
		}
		decided++
		if err != nil {
			t.Fatal(err)
		}
		for _, b := range r.Breaks {
			t.Error(b)
		}
		t.Logf("worth %.4f, %d judged, %d excused, %d refused, %d broken off", r.Worth(), r.Judged, r.Excused, r.Refused, r.Broke)
		if r.Judged < 150 {
			t.Errorf("%d txns: too few to tell anything", r.Judged)
		}
		return r
	}
	notDecided++
	t.Skipf("not decided in %d runs: the machine is too busy", tries)
	return nil
}

const keptFleet = `
settle_s: 0.5
fleet: {offices: 1, routers: 1, trunks: 1, caches: 12, cores: 6, link_share: 0.6, parents: 2, keep: true, trial_s: 0.4, board_ms: 200, death_ms: 500, cold_s: 2}
`

// Changes in a row under load: no connection is refused or broken off, each txn has
// one end, no rule is broken, one generation serves in the end.
func TestChangesInARow(t *testing.T) {
	const many = 15
	r := changes(t, keptFleet+"load: {txns_per_s: 200, objects: 800}\nlength_s: 14\ntroubles:\n  - {kind: deploy, at: 3, for: 1, every: 1, strength: 1}\n  - {kind: purge, at: 5, share: 1}\n  - {kind: cut_board, at: 7, for: 2}\n  - {kind: die, at: 9, for: 1.5, share: 0.25}\n",
		func(k *emulate.Kept) error {
			for i := range many {
				w, err := k.Ask(0, &handover.Word{Kind: handover.Apply})
				if err != nil || !w.OK {
					return fmt.Errorf("change %d: %v, %+v", i, err, w)
				}
			}
			s, err := k.Until(0, 5*time.Second, func(s *handover.Standing) bool { return s.Serving != nil && s.Serving.Part == "serving" })
			if err != nil || s.Settled.Generation != many+1 || s.Restarts != 0 {
				return fmt.Errorf("%v: %+v", err, s)
			}
			t.Logf("%d MB and %d descriptors of all processes at the most", s.MostMB, s.MostFDs)
			return nil
		})
	if r.Refused > 0 || r.Broke > 0 {
		t.Errorf("%d connections refused, %d broken off", r.Refused, r.Broke)
	}
}

// A new generation that is wrong in any way is refused or falls back; the old one
// serves in the end, and says why.
func TestWrongGenerations(t *testing.T) {
	for _, c := range []struct {
		fault, says string
		back, dies  bool
	}{
		{"no start", "has ended", false, false},
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
			r := changes(t, strings.Replace(keptFleet, "trial_s: 0.4", "trial_s: 4", 1)+"load: {txns_per_s: 120, objects: 500}\nlength_s: 5\n", func(k *emulate.Kept) error {
				done := make(chan struct{})
				go func() { // who is killed on trial: what it holds is not its duty
					defer close(done)
					if !c.dies {
						return
					}
					if _, err := k.Until(0, 4*time.Second, func(s *handover.Standing) bool { return s.State == "on trial" || s.State == "handing over" }); err == nil {
						k.Until(0, 4*time.Second, func(s *handover.Standing) bool { k.Crashed(0); return s.State == "steady" })
					}
				}()
				w, err := k.Ask(0, &handover.Word{Kind: handover.Apply, Program: variant(t, c.fault)})
				if err != nil {
					return err
				}
				if w.OK || w.FellBack != c.back || !strings.Contains(w.Note, c.says) {
					return fmt.Errorf("%+v", w)
				}
				s, err := k.Until(0, 2*time.Second, func(s *handover.Standing) bool {
					return s.Serving != nil && s.Serving.Part == "serving" && s.Next == nil
				})
				if err != nil || s.Serving.Generation != 1 || s.Settled.Generation != 1 {
					return fmt.Errorf("%v: %+v", err, s)
				}
				fell = s.LastFallMS
				<-done
				// It can be changed again, and by a good one.
				if w, err = k.Ask(0, &handover.Word{Kind: handover.Back}); err != nil || w.OK {
					return fmt.Errorf("back to nothing: %v, %+v", err, w)
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
func TestKilledAtEachStep(t *testing.T) {
	text := strings.Replace(keptFleet, "trial_s: 0.4", "trial_s: 1.5", 1) + "load: {txns_per_s: 100, objects: 500}\nlength_s: 6\n"
	for _, step := range []string{"warming", "on trial", "steady"} {
		for _, who := range []string{"old", "new", "keeper", "keeper and new", "stop keeper", "stop new", "all"} {
			if step == "steady" && strings.Contains(who, "new") {
				continue // there is none
			}
			t.Run(step+", "+who, func(t *testing.T) {
				t.Parallel()
				changes(t, text, func(k *emulate.Kept) error { return harm(t, k, step, who) })
			})
		}
	}
}

func harm(t *testing.T, k *emulate.Kept, step, who string) error {
	asked := make(chan *handover.Word, 1)
	if step != "steady" {
		go func() {
			w, _ := k.Ask(0, &handover.Word{Kind: handover.Apply})
			asked <- w
		}()
	}
	s, err := k.Until(0, 4*time.Second, func(s *handover.Standing) bool {
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
		if err = syscall.Kill(s.KeeperPID, syscall.SIGSTOP); err == nil {
			time.Sleep(2 * time.Second)
			err = syscall.Kill(s.KeeperPID, syscall.SIGCONT)
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
	s, err = k.Until(0, 5*time.Second, func(s *handover.Standing) bool {
		return s.State == "steady" && s.Serving != nil && s.Serving.Part == "serving" && s.Next == nil
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
		return fmt.Errorf("generation %d serves and %d is settled, %d was to: last %q", s.Serving.Generation, s.Settled.Generation, want, s.Last)
	}
	return serves(k.Listen(0))
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
