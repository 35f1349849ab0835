package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/engine"
	"quilldoor/internal/handoff"
	"quilldoor/internal/policy"
	"quilldoor/internal/settings"
	"quilldoor/internal/upgradeagent"
)

// processConstructor is the constructor for routers of this process: that of a router
// with the fault that QUILLDOOR_FAULT names, else the shipped one.
func processConstructor() routerConstructor {
	fault := os.Getenv("QUILLDOOR_FAULT")
	if fault == "" {
		return newRouter
	}
	return func(config *startConfig, logger *logrus.Logger, load loadConfig) (*router, error) {
		return newFaultyRouter(fault, config, logger, load)
	}
}

// newFaultyRouter makes a router with a fault in its settings, in what it hears, or in
// how it deals with its supervisor.
func newFaultyRouter(fault string, config *startConfig, logger *logrus.Logger, load loadConfig) (*router, error) {
	if fault == "no start" {
		fmt.Fprintln(os.Stderr, "quilldoor: a fault of a test")
		os.Exit(3)
	}
	spoilSettings(fault, &config.Settings)
	r, err := newRouter(config, logger, load)
	if err != nil {
		return nil, err
	}
	r.events = &faultyEvents{r.engine, fault}
	r.host = &faultyHost{Host: r.host, router: r, fault: fault, started: time.Now()}
	return r, nil
}

func spoilSettings(fault string, s *settings.Setup) {
	switch fault {
	case "narrow": // rejects requests that it has capacity for
		s.Limits.MaxOpen = 1
	case "greedy": // skips the slow start of endpoints
		const microsecond = 0.001
		s.Contract.ColdMs, s.FamilyInfo.ParentRampMs = microsecond, microsecond
	case "refuses":
		s.Zone, s.FamilyInfo.BypassAllowed = "nowhere", false
	}
}

// faultyEvents ignores, changes or delays what the engine is to hear.
type faultyEvents struct {
	eventHandler
	fault string
}

func (f *faultyEvents) UpdateEndpoints(now int64, scope policy.UpdateScope, list []engine.Endpoint) []*engine.Endpoint {
	if f.fault == "deaf to drains" {
		for i := range list {
			list[i].State = "active"
		}
	}
	return f.eventHandler.UpdateEndpoints(now, scope, list)
}

func (f *faultyEvents) Purge(now int64, object string, group, at int64) {
	if f.fault != "deaf to purges" {
		f.eventHandler.Purge(now, object, group, at)
	}
}

func (f *faultyEvents) AttemptEnded(now int64, attempt *engine.Attempt, result engine.Result) {
	if f.fault != "a fifth slower" {
		f.eventHandler.AttemptEnded(now, attempt, result)
		return
	}
	delay := time.Duration(now-attempt.DecidedAt) * time.Microsecond / 5
	time.AfterFunc(delay, func() { f.eventHandler.AttemptEnded(clock(), attempt, result) })
}

// faultyHost fails at what its supervisor asks.
type faultyHost struct {
	upgradeagent.Host
	router  *router
	fault   string
	started time.Time
	serving atomic.Bool
	memory  [][]byte   // never released
	files   []*os.File // never closed
}

func (f *faultyHost) Ready() bool {
	switch f.fault {
	case "never ready":
		time.Sleep(time.Minute)
	case "late to get ready":
		const lateness = 500 * time.Millisecond
		if time.Since(f.started) < lateness {
			return false
		}
	}
	return f.Host.Ready()
}

func (f *faultyHost) Acquire(state *handoff.State, own, budgetsMaybeSpent bool) error {
	if err := f.Host.Acquire(state, own, budgetsMaybeSpent); err != nil {
		return err
	}
	switch f.fault {
	case "silent", "memory":
		f.serving.Store(true)
	case "mute": // does not confirm that it serves
		time.Sleep(time.Minute)
	case "crash":
		time.AfterFunc(time.Second, func() { os.Exit(3) })
	case "quiet among members":
		f.leaveSilently()
	}
	return nil
}

// leaveSilently closes the membership, which changes only while discovery is not watched.
func (f *faultyHost) leaveSilently() {
	if f.router.membership == nil {
		return
	}
	f.router.stopWatching()
	defer f.router.watchDiscovery()
	f.router.membership.Close()
	f.router.membership = nil
}

func (f *faultyHost) Heartbeat() *handoff.Message {
	f.failAtHeartbeat()
	return f.Host.Heartbeat()
}

func (f *faultyHost) failAtHeartbeat() {
	worked := func() bool { return f.router.downstream.RequestCounts().Completed > 60 }
	switch f.fault {
	case "silent":
		if f.serving.Load() {
			time.Sleep(time.Minute)
		}
	case "memory":
		if f.serving.Load() {
			f.allocate(40 << 20)
		}
	case "leaks":
		f.allocate(2 << 20)
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

// allocate holds memory, written to so that it is resident.
func (f *faultyHost) allocate(bytes int) {
	b := make([]byte, bytes)
	for i := range b {
		b[i] = 1
	}
	f.memory = append(f.memory, b)
}

// faultyProgram is a program with one fault.
func faultyProgram(t *testing.T, fault string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), strings.ReplaceAll(fault, " ", "-"))
	text := fmt.Sprintf("#!/bin/sh\nexec env 'QUILLDOOR_FAULT=%s' '%s' \"$@\"\n", fault, os.Args[0])
	if err := os.WriteFile(path, []byte(text), 0o755); err != nil {
		t.Fatal(err)
	}
	return path
}
