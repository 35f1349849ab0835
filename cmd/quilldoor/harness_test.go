package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/semaphore"

	"quilldoor/internal/emulator"
	"quilldoor/internal/scenario"
)

// decidedRuns and undecidedRuns count the scenarios that this test run has decided, and those
// that it has not: the emulator itself was late in each attempt, so that the result may be due
// to the machine.
var decidedRuns, undecidedRuns atomic.Int32

// undecidedExitCode returns an exit code other than 0 if so many scenarios were not decided
// that the test run does not pass.
func undecidedExitCode() int {
	if undecidedRuns.Load() == 0 {
		return 0
	}
	fmt.Fprintf(os.Stderr, "scenarios: %d decided, %d not decided: the machine was too busy\n",
		decidedRuns.Load(), undecidedRuns.Load())
	if 4*undecidedRuns.Load() > decidedRuns.Load() {
		return 1
	}
	return 0
}

// playCapacity limits the scenarios that are played in parallel, by their number of routers. A
// large fleet is played alone, and so are the last attempts at any scenario.
var playCapacity = struct {
	*semaphore.Weighted
	routers int64
}{semaphore.NewWeighted(maxParallelRouters()), maxParallelRouters()}

// maxParallelRouters returns three routers per core, which leave most of it idle.
func maxParallelRouters() int64 { return int64(max(3*runtime.NumCPU(), 8)) }

// playScenario plays a scenario on loopback. A run during which the machine was too busy is not
// decided and is repeated. If no run is decided, the test is counted and skipped.
func playScenario(
	t *testing.T, text string, options emulator.Options, routers emulator.SocketOptions,
) (*emulator.Result, error) {
	t.Helper()
	parsed, err := scenario.Parse(t.Name(), []byte(text))
	if err != nil {
		t.Fatal(err)
	}
	options.Seed = 1
	const maxAttempts, attemptTimeout = 4, 3 * time.Minute
	for attempt := range maxAttempts {
		const largeFleet = 8
		weight := min(int64(parsed.Fleet.Offices*parsed.Fleet.Routers), playCapacity.routers)
		if weight >= largeFleet || attempt >= maxAttempts/2 {
			weight = playCapacity.routers
		}
		if err := playCapacity.Acquire(t.Context(), weight); err != nil {
			t.Fatal(err)
		}
		ctx, stop := context.WithTimeout(context.Background(), attemptTimeout)
		result, err := emulator.RunOnSockets(ctx, parsed, options, routers)
		stop()
		playCapacity.Release(weight)
		if result == nil || result.MaxDelay <= emulator.MaxDelayMicros {
			decidedRuns.Add(1)
			return result, err
		}
		t.Logf("the emulator was %d ms late", result.MaxDelay/1000)
	}
	undecidedRuns.Add(1)
	t.Skipf("not decided in %d runs: the machine is too busy", maxAttempts)
	return nil, nil
}

// playWithOwnProgram plays a scenario with routers that run the test binary.
func playWithOwnProgram(t *testing.T, text string, options emulator.Options) (*emulator.Result, error) {
	t.Helper()
	return playScenario(t, text, options, emulator.SocketOptions{Program: os.Args[0]})
}
