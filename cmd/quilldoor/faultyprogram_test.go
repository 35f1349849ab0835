package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"quilldoor/internal/engine"
	"quilldoor/internal/upstream"
)

// faultyRouter injects the fault that QUILLDOOR_FAULT names into the test binary; the
// shipped binary has none.
type faultyRouter struct {
	name    string
	serving atomic.Bool
	memory  [][]byte   // never released
	files   []*os.File // never closed
}

func init() {
	if name := os.Getenv("QUILLDOOR_FAULT"); name != "" {
		testFaults = &faultyRouter{name: name}
	}
}

func (f *faultyRouter) hearEndpoints(list []engine.Endpoint) {
	if f.name == "deaf to drains" {
		for i := range list {
			list[i].State = "active"
		}
	}
}

func (f *faultyRouter) ignoresPurges() bool { return f.name == "deaf to purges" }

func (f *faultyRouter) wrapResults(handle upstream.ResultFunc) upstream.ResultFunc {
	if f.name != "a fifth slower" {
		return handle
	}
	return func(attempt *engine.Attempt, result engine.Result) {
		delay := time.Duration(time.Now().UnixMicro()-attempt.DecidedAt) * time.Microsecond / 5
		time.AfterFunc(delay, func() { handle(attempt, result) })
	}
}

func (f *faultyRouter) at(stage lifecycleStage, r *router) {
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

func (f *faultyRouter) atStart(r *router) {
	switch f.name {
	case "no start":
		fmt.Fprintln(os.Stderr, "quilldoor: a fault of a test")
		os.Exit(3)
	case "narrow": // rejects requests that it has capacity for
		r.policy.Limits.MaxOpenRequests = 1
	case "greedy": // skips the slow start of endpoints
		r.policy.Contract.SlowStartFor, r.policy.Hierarchy.ParentSlowStartFor = 1, 1
	case "refuses":
		r.policy.Zone, r.policy.Hierarchy.CacheBypass = "nowhere", false
	}
}

func (f *faultyRouter) atServing(r *router) {
	switch f.name {
	case "silent", "memory":
		f.serving.Store(true)
	case "mute": // does not confirm that it serves
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

func (f *faultyRouter) atHeartbeat(r *router) {
	worked := func() bool { return r.downstream.RequestCounts().Completed > 60 }
	switch f.name {
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
func (f *faultyRouter) allocate(bytes int) {
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
