package policy

import "testing"

const (
	cacheA, cacheB, par, root = "a:1", "b:1", "p:1", "o:1"
	begin                     = 100 * sec
)

// settings of a small site with one rule of each effect.
func settings() Settings {
	return Settings{
		Routers: 2, Zone: "z", Zones: []string{"hub", "z"}, EndpointKinds: []string{"box", "parent", "origin"},
		Contract: Contract{SlowStartFor: 10 * sec, SlowStartFrom: 0.2, OverloadWindow: sec, OverloadMultiple: 2, DrainGrace: sec},
		Limits:   Limits{Cancel: true, RetryAfter: true, Hedging: true, MaxAttempts: 6, MaxRetryAfter: sec / 2},
		Hierarchy: Hierarchy{
			CacheBypass: true, ParentKind: 1, OriginKind: 2, StreamKBPerS: 1000, ParentSlowStartFrom: 0.1, ParentSlowStartFor: 10 * sec,
			ParentOverloadMultiple: 2, PurgeSettleTime: 6 * sec, RoutersByZone: []int{0, 1}, PeerFills: "location",
		},
		Classes: []TrafficClass{
			{Name: "read", Effect: EffectIdempotent, LatencyObjective: 500 * ms, PriorityWeight: 1, FreshFor: 8 * sec},
			{Name: "keyed", Effect: EffectIdempotencyKey, DedupGroup: DedupGroupAll, DedupWindow: 2 * sec, LatencyObjective: 500 * ms, PriorityWeight: 1, Write: true},
			{Name: "zoned", Effect: EffectIdempotencyKey, DedupGroup: DedupGroupZone, DedupWindow: 2 * sec, LatencyObjective: 500 * ms, PriorityWeight: 1},
			{Name: "once", Effect: EffectUnsafe, LatencyObjective: 500 * ms, PriorityWeight: 1, Write: true},
		},
	}
}

func entries() []Endpoint {
	return []Endpoint{
		{ID: cacheA, Zone: "z", Kind: "box", State: EndpointActive, Weight: 10},
		{ID: cacheB, Zone: "z", Kind: "box", State: EndpointActive, Weight: 10},
		{ID: par, Zone: "hub", Kind: "parent", State: EndpointActive, Weight: 40},
		{ID: root, Zone: "hub", Kind: "origin", State: EndpointActive, Weight: 1},
	}
}

// router is a Router that knows the list; change edits its settings first.
func router(change func(*Settings)) *Router {
	set := settings()
	if change != nil {
		change(&set)
	}
	r := New(set, 1)
	r.Handle(begin, Event{Kind: EventEndpoints, Scope: ScopeSnapshot, Endpoints: entries()}, nil)
	return r
}

func request(rule string) Event {
	return Event{Kind: EventRequest, Request: "t", Class: rule, Object: "x", Group: 7, SizeKB: 100, Remaining: 3 * sec}
}

// only gives the one action of a kind, or fails the test.
func only(t *testing.T, acts []Action, kind ActionKind) Action {
	t.Helper()
	var found []Action
	for _, a := range acts {
		if a.Kind == kind {
			found = append(found, a)
		}
	}
	if len(found) != 1 {
		t.Fatalf("%d actions of kind %d in %+v, want 1", len(found), kind, acts)
	}
	return found[0]
}

func none(t *testing.T, acts []Action, kinds ...ActionKind) {
	t.Helper()
	for _, a := range acts {
		for _, k := range kinds {
			if a.Kind == k {
				t.Fatalf("unwanted action %+v", a)
			}
		}
	}
}

// jam leaves no room for fills at either cache.
func jam(r *Router) {
	for _, id := range []string{cacheA, cacheB} {
		r.servers[id].room[fills] = room{out: 5, limit: 2}
	}
}
