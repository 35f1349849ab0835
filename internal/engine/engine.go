package engine

import (
	"sync"

	"quilldoor/internal/policy"
)

// maxRunInterval is the longest time, in microseconds, until the next call of Run
// when no timer is set.
const maxRunInterval = 1e6

// Engine drives one instance of the policy.
type Engine struct {
	mu          sync.Mutex
	policy      *policy.Router
	limits      policy.Limits
	classes     map[string]policy.TrafficClass
	answerSlack int64 // µs after a request's deadline at which the engine fails it
	purgeSettle int64 // µs until a purge has reached all caches

	requests     map[string]*Request // by id, until closed and all attempts have ended
	openRequests int                 // the number of requests that are not closed
	executed     executedIDs
	purgedCopies int64 // responses rejected because they carried a purged copy
	endpoints    map[string]*Endpoint
	clockStep    int64                // µs by which the clock of discovery and the origin is ahead of now
	startTimes   map[string]startTime // by endpoint id
	timers       timerHeap
	events       []policy.Event  // not yet passed to the policy
	actions      []policy.Action // reused by dispatch
	background   []Command
	requestRun   func()
}

// New creates an engine with a policy instance; seed is the seed of the policy's
// random numbers. The engine calls requestRun, with the lock held, when Run must be
// called before the time that it last returned, or has background commands.
func New(settings *policy.Settings, seed uint64, requestRun func()) *Engine {
	e := &Engine{
		policy:      policy.New(*settings, seed),
		limits:      settings.Limits,
		classes:     map[string]policy.TrafficClass{},
		answerSlack: settings.Contract.AnswerSlack,
		purgeSettle: settings.Hierarchy.PurgeSettleTime,
		requests:    map[string]*Request{},
		executed:    newExecutedIDs(),
		endpoints:   map[string]*Endpoint{},
		startTimes:  map[string]startTime{},
		requestRun:  requestRun,
	}
	for _, class := range settings.Classes {
		e.classes[class.Name] = class
	}
	return e
}

// Class returns the traffic class with the given name.
func (e *Engine) Class(name string) (policy.TrafficClass, bool) {
	class, known := e.classes[name]
	return class, known
}

// Count returns the numbers of open requests and of active endpoints.
func (e *Engine) Count() (requests, endpoints int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, endpoint := range e.endpoints {
		if endpoint.Active() {
			endpoints++
		}
	}
	return e.openRequests, endpoints
}

// PurgedCopies returns the number of responses that were rejected because the origin
// had issued their copy before a purge that this router had received when it sent the
// attempt.
func (e *Engine) PurgedCopies() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.purgedCopies
}

// LocalHit reports a request that the router answers from its own disk cache;
// such a request is not opened. Of event only Object and Part are used.
func (e *Engine) LocalHit(now int64, event policy.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	event.Kind = policy.EventLocalHit
	e.handle(now, event)
}

// HoldSlowStart sets the time, in microseconds, until which endpoints in slow start
// are sent nothing. It is called where an earlier process may have used this router's
// share of their budgets, or another process is about to use it. It replaces the
// previous hold.
func (e *Engine) HoldSlowStart(now, until int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handle(now, policy.Event{Kind: policy.EventSlowStartHold, HoldUntil: until})
}

// SetClockStep sets how many microseconds the system's clock, to which times from
// discovery and the origin refer, is ahead of the time that is passed as now. It changes
// when the system's clock is stepped.
func (e *Engine) SetClockStep(step int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.clockStep = step
}

// Purge reports the purge of an object, or of a group if object is "". The purge
// was made at purgedAt, a time in microseconds on the system's clock. One older than
// Hierarchy.PurgeSettleTime is ignored, since it has reached all caches.
func (e *Engine) Purge(now int64, object string, group, purgedAt int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	age := now + e.clockStep - purgedAt
	if age > e.purgeSettle {
		return
	}
	e.handle(now, policy.Event{
		Kind: policy.EventPurge, Object: object, Group: group, Age: max(age, 0), PurgedAt: purgedAt,
	})
}

// HealthChecked reports the outcome of a health check; rtt is in microseconds.
func (e *Engine) HealthChecked(now int64, endpoint string, outcome policy.Outcome, rtt int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handle(now, policy.Event{Kind: policy.EventHealthCheck, Endpoint: endpoint, Outcome: outcome, RTT: rtt})
}

// Snapshot returns the policy's learned state, including that of the endpoints, for
// the other generation of this router.
func (e *Engine) Snapshot() *policy.Snapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.policy.Snapshot()
}

// Restore adopts the learned state in a snapshot. It is called after the first
// UpdateEndpoints and before the first request. If the snapshot has an unsupported
// size, the error wraps policy.ErrSnapshot and the state stays as it is.
func (e *Engine) Restore(snapshot *policy.Snapshot) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.policy.Restore(snapshot)
}

// InFlight returns the numbers of attempts in flight, by endpoint id and kind.
// Attempts that bypass the caches, to parents and the origin, are summed under "".
func (e *Engine) InFlight() map[string]policy.AttemptCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.policy.InFlight()
}

// SetOtherGeneration sets the numbers of attempts that the other generation of this
// router has in flight, as its InFlight returned them. Concurrency limits apply to
// both generations together.
func (e *Engine) SetOtherGeneration(now int64, inFlight map[string]policy.AttemptCounts) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handle(now, policy.Event{Kind: policy.EventOtherGeneration, InFlight: inFlight})
}

// Run fires the timers that are due. It returns the latest time, in microseconds,
// for the next call, and the background commands, which the caller carries out.
func (e *Engine) Run(now int64) (next int64, background []Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.timers) > 0 && e.timers[0].due <= now {
		e.fire(now, e.popTimer())
		e.dispatch(now)
	}
	next = now + maxRunInterval
	if len(e.timers) > 0 {
		next = e.timers[0].due
	}
	background, e.background = e.background, nil
	return next, background
}
