package emulator

import (
	"quilldoor/internal/engine"
	"quilldoor/internal/invariant"
	"quilldoor/internal/policy"
	"quilldoor/internal/simulation"
)

// routerMonitor is a router's invariant monitor, with the recorder of the attempts and responses
// that it has not checked yet. The methods of rolloutRun below implement routerObserver.
type routerMonitor struct {
	monitor      *invariant.Monitor
	recorder     *invariant.Recorder
	processID    uint64
	violatedRule bool // the monitor has detected a violation
}

func (r *rolloutRun) endpointsChanged(router int, now int64, complete bool, list []engine.Endpoint) {
	entries := make([]policy.Endpoint, len(list))
	for i, endpoint := range list {
		entries[i] = endpoint.Endpoint
	}
	r.monitors[router].monitor.EndpointsChanged(now, complete, entries)
}

func (r *rolloutRun) purged(router int, now int64, object string, group, at int64) {
	r.monitors[router].monitor.Purged(now, object, group, at)
}

func (r *rolloutRun) attemptSent(router int, class string, attempt *engine.Attempt) {
	recorder := r.monitors[router].recorder
	recorder.RecordAttempt(attempt.DecidedAt, attempt.Endpoint.ID, attempt.Source, class, attempt.Unsafe)
}

func (r *rolloutRun) responded(router int, request *simulation.Request, attempt *engine.Attempt, issued int64) {
	class := r.simulation.Class(request.Class)
	if class.Write {
		return
	}
	kbPerMicro := r.scenario.Fleet.FlowKBPerS / microsPerSecond
	r.monitors[router].recorder.RecordResponse(
		class.Name, request.Object, request.Group, attempt.DecidedAt, issued+epochMicros, request.SizeKB/kbPerMicro,
	)
}

// observe passes a router's recorded attempts and responses to its monitor and returns the
// violations. After each change of the program the monitor is given a new process ID.
func (r *rolloutRun) observe(now int64, router int) invariant.Violations {
	monitor, state := r.monitors[router], &r.states[router]
	processID := state.runID << 1
	if r.servesNewProgram(router) {
		processID |= 1
	}
	if processID != monitor.processID {
		monitor.monitor.ProcessEnded(monitor.processID)
		monitor.processID = processID
		monitor.recorder.Take()
	}
	monitor.monitor.Observe(now+epochMicros, monitor.processID, monitor.recorder.Take())
	monitor.monitor.Tick(now + epochMicros)
	violations := monitor.monitor.Violations(monitor.processID)
	monitor.violatedRule = monitor.violatedRule || violations.Rules != 0
	return violations
}
