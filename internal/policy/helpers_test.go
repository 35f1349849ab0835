package policy

import "testing"

const (
	cacheA, cacheB, parentA, originA = "a:1", "b:1", "p:1", "o:1"
	begin                            = 100 * second
)

// testSettings returns the settings of a small site with traffic classes of every effect.
func testSettings() Settings {
	return Settings{
		Routers: 2, Zone: "z", Zones: []string{"hub", "z"}, EndpointKinds: []string{"box", "parent", "origin"},
		Contract: Contract{
			SlowStartFor: 10 * second, SlowStartFrom: 0.2, OverloadWindow: second, OverloadMultiple: 2,
			DrainGrace: second,
		},
		Limits: Limits{Cancel: true, RetryAfter: true, Hedging: true, MaxAttempts: 6, MaxRetryAfter: second / 2},
		Hierarchy: Hierarchy{
			CacheBypass: true, ParentKind: 1, OriginKind: 2, StreamKBPerS: 1000, ParentSlowStartFrom: 0.1,
			ParentSlowStartFor: 10 * second, ParentOverloadMultiple: 2, PurgeSettleTime: 6 * second, RoutersByZone: []int{0, 1},
		},
		Classes: []TrafficClass{
			{
				Name: "read", Effect: EffectIdempotent, LatencyObjective: 500 * millisecond, PriorityWeight: 1,
				FreshFor: 8 * second,
			},
			{
				Name: "keyed", Effect: EffectIdempotencyKey, DedupGroup: DedupGroupAll, DedupWindow: 2 * second,
				LatencyObjective: 500 * millisecond, PriorityWeight: 1, Write: true,
			},
			{
				Name: "zoned", Effect: EffectIdempotencyKey, DedupGroup: DedupGroupZone, DedupWindow: 2 * second,
				LatencyObjective: 500 * millisecond, PriorityWeight: 1,
			},
			{
				Name: "once", Effect: EffectUnsafe, LatencyObjective: 500 * millisecond, PriorityWeight: 1, Write: true,
			},
		},
	}
}

// testEndpoints returns an endpoint list of two caches, a parent and the origin.
func testEndpoints() []Endpoint {
	return []Endpoint{
		{ID: cacheA, Zone: "z", Kind: "box", State: EndpointActive, Weight: 10},
		{ID: cacheB, Zone: "z", Kind: "box", State: EndpointActive, Weight: 10},
		{ID: parentA, Zone: "hub", Kind: "parent", State: EndpointActive, Weight: 40},
		{ID: originA, Zone: "hub", Kind: "origin", State: EndpointActive, Weight: 1},
	}
}

// newRouter returns a Router with testEndpoints as its endpoint list. change, if not nil, edits its settings first.
func newRouter(change func(*Settings)) *Router {
	settings := testSettings()
	if change != nil {
		change(&settings)
	}
	r := New(settings, 1)
	r.Handle(begin, Event{Kind: EventEndpoints, Scope: ScopeSnapshot, Endpoints: testEndpoints()}, nil)
	return r
}

// newRequest returns the request "t" of a traffic class, with three seconds until its deadline.
func newRequest(class string) Event {
	return Event{
		Kind: EventRequest, Request: "t", Class: class, Object: "x", Group: 7, SizeKB: 100, Remaining: 3 * second,
	}
}

// attemptEnded returns the end of the first attempt of newRequest's request.
func attemptEnded(endpoint string, outcome Outcome) Event {
	return Event{Kind: EventAttemptEnded, Request: "t", Endpoint: endpoint, Outcome: outcome}
}

// onlyAction returns the only action of a kind, and fails the test if there are none or several.
func onlyAction(t *testing.T, actions []Action, kind ActionKind) Action {
	t.Helper()
	var found []Action
	for _, a := range actions {
		if a.Kind == kind {
			found = append(found, a)
		}
	}
	if len(found) != 1 {
		t.Fatalf("%d actions of kind %d in %+v, want 1", len(found), kind, actions)
	}
	return found[0]
}

// noAction fails the test if there is an action of one of the kinds.
func noAction(t *testing.T, actions []Action, kinds ...ActionKind) {
	t.Helper()
	for _, a := range actions {
		for _, k := range kinds {
			if a.Kind == k {
				t.Fatalf("unexpected action %+v", a)
			}
		}
	}
}

// saturateCaches sets the fill limits of both caches so that neither has capacity.
func saturateCaches(r *Router) {
	for _, id := range []string{cacheA, cacheB} {
		r.endpoints[id].limiters[attemptFill] = limiter{inFlight: 5, limit: 2}
	}
}
