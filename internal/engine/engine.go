package engine

import (
	"sync"

	"quilldoor/internal/policy"
)

// runInterval is how long, in microseconds, Run may wait when no timer is set.
const runInterval = 1e6

// Engine drives one instance of the policy.
type Engine struct {
	mu          sync.Mutex
	policy      *policy.Router
	limits      policy.Limits
	classes     map[string]policy.TrafficClass
	answerSlack int64 // µs after a request's deadline until it is failed here
	purgeSettle int64 // µs after which a purge has no effect any more

	requests     map[string]*Request // by id, until closed and every attempt has ended
	openRequests int                 // of them: not closed
	endpoints    map[string]*Endpoint
	timers       timerHeap
	events       []policy.Event  // not yet handled by the policy
	actions      []policy.Action // reused by dispatch
	background   []Command
	kick         func()
}

// New starts a policy instance; seed is that of its random draws. Kick is called,
// with the lock held, when Run is wanted sooner than it last said, or has
// background commands.
func New(set *policy.Settings, seed uint64, kick func()) *Engine {
	e := &Engine{
		policy:      policy.New(*set, seed),
		limits:      set.Limits,
		classes:     map[string]policy.TrafficClass{},
		answerSlack: set.Contract.AnswerSlack,
		purgeSettle: set.Hierarchy.PurgeSettleTime,
		requests:    map[string]*Request{},
		endpoints:   map[string]*Endpoint{},
		kick:        kick,
	}
	for _, class := range set.Classes {
		e.classes[class.Name] = class
	}
	return e
}

// Class finds a traffic class by its name.
func (e *Engine) Class(name string) (policy.TrafficClass, bool) {
	class, known := e.classes[name]
	return class, known
}

// Count returns how many requests are open and how many endpoints are active.
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

// LocalHit counts a request that the router answers from its own disk cache. It
// is never opened. Of event Object and Part count; Kind is set here.
func (e *Engine) LocalHit(now int64, event policy.Event) {
	e.mu.Lock()
	defer e.mu.Unlock()
	event.Kind = policy.EventLocalHit
	e.handle(now, event)
}

// HoldSlowStart has endpoints in slow start sent nothing before hold, a time in
// microseconds: an earlier process may have spent this router's share of their
// budgets, or another process is about to. It replaces what held before.
func (e *Engine) HoldSlowStart(now, hold int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handle(now, policy.Event{Kind: policy.EventSlowStartHold, HoldUntil: hold})
}

// Purge takes the purge of an object, or of a group where object is "", made at
// the given time in microseconds. One older than Hierarchy.PurgeSettleTime is
// dropped: it has reached all caches.
func (e *Engine) Purge(now int64, object string, group, at int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now-at <= e.purgeSettle {
		e.handle(now, policy.Event{Kind: policy.EventPurge, Object: object, Group: group, Age: max(now-at, 0)})
	}
}

// HealthChecked takes a health check's outcome; rtt is in microseconds.
func (e *Engine) HealthChecked(now int64, endpoint string, outcome policy.Outcome, rtt int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handle(now, policy.Event{Kind: policy.EventHealthCheck, Endpoint: endpoint, Outcome: outcome, RTT: rtt})
}

// Snapshot returns the policy's state, endpoints included, for the other
// generation of this router.
func (e *Engine) Snapshot() *policy.Snapshot {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.policy.Snapshot()
}

// Restore takes over a snapshot, after the first endpoints and before the first
// request. Where the snapshot has another shape, the error wraps
// policy.ErrSnapshot and nothing is taken over.
func (e *Engine) Restore(snapshot *policy.Snapshot) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.policy.Restore(snapshot)
}

// InFlight returns how many attempts are in flight, by endpoint id and kind;
// those past the caches, to parents and the origin, are summed under "".
func (e *Engine) InFlight() map[string]policy.AttemptCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.policy.InFlight()
}

// SetOtherGeneration takes the attempts that the other generation of this router
// has in flight, as its InFlight returned them: the limits are for both together.
func (e *Engine) SetOtherGeneration(now int64, inFlight map[string]policy.AttemptCounts) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.handle(now, policy.Event{Kind: policy.EventOtherGeneration, InFlight: inFlight})
}

// Run fires the timers that are due. It returns the time, in microseconds, at
// which to call again at the latest, and the background commands, which the
// caller carries out.
func (e *Engine) Run(now int64) (next int64, background []Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for len(e.timers) > 0 && e.timers[0].due <= now {
		e.fire(now, e.popTimer())
		e.dispatch(now)
	}
	next = now + runInterval
	if len(e.timers) > 0 {
		next = e.timers[0].due
	}
	background, e.background = e.background, nil
	return next, background
}
