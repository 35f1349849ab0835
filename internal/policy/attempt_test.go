package policy

import "testing"

// A saturated cache can still serve hits: a request is sent to it without a fill, and rejected at once on a miss.
func TestCacheOnlyAttemptAtASaturatedCache(t *testing.T) {
	r := newRouter(nil)
	saturateCaches(r)
	a := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend)
	if a.Source != a.Endpoint || a.CachePriority != 0 {
		t.Fatalf("not a cache-only attempt: %+v", a)
	}
	r.endpoints[a.Endpoint].linkUse = 1
	actions := r.Handle(begin+millisecond, attemptEnded(a.Endpoint, OutcomeMiss), nil)
	if onlyAction(t, actions, ActionReject).RetryAfter == 0 {
		t.Fatal("rejected without RetryAfter")
	}
}

func TestCacheOnlyAttemptTakesACopyWithinItsGrace(t *testing.T) {
	r := newRouter(func(s *Settings) { s.Classes[0].StaleGrace = 10 * second })
	saturateCaches(r)
	if a := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend); a.MaxAge != 18*second {
		t.Fatalf("cache-only attempt with MaxAge %d, want FreshFor and StaleGrace", a.MaxAge)
	}
}

// Parents hold copies of many objects that caches miss, also while the origin is slow: a parent-only attempt follows a
// cache-only one that missed, but not while the link from the parents is busy.
func TestParentOnlyAttemptAfterACacheOnlyOne(t *testing.T) {
	r := newRouter(nil)
	saturateCaches(r)
	first := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend)
	miss := attemptEnded(first.Endpoint, OutcomeMiss)
	a := onlyAction(t, r.Handle(begin+millisecond, miss, nil), ActionSend)
	if a.Source != parentA || a.FillMode&FillNoFetch == 0 {
		t.Fatalf("not a parent-only attempt: %+v", a)
	}
	r = newRouter(nil)
	for _, id := range []string{cacheA, cacheB} {
		r.endpoints[id].limiters[attemptFill] = limiter{inFlight: 5, limit: 2}
		r.endpoints[id].linkUse = 1
	}
	r.Handle(begin, newRequest("read"), nil)
	onlyAction(t, r.Handle(begin+millisecond, miss, nil), ActionReject)
}

// Guards against a rejection because of one saturated cache while another one is idle.
func TestReadMovesFromASaturatedCacheToAnIdleOne(t *testing.T) {
	r := newRouter(nil)
	first := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend).Endpoint
	r.endpoints[first].limiters[attemptFill] = limiter{inFlight: 5, limit: 2}
	e := newRequest("read")
	e.Request = "u"
	if a := onlyAction(t, r.Handle(begin, e, nil), ActionSend); a.Endpoint == first || a.Source == a.Endpoint {
		t.Fatalf("no fill at the idle cache: %+v", a)
	}
}

func TestEventsAfterTheEndAreIgnored(t *testing.T) {
	r := newRouter(nil)
	onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend)
	r.Handle(begin+millisecond, Event{Kind: EventRequestClosed, Request: "t"}, nil)
	for _, e := range []Event{
		attemptEnded(cacheA, OutcomeError),
		{Kind: EventResponseStarted, Request: "t", Endpoint: cacheA},
		{Kind: EventRequestClosed, Request: "t"},
		attemptEnded("nobody:1", OutcomeDone),
	} {
		noAction(t, r.Handle(begin+2*millisecond, e, nil), ActionSend, ActionFail, ActionReject)
	}
}
