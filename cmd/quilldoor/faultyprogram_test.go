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

	"quilldoor/internal/clock"
	"quilldoor/internal/engine"
	"quilldoor/internal/handoff"
	"quilldoor/internal/policy"
	"quilldoor/internal/settings"
	"quilldoor/internal/upgradeagent"
)

// fault is the fault of a faulty program. Its text names subtests, and is passed to the program
// in faultVariable.
type fault string

const (
	faultNoStart        fault = "no start"         // exits at once
	faultNeverReady     fault = "never ready"      // does not become ready
	faultReadyLate      fault = "ready late"       // becomes ready half a second after its start
	faultNoHeartbeats   fault = "no heartbeats"    // sends no heartbeats once it serves
	faultNoConfirmation fault = "no confirmation"  // does not confirm that it serves
	faultCrash          fault = "crash"            // exits a second after it began to serve
	faultMemory         fault = "memory"           // allocates memory fast, once it serves
	faultMemoryLeak     fault = "memory leak"      // allocates memory slowly
	faultDescriptors    fault = "descriptors"      // opens files that it never closes
	faultNoEndpoint     fault = "no endpoint"      // finds no endpoint for any request
	faultRejects        fault = "rejects"          // rejects requests that it has capacity for
	faultSkipsSlowStart fault = "skips slow start" // skips the slow start of endpoints
	faultCrashUnderLoad fault = "crash under load" // exits after some requests
	faultHangUnderLoad  fault = "hang under load"  // sends no heartbeats after some requests
	faultSlower         fault = "a fifth slower"   // takes a fifth longer for each attempt
	faultIgnoresDrains  fault = "ignores drains"   // sends requests to endpoints that drain
	faultIgnoresPurges  fault = "ignores purges"   // serves purged copies
	faultSilentMember   fault = "silent member"    // sends nothing to other members
)

// faultVariable is the environment variable that names the fault of a process.
const faultVariable = "QUILLDOOR_FAULT"

// processConstructor returns the constructor for routers of this process: with the fault that
// faultVariable names, else the program's own.
func processConstructor() routerConstructor {
	injected := fault(os.Getenv(faultVariable))
	if injected == "" {
		return newRouter
	}
	return func(config *startConfig, logger *logrus.Logger, load loadConfig) (*router, error) {
		return newFaultyRouter(injected, config, logger, load)
	}
}

// newFaultyRouter constructs a router with a fault in its settings, in its handling of events,
// or in its replies to the supervisor.
func newFaultyRouter(injected fault, config *startConfig, logger *logrus.Logger, load loadConfig) (*router, error) {
	if injected == faultNoStart {
		fmt.Fprintln(os.Stderr, "quilldoor: fault injected by a test")
		os.Exit(3)
	}
	injectSettingsFault(injected, &config.Settings)
	r, err := newRouter(config, logger, load)
	if err != nil {
		return nil, err
	}
	r.events = &faultyEvents{r.engine, injected}
	r.host = &faultyHost{Host: r.host, router: r, fault: injected, started: time.Now()}
	return r, nil
}

// injectSettingsFault changes the settings for a fault that is caused by them.
func injectSettingsFault(injected fault, s *settings.Setup) {
	switch injected {
	case faultRejects:
		s.Limits.MaxOpen = 1
	case faultSkipsSlowStart:
		const microsecond = 0.001
		s.Contract.ColdMs, s.FamilyInfo.ParentRampMs = microsecond, microsecond
	case faultNoEndpoint:
		s.Zone, s.FamilyInfo.BypassAllowed = "nowhere", false
	}
}

// faultyEvents drops, changes or delays events for the engine.
type faultyEvents struct {
	eventHandler
	fault fault
}

func (f *faultyEvents) UpdateEndpoints(now int64, scope policy.UpdateScope, list []engine.Endpoint) []*engine.Endpoint {
	if f.fault == faultIgnoresDrains {
		for i := range list {
			list[i].State = "active"
		}
	}
	return f.eventHandler.UpdateEndpoints(now, scope, list)
}

func (f *faultyEvents) Purge(now int64, object string, group, at int64) {
	if f.fault != faultIgnoresPurges {
		f.eventHandler.Purge(now, object, group, at)
	}
}

func (f *faultyEvents) AttemptEnded(now int64, attempt *engine.Attempt, result engine.Result) {
	if f.fault != faultSlower {
		f.eventHandler.AttemptEnded(now, attempt, result)
		return
	}
	delay := time.Duration(now-attempt.DecidedAt) * time.Microsecond / 5
	time.AfterFunc(delay, func() { f.eventHandler.AttemptEnded(clock.Now(), attempt, result) })
}

// faultyHost fails to carry out requests of its supervisor.
type faultyHost struct {
	upgradeagent.Host
	router  *router
	fault   fault
	started time.Time
	serving atomic.Bool
	memory  [][]byte   // never released
	files   []*os.File // never closed
}

func (f *faultyHost) Ready() bool {
	switch f.fault {
	case faultNeverReady:
		time.Sleep(time.Minute)
	case faultReadyLate:
		const readyDelay = 500 * time.Millisecond
		if time.Since(f.started) < readyDelay {
			return false
		}
	}
	return f.Host.Ready()
}

func (f *faultyHost) Acquire(state *handoff.State, stateIsOwn, budgetsMaybeSpent bool) error {
	if err := f.Host.Acquire(state, stateIsOwn, budgetsMaybeSpent); err != nil {
		return err
	}
	switch f.fault {
	case faultNoHeartbeats, faultMemory:
		f.serving.Store(true)
	case faultNoConfirmation:
		time.Sleep(time.Minute)
	case faultCrash:
		time.AfterFunc(time.Second, func() { os.Exit(3) })
	case faultSilentMember:
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
	hasServed := func() bool { return f.router.downstream.RequestCounts().Completed > 60 }
	switch f.fault {
	case faultNoHeartbeats:
		if f.serving.Load() {
			time.Sleep(time.Minute)
		}
	case faultMemory:
		if f.serving.Load() {
			f.allocate(40 << 20)
		}
	case faultMemoryLeak:
		f.allocate(2 << 20)
	case faultDescriptors:
		for range 200 {
			if file, err := os.Open(os.DevNull); err == nil {
				f.files = append(f.files, file)
			}
		}
	case faultCrashUnderLoad:
		if hasServed() {
			os.Exit(3)
		}
	case faultHangUnderLoad:
		if hasServed() {
			time.Sleep(time.Hour)
		}
	}
}

// allocate allocates memory that is never released, and writes to it so that it is resident.
func (f *faultyHost) allocate(bytes int) {
	block := make([]byte, bytes)
	for i := range block {
		block[i] = 1
	}
	f.memory = append(f.memory, block)
}

// faultyProgram writes a program with one fault, and returns its path.
func faultyProgram(t *testing.T, injected fault) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), strings.ReplaceAll(string(injected), " ", "-"))
	text := fmt.Sprintf("#!/bin/sh\nexec env '%s=%s' '%s' \"$@\"\n", faultVariable, injected, os.Args[0])
	if err := os.WriteFile(path, []byte(text), 0o755); err != nil {
		t.Fatal(err)
	}
	return path
}
