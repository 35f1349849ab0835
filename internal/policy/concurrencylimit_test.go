package policy

import (
	"fmt"
	"testing"
)

// Against attempts that pile up until every response is late.
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

// Against limits that fall to their floor by chance at high rates, where few of the last attempts decide.
func TestLimitFollowsTheSampleWindow(t *testing.T) {
	r := newRouter(nil)
	lim := &limiter{inFlight: 40, limit: 40}
	for i := range 400 {
		r.now = begin + int64(i)*2*millisecond
		r.adjustLimit(lim, i%40 < 36) // four late ones in a row, in forty
	}
	if lim.limit < 40 {
		t.Fatalf("reduced to %v with a tenth late", lim.limit)
	}
	for i := range 800 {
		r.now += 2 * millisecond
		r.adjustLimit(lim, i%3 > 0)
	}
	if lim.limit > 20 {
		t.Fatalf("limit %v with a third late", lim.limit)
	}
}

// Against limits that fall to nothing while misses are late whatever is sent.
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
		t.Fatal("at the limit the lowest priority is to be turned away, not the highest")
	}
}

// Against a limit that stays at its floor because nothing is in flight when the last attempt ends.
func TestLimitRisesFromItsFloor(t *testing.T) {
	r := newRouter(nil)
	lim := &limiter{limit: 2}
	if r.adjustLimit(lim, true); lim.limit <= 2 {
		t.Fatal("not raised by the one attempt there was capacity for")
	}
}

// A router's share of a cache may be less than one attempt: some requests find capacity then, others none.
func TestLimitBelowOneIsAProbability(t *testing.T) {
	r := newRouter(nil)
	r.config.zoneShare = 0.1
	lim, admitted := &limiter{limit: 1}, 0
	if r.adjustLimit(lim, true); lim.limit > 1.06 || lim.limit < 1.04 {
		t.Fatalf("limit %v, want half a tenth above one", lim.limit)
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
		t.Fatalf("%d of 1000 found capacity at half of 0.4", admitted)
	}
	if lim.inFlight = 1; !r.saturated(&request{}, lim) {
		t.Fatal("a second attempt went out")
	}
}

// Against a spell of errors at all caches alike that reduces every limit. A fill that failed for a reason counts.
func TestErrorsWithoutAReasonReduceNoLimit(t *testing.T) {
	for reason, outcome := range map[Reason]Outcome{
		ReasonNone:         OutcomeError,
		ReasonUpstreamDown: OutcomeError,
		-1:                 OutcomeConnectionReset, // without a reason
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
			r.Handle(now, Event{Kind: EventClientGone, Request: e.Request}, nil)
		}
		got := min(r.endpoints[cacheA].limiters[attemptFill].limit, r.endpoints[cacheB].limiters[attemptFill].limit)
		if (got < start) != (reason > 0) {
			t.Errorf("note %d: limit %g, %g at the start", reason, got, start)
		}
	}
}

// Against attempts without bound at the parents while a zone's caches are lost.
func TestAttemptsPastTheCachesAreLimited(t *testing.T) {
	r := newRouter(nil)
	r.endpoints[cacheA].active, r.endpoints[cacheB].active = false, false
	a := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend)
	if a.Endpoint != parentA || a.Source != originA {
		t.Fatalf("not straight to the parent: %+v", a)
	}
	for i := range r.bypassLimiters { // whichever parent they went to
		r.bypassLimiters[i] = limiter{inFlight: 5, limit: 2}
	}
	e := newRequest("read")
	e.Request = "u"
	onlyAction(t, r.Handle(begin, e, nil), ActionReject)
}

// Against a router that has no limit to go by, and rejects all, because it started while no cache was listed.
func TestRouterWithoutCachesUsesParents(t *testing.T) {
	r := New(testSettings(), 1)
	r.Handle(begin, Event{Kind: EventEndpoints, Scope: ScopeSnapshot, Endpoints: testEndpoints()[2:]}, nil)
	if a := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend); a.Endpoint != parentA {
		t.Fatalf("not straight to the parent: %+v", a)
	}
}
