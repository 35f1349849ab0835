package policy

import "testing"

func TestSlowStartStaysInsideItsBudget(t *testing.T) {
	for _, id := range []string{cacheA, parentA} {
		r := newRouter(nil)
		ep := r.endpoints[id]
		budget := r.config.slowStart[ep.role]
		ep.startedAt = begin
		sent := int64(0)
		for i := range 400 {
			now := begin + int64(i)*millisecond
			if !r.slowStartAllows(ep, &request{cost: 50 * millisecond}) {
				break
			}
			r.now = now
			r.reserve(ep, &request{cost: 50 * millisecond})
			sent += 50 * millisecond
		}
		maxWork := budget.overloadMultiple * ep.weight * (budget.initialCapacity + 0.1) * float64(second) / budget.routers
		if sent == 0 || float64(sent) > maxWork {
			t.Fatalf("%s: sent work of %d, the budget is %.0f", id, sent, maxWork)
		}
	}
}

// Guards against a restarted router that uses its share of a slow-start budget twice within a window.
func TestRestartedRouterHoldsSlowStartForAWindow(t *testing.T) {
	settings := testSettings()
	settings.Routers, settings.Hierarchy.RoutersByZone = 1, []int{0, 1}
	r := New(settings, 1)
	list := testEndpoints()
	list[0].StartedAt, list[1].State = begin-second, EndpointRemoved
	r.Handle(begin, Event{Kind: EventEndpoints, Scope: ScopeInitial, Endpoints: list}, nil)
	if a := onlyAction(t, r.Handle(begin+second/2, newRequest("read"), nil), ActionSend); a.Endpoint == cacheA {
		t.Error("sent to a cache in slow start within the window")
	}
	e := newRequest("read")
	e.Request = "later"
	if a := onlyAction(t, r.Handle(begin+second, e, nil), ActionSend); a.Endpoint != cacheA {
		t.Errorf("sent to %s after the window, want the cache in slow start", a.Endpoint)
	}
}
