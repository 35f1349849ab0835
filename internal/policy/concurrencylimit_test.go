package policy

import (
	"fmt"
	"testing"
)

// Guards against attempts that accumulate at an overloaded cache until every response is late.
func TestLimitFollowsLateResponses(t *testing.T) {
	r := newRouter(nil)
	r.now = begin
	lim := &limiter{inFlight: 20, limit: 20}
	for range 3 {
		r.adjustLimit(lim, false)
	}
	if lim.limit != 20 {
		t.Fatal("reduced before a quarter of the last responses were late")
	}
	if r.adjustLimit(lim, false); lim.limit >= 20 {
		t.Fatal("not reduced after four late responses")
	}
	reduced := lim.limit
	if r.adjustLimit(lim, true); lim.limit <= reduced {
		t.Fatal("not raised by a timely response")
	}
}

// Guards against limits that fall to their floor at high rates, where a quarter of the last few attempts is often late
// by chance.
func TestLimitFollowsTheSampleWindow(t *testing.T) {
	r := newRouter(nil)
	lim := &limiter{inFlight: 40, limit: 40}
	for i := range 400 {
		r.now = begin + int64(i)*2*millisecond
		r.adjustLimit(lim, i%40 < 36) // of 40 attempts, four in a row are late
	}
	if lim.limit < 40 {
		t.Fatalf("limit reduced to %v with a tenth of the responses late", lim.limit)
	}
	for i := range 800 {
		r.now += 2 * millisecond
		r.adjustLimit(lim, i%3 > 0)
	}
	if lim.limit > 20 {
		t.Fatalf("limit %v with a third of the responses late", lim.limit)
	}
}

// Guards against limits that fall towards zero while misses are late at any load.
func TestLimitKeepsAPartOfTheLinkBusy(t *testing.T) {
	r := newRouter(nil)
	lim := &limiter{limit: 100, weight: 240}
	for range 1000 {
		r.now += 10 * millisecond
		r.adjustLimit(lim, false)
	}
	if lim.limit != 30 {
		t.Fatalf("limit %v, want an eighth of 240", lim.limit)
	}
}

func TestLowestPriorityIsRejectedFirst(t *testing.T) {
	r := newRouter(nil)
	r.priorities = []float64{1, 2, 3, 4}
	lim := &limiter{inFlight: 10, limit: 10}
	if !r.saturated(&request{priority: 1}, lim) || r.saturated(&request{priority: 4}, lim) {
		t.Fatal("at the limit, requests of the lowest priority must be rejected and those of the highest accepted")
	}
}

// Guards against a limit that stays at its floor because no other attempt is in flight when an attempt ends.
func TestLimitRisesFromItsFloor(t *testing.T) {
	r := newRouter(nil)
	lim := &limiter{limit: 2}
	if r.adjustLimit(lim, true); lim.limit <= 2 {
		t.Fatal("not raised by a single timely attempt")
	}
}

// A router's share of a cache's limit may be less than one attempt: the limit is then the probability that a request
// finds capacity.
func TestLimitBelowOneIsAProbability(t *testing.T) {
	r := newRouter(nil)
	r.config.zoneShare = 0.1
	lim, admitted := &limiter{limit: 1}, 0
	if r.adjustLimit(lim, true); lim.limit > 1.06 || lim.limit < 1.04 {
		t.Fatalf("limit %v, want about 1.05", lim.limit)
	}
	if r.adjustLimit(lim, false); lim.limit > 1 {
		t.Fatalf("limit %v after two attempts, one late", lim.limit)
	}
	lim.limit = 0.4
	for range 1000 {
		if !r.saturated(&request{}, lim) {
			admitted++
		}
	}
	if admitted < 150 || admitted > 250 {
		t.Fatalf("%d of 1000 requests found capacity at half of a limit of 0.4", admitted)
	}
	if lim.inFlight = 1; !r.saturated(&request{}, lim) {
		t.Fatal("capacity for a second attempt")
	}
}

// Guards against errors at all caches alike, such as resets, that reduce every limit. Errors with a reason do count.
func TestErrorsWithoutAReasonReduceNoLimit(t *testing.T) {
	for reason, outcome := range map[Reason]Outcome{
		ReasonNone:         OutcomeError,
		ReasonUpstreamDown: OutcomeError,
		-1:                 OutcomeConnectionReset, // stands for ReasonNone, which is a key already
	} {
		r := newRouter(func(s *Settings) { s.Hierarchy.ReasonsGiven = "all" })
		start := r.endpoints[cacheA].limiters[attemptFill].limit
		for i := range 40 {
			e, now := newRequest("read"), begin+int64(i)*millisecond
			e.Request = fmt.Sprint(i)
			sent := onlyAction(t, r.Handle(now, e, nil), ActionSend)
			end := attemptEnded(sent.Endpoint, outcome)
			end.Request, end.Reason = e.Request, max(reason, 0)
			actions := r.Handle(now, end, nil)
			if reason == 0 {
				onlyAction(t, actions, ActionSend)
			}
			r.Handle(now, Event{Kind: EventRequestClosed, Request: e.Request}, nil)
		}
		got := min(r.endpoints[cacheA].limiters[attemptFill].limit, r.endpoints[cacheB].limiters[attemptFill].limit)
		if (got < start) != (reason > 0) {
			t.Errorf("reason %d: limit %g, %g at the start", reason, got, start)
		}
	}
}

// Guards against unlimited attempts at the parents while no cache of the zone is active.
func TestAttemptsThatBypassTheCachesAreLimited(t *testing.T) {
	r := newRouter(nil)
	r.endpoints[cacheA].active, r.endpoints[cacheB].active = false, false
	a := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend)
	if a.Endpoint != parentA || a.Source != originA {
		t.Fatalf("not sent directly to the parent: %+v", a)
	}
	for i := range r.bypassLimiters { // parents and origin share them
		r.bypassLimiters[i] = limiter{inFlight: 5, limit: 2}
	}
	e := newRequest("read")
	e.Request = "u"
	onlyAction(t, r.Handle(begin, e, nil), ActionReject)
}

// Guards against a router that rejects every request, because limits are set from caches and none was listed at its
// start.
func TestRouterWithoutCachesUsesParents(t *testing.T) {
	r := New(testSettings(), 1)
	r.Handle(begin, Event{Kind: EventEndpoints, Scope: ScopeSnapshot, Endpoints: testEndpoints()[2:]}, nil)
	if a := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend); a.Endpoint != parentA {
		t.Fatalf("not sent directly to the parent: %+v", a)
	}
}
