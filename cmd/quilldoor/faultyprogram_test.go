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

// fault is what a faulty program does wrong; its text names subtests and goes to the
// program by faultVariable.
type fault string

const (
	faultNoStart      fault = "no start"            // ends at once
	faultNeverReady   fault = "never ready"         // does not become ready
	faultReadyLate    fault = "late to get ready"   // becomes ready half a second after its start
	faultSilent       fault = "silent"              // sends no heartbeat once it serves
	faultMute         fault = "mute"                // does not confirm that it serves
	faultCrash        fault = "crash"               // ends a second after it began to serve
	faultMemory       fault = "memory"              // takes memory fast, once it serves
	faultLeaks        fault = "leaks"               // takes memory slowly
	faultDescriptors  fault = "descriptors"         // takes descriptors
	faultRefuses      fault = "refuses"             // finds no endpoint for any request
	faultNarrow       fault = "narrow"              // rejects requests that it has capacity for
	faultGreedy       fault = "greedy"              // skips the slow start of endpoints
	faultDiesAtWork   fault = "dies at work"        // ends after some requests
	faultHangsAtWork  fault = "hangs at work"       // sends no heartbeat after some requests
	faultSlower       fault = "a fifth slower"      // takes a fifth longer for each attempt
	faultDeafToDrains fault = "deaf to drains"      // sends requests to endpoints that drain
	faultDeafToPurges fault = "deaf to purges"      // serves purged copies
	faultQuietMember  fault = "quiet among members" // sends other members nothing
)

// faultVariable is the environment variable that names the fault of a process.
const faultVariable = "QUILLDOOR_FAULT"

// processConstructor is the constructor for routers of this process: that of a router
// with the fault that faultVariable names, else the shipped one.
func processConstructor() routerConstructor {
	injected := fault(os.Getenv(faultVariable))
	if injected == "" {
		return newRouter
	}
	return func(config *startConfig, logger *logrus.Logger, load loadConfig) (*router, error) {
		return newFaultyRouter(injected, config, logger, load)
	}
}

// newFaultyRouter makes a router with a fault in its settings, in what it hears, or in
// how it deals with its supervisor.
func newFaultyRouter(injected fault, config *startConfig, logger *logrus.Logger, load loadConfig) (*router, error) {
	if injected == faultNoStart {
		fmt.Fprintln(os.Stderr, "quilldoor: a fault of a test")
		os.Exit(3)
	}
	spoilSettings(injected, &config.Settings)
	r, err := newRouter(config, logger, load)
	if err != nil {
		return nil, err
	}
	r.events = &faultyEvents{r.engine, injected}
	r.host = &faultyHost{Host: r.host, router: r, fault: injected, started: time.Now()}
	return r, nil
}

func spoilSettings(injected fault, s *settings.Setup) {
	switch injected {
	case faultNarrow:
		s.Limits.MaxOpen = 1
	case faultGreedy:
		const microsecond = 0.001
		s.Contract.ColdMs, s.FamilyInfo.ParentRampMs = microsecond, microsecond
	case faultRefuses:
		s.Zone, s.FamilyInfo.BypassAllowed = "nowhere", false
	}
}

// faultyEvents ignores, changes or delays what the engine is to hear.
type faultyEvents struct {
	eventHandler
	fault fault
}

func (f *faultyEvents) UpdateEndpoints(now int64, scope policy.UpdateScope, list []engine.Endpoint) []*engine.Endpoint {
	if f.fault == faultDeafToDrains {
		for i := range list {
			list[i].State = "active"
		}
	}
	return f.eventHandler.UpdateEndpoints(now, scope, list)
}

func (f *faultyEvents) Purge(now int64, object string, group, at int64) {
	if f.fault != faultDeafToPurges {
		f.eventHandler.Purge(now, object, group, at)
	}
}

func (f *faultyEvents) AttemptEnded(now int64, attempt *engine.Attempt, result engine.Result) {
	if f.fault != faultSlower {
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
	case faultSilent, faultMemory:
		f.serving.Store(true)
	case faultMute:
		time.Sleep(time.Minute)
	case faultCrash:
		time.AfterFunc(time.Second, func() { os.Exit(3) })
	case faultQuietMember:
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
	case faultSilent:
		if f.serving.Load() {
			time.Sleep(time.Minute)
		}
	case faultMemory:
		if f.serving.Load() {
			f.allocate(40 << 20)
		}
	case faultLeaks:
		f.allocate(2 << 20)
	case faultDescriptors:
		for range 200 {
			if file, err := os.Open(os.DevNull); err == nil {
				f.files = append(f.files, file)
			}
		}
	case faultDiesAtWork:
		if worked() {
			os.Exit(3)
		}
	case faultHangsAtWork:
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
func faultyProgram(t *testing.T, injected fault) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), strings.ReplaceAll(string(injected), " ", "-"))
	text := fmt.Sprintf("#!/bin/sh\nexec env '%s=%s' '%s' \"$@\"\n", faultVariable, injected, os.Args[0])
	if err := os.WriteFile(path, []byte(text), 0o755); err != nil {
		t.Fatal(err)
	}
	return path
}
