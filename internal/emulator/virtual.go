package emulator

import (
	"context"

	"quilldoor/internal/checker"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simfleet"
	"quilldoor/internal/simulation"
)

const (
	// virtualAnswerSlackMicros is the time by which an answer may be later than its deadline on
	// the virtual clock.
	virtualAnswerSlackMicros = 8_000
	// tickMicros is the interval between calls of Options.OnTick.
	tickMicros = 100_000
	// progressSteps is the number of events between checks of the context and of the progress.
	progressSteps = 1024
	// never is a time after the end of every run, in microseconds.
	never = 1 << 62
)

// virtualRun is a run on a virtual clock. It uses only one goroutine.
type virtualRun struct {
	options        Options
	scenario       *scenario.Scenario
	simulation     *simulation.Simulation
	checker        *checker.Checker
	routers        []*virtualRouter
	timers         timerHeap
	wokenRouters   []*virtualRouter                    // routers whose engine's timers have changed
	readyRequests  []*virtualRequest                   // requests for which their engine has commands
	seenPurges     map[int][]simulation.DiscoveryEvent // purges by notified router, recorded if there are several sites
	fleet          *simfleet.Fleet                     // the routers' membership; nil: the scenario has none
	membership     Members
	reportedSecond int64 // the last second for which Options.Progress was called
}

// RunVirtual plays a scenario on a virtual clock. The same scenario and seed give the same result
// on every machine.
func RunVirtual(ctx context.Context, s *scenario.Scenario, options Options) (*Result, error) {
	run := newVirtualRun(s, options)
	if options.onStart != nil {
		options.onStart(run)
	}
	if options.OnTick != nil {
		run.scheduleTick()
	}
	if err := run.play(ctx); err != nil {
		return nil, err
	}
	return run.result(), nil
}

func newVirtualRun(s *scenario.Scenario, options Options) *virtualRun {
	run := &virtualRun{
		options:    options,
		scenario:   s,
		checker:    checker.New(CheckerSettings(s, virtualAnswerSlackMicros)),
		seenPurges: map[int][]simulation.DiscoveryEvent{},
	}
	run.simulation = simulation.New(s, options.Seed, run)
	for i := range run.simulation.Routers() {
		router := &virtualRouter{id: i, nextTimer: never, heapIndex: -1}
		run.routers = append(run.routers, router)
		run.startEngine(router, run.simulation.EndpointList())
	}
	run.runPending()
	run.startMembership()
	return run
}

// scheduleTick schedules the next call of Options.OnTick.
func (v *virtualRun) scheduleTick() {
	v.simulation.After(tickMicros, func() {
		v.options.OnTick(v.simulation.Now())
		v.scheduleTick()
	})
}

// play runs one event after another until the simulation is over.
func (v *virtualRun) play(ctx context.Context) error {
	end := v.simulation.Length()
	for steps := 0; !v.simulation.Done(); steps++ {
		source, now := v.nextEvent()
		if now > end {
			return nil
		}
		v.runEvent(source, now)
		if source == sourceMembership || steps%progressSteps != 0 {
			continue
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		v.reportProgress(now, end)
	}
	return nil
}

// runEvent runs the next event and the actions that the routers decide on in response.
func (v *virtualRun) runEvent(source eventSource, now int64) {
	switch source {
	case sourceMembership:
		v.simulation.AdvanceTo(now)
		v.fleet.RunUntil(now) // payloadHandler calls runPending after each payload
		return
	case sourceTimer:
		v.simulation.AdvanceTo(now)
		v.runTimers(v.timers[0])
	case sourceSimulation:
		v.simulation.Step(now)
	}
	v.runPending()
}

// reportProgress calls Options.Progress once a simulated second.
func (v *virtualRun) reportProgress(now, end int64) {
	second := now / microsPerSecond
	if second <= v.reportedSecond || v.options.Progress == nil {
		return
	}
	v.reportedSecond = second
	v.options.Progress(float64(now)/float64(end), v.simulation.Result.Timeline)
}

// eventSource is the source of a run's next event.
type eventSource int

const (
	sourceSimulation eventSource = iota
	sourceTimer
	sourceMembership
)

// nextEvent returns the source and the time of the next event. Of events at the same time, those
// of the membership run first, then those of the simulation, then the routers' timers.
func (v *virtualRun) nextEvent() (eventSource, int64) {
	now := v.simulation.Next()
	if v.fleet != nil {
		if at := v.fleet.NextEvent(); at <= now && (len(v.timers) == 0 || at <= v.timers[0].nextTimer) {
			return sourceMembership, at
		}
	}
	if len(v.timers) > 0 && v.timers[0].nextTimer < now {
		return sourceTimer, v.timers[0].nextTimer
	}
	return sourceSimulation, now
}

func (v *virtualRun) result() *Result {
	result := &Result{
		Result:      v.simulation.Result,
		Violations:  v.checker.Violations,
		CountByRule: v.checker.CountByRule,
		Judged:      v.checker.Checked,
		LateNotices: v.checker.LateNotices,
		Unsent:      v.checker.Unsent,
		Excused:     v.checker.Excused,
	}
	if v.fleet != nil {
		result.Members = &v.membership
	}
	return result
}

// now is the time on the routers' clock, in microseconds.
func (v *virtualRun) now() int64 { return v.simulation.Now() + epochMicros }

// runPending runs the commands of ready requests and the timers of woken routers until none are
// left. Both lists may grow during the iteration.
func (v *virtualRun) runPending() {
	for len(v.readyRequests) > 0 || len(v.wokenRouters) > 0 {
		for i := 0; i < len(v.readyRequests); i++ {
			request := v.readyRequests[i]
			request.queued = false
			v.runCommands(request, request.engineRequest.TakeCommands())
		}
		v.readyRequests = v.readyRequests[:0]
		for i := 0; i < len(v.wokenRouters); i++ {
			router := v.wokenRouters[i]
			router.wakePending = false
			if router.engine != nil {
				v.runTimers(router)
			}
		}
		v.wokenRouters = v.wokenRouters[:0]
	}
}

// Record passes an entry of the event log to the checker and to Options.Record.
func (v *virtualRun) Record(entry *eventlog.Entry) {
	v.checker.Observe(entry)
	if v.options.Record != nil {
		v.options.Record(entry)
	}
}
