package policy

import (
	"slices"

	"quilldoor/internal/tinylfu"
)

// Durations are whole microseconds.
const (
	millisecond = int64(1000)
	second      = 1000 * millisecond
)

// Router makes the decisions of one router process. It is used by one goroutine at a time.
type Router struct {
	config  config
	now     int64    // time of the current event
	actions []Action // decisions on the current event
	random  random

	endpoints map[string]*endpoint
	ordered   []*endpoint // all endpoints that this router may use, by id; removed ones until their attempts have ended
	origin    *endpoint   // nil: none is active

	classes    map[string]*trafficClass
	requests   map[string]*request
	open       []*request // in order of arrival; the next sweep removes closed ones
	priorities []float64  // of the last requests

	popularity       *tinylfu.Sketch // request counts of objects
	popularitySample int             // number of requests after which it is halved; 0: halved by time only
	nextHalving      int64           // time; 0: not set yet

	fillAttemptSamples []sample                  // of the last attempts of kind attemptFill; bad: no response
	bypassLimiters     [attemptKindCount]limiter // for attempts that bypass the caches, which share one link
	originDelay        originDelay
	purges             []purge

	slowStartHoldUntil int64 // time until which endpoints in slow start receive no requests
	subscribeAt        int64 // time at which the endpoint list is requested again; 0: not scheduled
	timerSet           bool
}

// config holds the values that decisions use, derived from Settings.
type config struct {
	zone             string
	zoneShare        float64 // this router's share of its zone's requests
	roles            map[string]role
	slowStart        [roleCount]slowStartBudget
	overloadWindow   int64
	unansweredLimit  int64   // how long an endpoint may send no response while attempts are in flight
	transferRate     float64 // KB per microsecond; 0: unknown
	purgeSettleTime  int64   // time within which a purge reaches all caches
	retryAfter       int64   // retry delay sent to rejected clients; 0: none
	maxAttempts      int
	maxCachedObjects int // bound on the list of objects that a cache was asked to keep

	bypassCaches  bool // requests may bypass the caches
	coalesceFills bool
	healthChecks  bool // health checks may be sent
	cancel        bool // attempts may be cancelled
	hedging       bool // a second attempt may be sent while one is in flight
	pollDiscovery bool
	liveWeights   bool // weights follow the load
	reasonsGiven  bool // every error response of a cache has a reason
}

// New creates a Router from its settings and the seed of its random numbers. Routers with equal settings, seeds and
// events make equal decisions.
func New(settings Settings, seed uint64) *Router {
	r := &Router{
		config:     newConfig(&settings),
		random:     random(seed),
		popularity: newSketch(),
		endpoints:  map[string]*endpoint{},
		classes:    map[string]*trafficClass{},
		requests:   map[string]*request{},
	}
	for i := range settings.Classes {
		class := &settings.Classes[i]
		r.classes[class.Name] = &trafficClass{
			idempotency:      idempotencyOf(class.Effect, class.DedupGroup),
			dedupWindow:      class.DedupWindow,
			latencyObjective: class.LatencyObjective,
			objectiveStretch: class.ObjectiveStretch,
			freshFor:         class.FreshFor,
			staleGrace:       class.StaleGrace,
			write:            class.Write,
			priorityWeight:   class.PriorityWeight,
		}
	}
	return r
}

func newConfig(settings *Settings) config {
	contract, hierarchy, limits := &settings.Contract, &settings.Hierarchy, &settings.Limits
	zoneRouters := settings.zoneRouters()
	zoneShare := 1 / float64(zoneRouters)
	c := config{
		zone:             settings.Zone,
		zoneShare:        zoneShare,
		roles:            settings.roles(),
		overloadWindow:   contract.OverloadWindow,
		unansweredLimit:  settings.unansweredLimit(),
		transferRate:     hierarchy.StreamKBPerS / float64(second),
		purgeSettleTime:  hierarchy.PurgeSettleTime,
		maxAttempts:      max(limits.MaxAttempts, 1),
		maxCachedObjects: cachedObjectsLimit(zoneShare),
		bypassCaches:     hierarchy.CacheBypass,
		coalesceFills:    hierarchy.CoalescesFills,
		healthChecks:     limits.HealthChecks,
		cancel:           limits.Cancel,
		hedging:          limits.Hedging,
		pollDiscovery:    settings.Discovery == DiscoveryPoll,
		liveWeights:      settings.WeightKind == WeightLive,
		reasonsGiven:     hierarchy.ReasonsGiven == ReasonsAll,
	}
	if limits.RetryAfter {
		c.retryAfter = limits.MaxRetryAfter
	}
	c.slowStart[roleCache] = slowStartBudget{
		initialCapacity:  contract.SlowStartFrom,
		overloadMultiple: contract.OverloadMultiple,
		routers:          float64(zoneRouters),
		duration:         contract.SlowStartFor,
	}
	c.slowStart[roleParent] = slowStartBudget{
		initialCapacity:  hierarchy.ParentSlowStartFrom,
		overloadMultiple: hierarchy.ParentOverloadMultiple,
		routers:          float64(max(settings.Routers, 1)),
		duration:         hierarchy.ParentSlowStartFor,
	}
	return c
}

// zoneRouters returns the number of routers that share the caches of this router's zone.
func (s *Settings) zoneRouters() int {
	perZone := s.Hierarchy.RoutersByZone
	if i := slices.Index(s.Zones, s.Zone); i >= 0 && i < len(perZone) && perZone[i] > 0 {
		return perZone[i]
	}
	return max(s.Routers, 1)
}

// roles returns the role of each kind of endpoint.
func (s *Settings) roles() map[string]role {
	roles := map[string]role{}
	for i, kind := range s.EndpointKinds {
		switch i {
		case s.Hierarchy.OriginKind:
			roles[kind] = roleOrigin
		case s.Hierarchy.ParentKind:
			roles[kind] = roleParent
		default:
			roles[kind] = roleCache
		}
	}
	return roles
}

// unansweredLimit returns one and a half times the longest latency objective.
func (s *Settings) unansweredLimit() (limit int64) {
	for i := range s.Classes {
		limit = max(limit, 3*s.Classes[i].LatencyObjective/2)
	}
	return limit
}

// Handle processes one event and appends the resulting actions. now is the time in microseconds, on the clock of
// Endpoint.StartedAt.
func (r *Router) Handle(now int64, e Event, actions []Action) []Action {
	r.now = now
	r.actions = actions
	ep, req := r.endpoints[e.Endpoint], r.requests[e.Request] // nil if unknown or closed
	switch e.Kind {
	case EventEndpoints:
		r.updateEndpoints(e.Scope, e.Endpoints)
	case EventRequest:
		r.openRequest(&e)
	case EventLocalHit: // answered from the router's own copies
		r.countRequest(hash(e.Object, uint64(e.Part)))
	case EventAttemptEnded:
		r.endAttempt(&e, ep, req)
	case EventResponseStarted:
		r.observe(ep, signalAnswered)
		r.advance(req, inputStarted)
	case EventRequestClosed:
		r.advance(req, inputFinal)
	case EventHealthCheck:
		r.observeHealthCheck(ep, e.Outcome)
	case EventPurge:
		r.addPurge(&e)
	case EventSlowStartHold:
		r.slowStartHoldUntil = e.HoldUntil
	case EventOtherGeneration:
		r.setOtherInFlight(e.InFlight)
	case EventTimer:
		r.timerSet = false
		r.sweep()
	}
	r.setTimer()
	return r.actions
}

func (r *Router) emit(a Action) { r.actions = append(r.actions, a) }
