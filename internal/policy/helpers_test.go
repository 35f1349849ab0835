package policy

import "testing"

const (
	cacheA, cacheB, par, root = "a:1", "b:1", "p:1", "o:1"
	begin                     = 100 * sec
)

// settings of a small site with one rule of each effect.
func settings() Settings {
	return Settings{
		Siblings: 2, Zone: "z", Zones: []string{"hub", "z"}, Kinds: []string{"box", "parent", "origin"},
		Contract: Contract{ColdFor: 10 * sec, ColdFrom: 0.2, FallFor: sec, FallMultiple: 2, DrainGrace: sec},
		Limits:   Limits{Cancel: true, RetryAfter: true, SecondCopies: true, MaxHops: 6, MaxRetryAfter: sec / 2},
		Family: Family{
			Direct: true, ParentKind: 1, OriginKind: 2, FlowKBPerS: 1000, ParentColdFrom: 0.1, ParentColdFor: 10 * sec,
			ParentFallMultiple: 2, PurgeDone: 6 * sec, ZoneBalancers: []int{0, 1}, Siblings: "location",
		},
		Rules: []RemapRule{
			{Name: "read", Effect: "safe", SLA: 500 * ms, Importance: 1, Fresh: 8 * sec},
			{Name: "keyed", Effect: "keyed", Group: "all", Window: 2 * sec, SLA: 500 * ms, Importance: 1, Write: true},
			{Name: "zoned", Effect: "keyed", Group: "zone", Window: 2 * sec, SLA: 500 * ms, Importance: 1},
			{Name: "once", Effect: "unsafe", SLA: 500 * ms, Importance: 1, Write: true},
		},
	}
}

func entries() []Entry {
	return []Entry{
		{Server: cacheA, Zone: "z", Kind: "box", State: "active", Weight: 10},
		{Server: cacheB, Zone: "z", Kind: "box", State: "active", Weight: 10},
		{Server: par, Zone: "hub", Kind: "parent", State: "active", Weight: 40},
		{Server: root, Zone: "hub", Kind: "origin", State: "active", Weight: 1},
	}
}

// router is a Router that knows the list; change edits its settings first.
func router(change func(*Settings)) *Router {
	set := settings()
	if change != nil {
		change(&set)
	}
	r := New(set, 1)
	r.Handle(begin, Event{Kind: EvDiscovery, Scope: "snapshot", Entries: entries()}, nil)
	return r
}

func request(rule string) Event {
	return Event{Kind: EvTxn, Txn: "t", Rule: rule, Object: "x", Group: 7, SizeKB: 100, Remaining: 3 * sec}
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
