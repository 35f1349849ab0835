package policy

import (
	"fmt"
	"slices"
	"testing"

	"quilldoor/internal/tinylfu"
)

// recordSample notes one request in a sketch, as countRequest does short of halving.
func recordSample(sketch *tinylfu.Sketch, key uint64) {
	sketch.Record(key)
	sketch.AddSample()
}

func setSamples(t *testing.T, sketch *tinylfu.Sketch, samples int) {
	t.Helper()
	state := sketch.State()
	state.Samples = samples
	if err := sketch.Restore(state); err != nil {
		t.Fatal(err)
	}
}

func TestSketchCountsAndHalves(t *testing.T) {
	k, h := newSketch(), hash("x")
	for i, want := range []uint64{1, 2, 3, 4} {
		if recordSample(k, h); k.Estimate(h) != want {
			t.Fatalf("after %d: estimate %d, want %d", i+1, k.Estimate(h), want)
		}
	}
	for range 50 {
		recordSample(k, h)
	}
	if got := k.Estimate(h); got != sketchMaxCount+1 {
		t.Fatalf("estimate %d, want the top and one for the doorkeeper", got)
	}
	k.Halve()
	if got := k.Estimate(h); got != sketchMaxCount/2 || k.Samples() != 27 {
		t.Fatalf("halved: estimate %d, sample %d", got, k.Samples())
	}
}

func TestAdmitAgainstTail(t *testing.T) {
	r := newRouter(nil)
	s := r.endpoints[cacheA]
	for i := range maxCachedObjects {
		if r.cachePriority(s, uint64(i)) != 2 {
			t.Fatal("not kept although the list has room")
		}
	}
	if r.cachePriority(s, 1000) != 0 || len(s.cached) != maxCachedObjects {
		t.Fatal("kept although its estimate does not beat the tail's")
	}
	recordSample(r.popularity, 1000)
	if r.cachePriority(s, 1000) != 2 || s.cached[0] != 1 || s.cached[maxCachedObjects-1] != 1000 {
		t.Fatal("not kept although its estimate beats the tail's")
	}
	if r.cachePriority(s, 5) != 2 || s.cached[maxCachedObjects-1] != 5 || len(s.cached) != maxCachedObjects {
		t.Fatal("a listed object does not move to the head")
	}
}

// Lists of full length hardly filled where many routers share a cache.
func TestListsShrinkWithTheLocationsRouters(t *testing.T) {
	r := newRouter(func(s *Settings) { s.Hierarchy.RoutersByZone = []int{0, 16} })
	if r.config.maxCachedObjects != maxCachedObjects/4 || r.popularitySample != 2*10*maxCachedObjects/4 {
		t.Fatalf("lists of %d, halved after %d", r.config.maxCachedObjects, r.popularitySample)
	}
}

func TestCountHalvesSketch(t *testing.T) {
	r := newRouter(nil)
	setSamples(t, r.popularity, r.popularitySample-1)
	r.Handle(begin, newRequest("read"), nil)
	if r.popularity.Samples() != r.popularitySample/2 {
		t.Fatalf("sample %d after reaching %d", r.popularity.Samples(), r.popularitySample)
	}
}

func TestWritePassesUncounted(t *testing.T) {
	r := newRouter(nil)
	a := onlyAction(t, r.Handle(begin, newRequest("once"), nil), ActionSend)
	if a.Endpoint != originA || a.CachePriority != 0 || r.popularity.Samples() != 0 {
		t.Fatalf("write sent as %+v, sample %d", a, r.popularity.Samples())
	}
}

// One row for each way a hop may end, for each effect: what follows at once.
func TestHopEnds(t *testing.T) {
	const hopAgain, abort, reject, held = ActionSend, ActionFail, ActionReject, ActionSetTimer
	for _, c := range []struct {
		class   string
		outcome Outcome
		want    ActionKind
	}{
		{"read", OutcomeBusy, hopAgain},
		{"read", OutcomeError, hopAgain},
		{"read", OutcomeTimeout, hopAgain},
		{"read", OutcomeConnectionRefused, hopAgain},
		{"read", OutcomeConnectionReset, hopAgain},
		{"read", OutcomeMiss, hopAgain},
		{"read", OutcomeSkipped, hopAgain},
		{"read", OutcomeCanceled, hopAgain},
		{"keyed", OutcomeBusy, held},
		{"keyed", OutcomeError, held},
		{"keyed", OutcomeTimeout, held},
		{"keyed", OutcomeConnectionRefused, held},
		{"keyed", OutcomeConnectionReset, held},
		{"keyed", OutcomeSkipped, held},
		{"zoned", OutcomeBusy, hopAgain},
		{"zoned", OutcomeConnectionReset, hopAgain},
		{"once", OutcomeBusy, held},
		{"once", OutcomeConnectionRefused, held},
		{"once", OutcomeMiss, held},
		{"once", OutcomeSkipped, held},
		{"once", OutcomeError, abort},
		{"once", OutcomeTimeout, abort},
		{"once", OutcomeConnectionReset, abort},
		{"once", OutcomeCanceled, abort},
	} {
		t.Run(c.class+" "+c.outcome.String(), func(t *testing.T) {
			r := newRouter(nil)
			sent := onlyAction(t, r.Handle(begin, newRequest(c.class), nil), ActionSend)
			actions := r.Handle(begin+100*millisecond, Event{Kind: EventAttemptEnded, Request: "t", Endpoint: sent.Endpoint, Outcome: c.outcome}, nil)
			if c.want == held {
				noAction(t, actions, hopAgain, abort, reject)
				if r.requests["t"].retryAt == 0 {
					t.Fatal("not held for another hop")
				}
				return
			}
			onlyAction(t, actions, c.want)
		})
	}
}

func TestKeyedOnlyInsideItsWindow(t *testing.T) {
	r := newRouter(nil)
	sent := onlyAction(t, r.Handle(begin, newRequest("keyed"), nil), ActionSend)
	r.Handle(begin+1990*millisecond, Event{Kind: EventAttemptEnded, Request: "t", Endpoint: sent.Endpoint, Outcome: OutcomeTimeout}, nil)
	actions := r.Handle(begin+2060*millisecond, Event{Kind: EventTimer, Token: 1}, nil)
	noAction(t, actions, ActionSend)
	onlyAction(t, actions, ActionReject)
}

func TestKeyedZoneIsNeverRejectedOnceItMayHaveRun(t *testing.T) {
	r := newRouter(nil)
	r.endpoints[cacheA].active = false
	sent := onlyAction(t, r.Handle(begin, newRequest("zoned"), nil), ActionSend)
	r.endpoints[cacheB].active = false
	onlyAction(t, r.Handle(begin+second, Event{Kind: EventAttemptEnded, Request: "t", Endpoint: sent.Endpoint, Outcome: OutcomeError}, nil), ActionFail)
}

func TestAnswerAtTheTimeLimitIsFinal(t *testing.T) {
	r := newRouter(nil)
	sent := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend)
	actions := r.Handle(begin+3*second, Event{Kind: EventAttemptEnded, Request: "t", Endpoint: sent.Endpoint, Outcome: OutcomeTimeout}, nil)
	onlyAction(t, actions, ActionFail)
	noAction(t, r.Handle(begin+3*second, Event{Kind: EventAttemptEnded, Request: "t", Endpoint: sent.Endpoint, Outcome: OutcomeTimeout}, nil),
		ActionFail, ActionReject, ActionSend)
}

// A held write once ended after its time limit: its pause outlasted the txn.
func TestHeldWriteEndsBeforeItsTimeLimit(t *testing.T) {
	r := newRouter(nil)
	sent := onlyAction(t, r.Handle(begin, newRequest("once"), nil), ActionSend)
	actions := r.Handle(begin+3*second-100*millisecond, Event{Kind: EventAttemptEnded, Request: "t", Endpoint: sent.Endpoint, Outcome: OutcomeBusy}, nil)
	onlyAction(t, actions, ActionReject)
}

func TestDrainedServersGetNothing(t *testing.T) {
	r := newRouter(nil)
	gone := []Endpoint{testEndpoints()[0], testEndpoints()[2]}
	gone[0].State, gone[1].State = EndpointDraining, EndpointGone
	r.Handle(begin, Event{Kind: EventEndpoints, Scope: ScopeDiff, Endpoints: gone}, nil)
	for i := range 20 {
		e := newRequest("read")
		e.Request, e.Object = fmt.Sprint(i), fmt.Sprint(i)
		if a := onlyAction(t, r.Handle(begin, e, nil), ActionSend); a.Endpoint != cacheB || a.Source != originA {
			t.Fatalf("sent to %s from %s", a.Endpoint, a.Source)
		}
	}
}

func TestColdServersStayInsideTheirBudget(t *testing.T) {
	for _, id := range []string{cacheA, parentA} {
		r := newRouter(nil)
		s := r.endpoints[id]
		c := r.config.slowStart[s.role]
		s.startedAt = begin
		sent := int64(0)
		for i := range 400 {
			now := begin + int64(i)*millisecond
			if !r.slowStartAllows(s, &request{cost: 50 * millisecond}) {
				break
			}
			r.now = now
			r.reserve(s, &request{cost: 50 * millisecond})
			sent += 50 * millisecond
		}
		if most := c.multiple * s.weight * (c.from + 0.1) * float64(second) / c.routers; sent == 0 || float64(sent) > most {
			t.Fatalf("%s: sent %d, the budget is %.0f", id, sent, most)
		}
	}
}

func TestPurgesBoundTheAge(t *testing.T) {
	r := newRouter(nil)
	r.Handle(begin, Event{Kind: EventPurge, Group: 7, Age: 40 * millisecond}, nil)
	a := onlyAction(t, r.Handle(begin+60*millisecond, newRequest("read"), nil), ActionSend)
	if a.MaxAge <= 0 || a.MaxAge >= 100*millisecond {
		t.Fatalf("age %d after a purge 100 ms ago", a.MaxAge)
	}
	r.Handle(begin, Event{Kind: EventPurge, Object: "x", Group: 7}, nil)
	if a := r.maxAge(&request{object: "x", class: &trafficClass{}}, 0); a != 1 {
		t.Fatalf("age %d after a purge of the object", a)
	}
	r.now = begin + 7*second
	if a := r.maxAge(&request{object: "x", group: 7, class: &trafficClass{}}, 0); a != 0 {
		t.Fatalf("age %d long after the purge", a)
	}
}

// Slow fills behind a cache were once taken for its silence.
func TestSilenceNeedsSeveralHops(t *testing.T) {
	r := newRouter(nil)
	r.now = begin + 5*second
	s := r.endpoints[cacheA]
	for out, want := range map[int]health{2: healthy, 3: suspect} {
		s.inFlight, s.silentSince, s.health = out, begin, healthy
		if r.sweep(); s.health != want {
			t.Fatalf("%d unheard hops: health %d, want %d", out, s.health, want)
		}
	}
}

func TestHealthNeedsTwoBadSigns(t *testing.T) {
	r := newRouter(nil)
	s := r.endpoints[cacheA]
	r.observe(s, signalFailed)
	if s.health != suspect {
		t.Fatal("one bad sign does not raise doubt")
	}
	// Hops of one broken connection, and resets at all servers alike, once rested good ones.
	if r.observe(s, signalFailed); s.health != suspect {
		t.Fatal("two hops that end together rest a server")
	}
	r.now += 100 * millisecond
	if r.observe(s, signalFailed); s.health != ejected || r.usable(s, &request{cost: 1}) {
		t.Fatal("two bad signs do not rest a server")
	}
	r.now = s.healthDue
	if r.observe(s, signalEjectionOver); s.health != probation || !r.usable(s, &request{cost: 1}) {
		t.Fatal("no trial after the rest")
	}
	if r.observe(s, signalAnswered); s.health != healthy {
		t.Fatal("not back after a good sign")
	}
}

// Hops once piled up until every answer was late and nothing recovered.
func TestLimitFollowsLateAnswers(t *testing.T) {
	r := newRouter(nil)
	r.now = begin
	m := &limiter{inFlight: 20, limit: 20}
	for range 3 {
		r.adjustLimit(m, false)
	}
	if m.limit != 20 {
		t.Fatal("cut before a quarter of the last answers were late")
	}
	if r.adjustLimit(m, false); m.limit >= 20 {
		t.Fatal("not cut after four late answers")
	}
	low := m.limit
	if r.adjustLimit(m, true); m.limit <= low {
		t.Fatal("not raised by a timely answer")
	}
}

// At hundreds of hops a second the last sixteen are late by a quarter now and then, which cut limits to their
// floor though one in ten was late: on sockets a third of a calm day's txns were rejected.
func TestLimitIsJudgedByTheLastSecond(t *testing.T) {
	r := newRouter(nil)
	m := &limiter{inFlight: 40, limit: 40}
	for i := range 400 {
		r.now = begin + int64(i)*2*millisecond
		r.adjustLimit(m, i%40 < 36) // four late ones in a row, in forty
	}
	if m.limit < 40 {
		t.Fatalf("cut to %v with a tenth late", m.limit)
	}
	for i := range 800 {
		r.now += 2 * millisecond
		r.adjustLimit(m, i%3 > 0)
	}
	if m.limit > 20 {
		t.Fatalf("limit %v with a third late", m.limit)
	}
}

// Behind one parent that was left, misses took longer than their SLA time whatever was sent: limits fell to
// two hops at caches whose links carry two hundred, and nothing that was rejected filled them again.
func TestLimitLeavesAPartOfTheLink(t *testing.T) {
	r := newRouter(nil)
	m := &limiter{limit: 100, weight: 240}
	for range 1000 {
		r.now += 10 * millisecond
		r.adjustLimit(m, false)
	}
	if m.limit != 30 {
		t.Fatalf("limit %v, want an eighth of 240", m.limit)
	}
}

func TestPoorestIsShedFirst(t *testing.T) {
	r := newRouter(nil)
	r.priorities = []float64{1, 2, 3, 4}
	m := &limiter{inFlight: 10, limit: 10}
	if !r.saturated(&request{priority: 1}, m) || r.saturated(&request{priority: 4}, m) {
		t.Fatal("at the limit the poorest is to go and the best to stay")
	}
}

// At a jammed cache a hit is still to be had; a miss is given up at once.
func TestLookAtAJammedCache(t *testing.T) {
	r := newRouter(nil)
	saturateCaches(r)
	a := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend)
	if a.Source != a.Endpoint || a.CachePriority != 0 {
		t.Fatalf("not a look: %+v", a)
	}
	r.endpoints[a.Endpoint].linkUse = 1
	actions := r.Handle(begin+millisecond, Event{Kind: EventAttemptEnded, Request: "t", Endpoint: a.Endpoint, Outcome: OutcomeMiss}, nil)
	if onlyAction(t, actions, ActionReject).RetryAfter == 0 {
		t.Fatal("no time to come back")
	}
}

func TestLateEventsAreIgnored(t *testing.T) {
	r := newRouter(nil)
	onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend)
	r.Handle(begin+millisecond, Event{Kind: EventClientGone, Request: "t"}, nil)
	for _, e := range []Event{
		{Kind: EventAttemptEnded, Request: "t", Endpoint: cacheA, Outcome: OutcomeError},
		{Kind: EventResponseStarted, Request: "t", Endpoint: cacheA},
		{Kind: EventClientGone, Request: "t"},
		{Kind: EventAttemptEnded, Request: "t", Endpoint: "nobody:1", Outcome: OutcomeDone},
	} {
		noAction(t, r.Handle(begin+2*millisecond, e, nil), ActionSend, ActionFail, ActionReject)
	}
}

// A silent parent once held every miss that named it until clients left.
func TestParentWithLateFillsIsRested(t *testing.T) {
	r := newRouter(nil)
	more := testEndpoints()[2]
	more.ID = "q:1"
	r.Handle(begin, Event{Kind: EventEndpoints, Scope: ScopeDiff, Endpoints: []Endpoint{more}}, nil)
	bad, good := r.endpoints[parentA], r.endpoints["q:1"]
	for range minSamples {
		r.observeFill(good, true)
	}
	for range minSamples/2 - 1 {
		r.observeFill(bad, false)
	}
	if bad.health != healthy {
		t.Fatal("rested before half of its fills were late")
	}
	if r.observeFill(bad, false); bad.health != ejected {
		t.Fatal("not rested although half of its fills were late")
	}
	good.fillSamples = slices.Repeat([]sample{{begin, true}}, 7)
	if r.observeFill(good, false); good.health != healthy {
		t.Fatal("the last parent up is rested")
	}
}

// One cache short of room beside idle ones once shed what they could answer.
func TestJammedCacheGivesWayToAnIdleOne(t *testing.T) {
	r := newRouter(nil)
	first := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend).Endpoint
	r.endpoints[first].limiters[attemptFill] = limiter{inFlight: 5, limit: 2}
	e := newRequest("read")
	e.Request = "u"
	if a := onlyAction(t, r.Handle(begin, e, nil), ActionSend); a.Endpoint == first || a.Source == a.Endpoint {
		t.Fatalf("the idle cache was not asked to fill: %+v", a)
	}
}

func TestHashFollowsSize(t *testing.T) {
	r := newRouter(nil)
	r.endpoints[cacheA].hashWeight = 3 * r.endpoints[cacheB].hashWeight
	got := 0
	for i := range 1000 {
		if r.selectEndpoint(&request{state: stateNotExecuted, key: hash(fmt.Sprint(i))}, roleCache, nil) == r.endpoints[cacheA] {
			got++
		}
	}
	if got < 700 || got > 800 {
		t.Fatalf("%d of 1000 objects at a cache of three quarters of the size", got)
	}
}

func TestLookTakesACopyWithinItsGrace(t *testing.T) {
	r := newRouter(func(s *Settings) { s.Classes[0].StaleGrace = 10 * second })
	saturateCaches(r)
	if a := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend); a.MaxAge != 18*second {
		t.Fatalf("a look with age %d, want fresh and grace", a.MaxAge)
	}
}

// Stuck fills once held their places until the client left, where sizes aren't told until now.
func TestHopEndsAtTwiceItsSLATime(t *testing.T) {
	r := newRouter(nil)
	e := newRequest("read")
	if a := onlyAction(t, r.Handle(begin, e, nil), ActionSend); a.Timeout != second {
		t.Fatalf("time-out %d, want twice the SLA time", a.Timeout)
	}
	e.Request, e.SizeKB = "u", 0
	if a := onlyAction(t, r.Handle(begin, e, nil), ActionSend); a.Timeout != second {
		t.Fatalf("time-out %d of a hop of unknown size", a.Timeout)
	}
	// Past the caches there is no place to hold.
	e.Request, e.Class = "v", "once"
	if a := onlyAction(t, r.Handle(begin, e, nil), ActionSend); a.Timeout != e.Remaining {
		t.Fatalf("time-out %d of a write", a.Timeout)
	}
}

// Hops past a lost location once ran out by the thousand at the parents.
func TestHopsStraightToAParentAreLimited(t *testing.T) {
	r := newRouter(nil)
	r.endpoints[cacheA].active, r.endpoints[cacheB].active = false, false
	if a := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend); a.Endpoint != parentA || a.Source != originA {
		t.Fatalf("not straight to the parent: %+v", a)
	}
	r.bypassLimiters = [attemptKinds]limiter{{inFlight: 5, limit: 2}, {inFlight: 5, limit: 2}, {inFlight: 5, limit: 2}} // whichever parent they went to
	e := newRequest("read")
	e.Request = "u"
	onlyAction(t, r.Handle(begin, e, nil), ActionReject)
}

// A router that started while its location was away had no limit to go by, and rejected all.
func TestRouterWithoutCachesGoesStraightToAParent(t *testing.T) {
	r := New(testSettings(), 1)
	r.Handle(begin, Event{Kind: EventEndpoints, Scope: ScopeSnapshot, Endpoints: testEndpoints()[2:]}, nil)
	if a := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend); a.Endpoint != parentA {
		t.Fatalf("not straight to the parent: %+v", a)
	}
}

// A lost parent once went unseen by routers that name it once in seconds.
func TestLateFillProbesItsParent(t *testing.T) {
	r := newRouter(func(s *Settings) { s.Limits.HealthChecks = true })
	s := r.endpoints[parentA]
	r.observeFill(s, true)
	noAction(t, r.actions, ActionHealthCheck)
	r.observeFill(s, false)
	if a := onlyAction(t, r.actions, ActionHealthCheck); a.Endpoint != parentA || s.health != suspect {
		t.Fatalf("health %d after a late fill, action %+v", s.health, a)
	}
	if r.Handle(begin, Event{Kind: EventHealthCheck, Endpoint: parentA, Outcome: OutcomeTimeout}, nil); s.health != ejected {
		t.Fatal("not rested after a failed probe")
	}
}

// Limits that fell only once answers missed the SLA time kept a fifth of them late.
func TestHopCountsAsLateBeforeItsSLATime(t *testing.T) {
	for share, want := range map[int64]bool{79: false, 81: true} {
		r := newRouter(nil)
		get := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend)
		objective := r.requests["t"].latencyObjective()
		r.Handle(begin+objective*share/100, Event{Kind: EventAttemptEnded, Request: "t", Endpoint: get.Endpoint, Outcome: OutcomeDone, Final: true}, nil)
		if got := r.endpoints[get.Endpoint].limiters[attemptFill].samples[0].bad; got != want {
			t.Fatalf("late %v after %d%% of the SLA time", got, share)
		}
	}
}

// Each txn once looked through the caches of every location.
func TestCachesOfOtherLocationsAreLeftOut(t *testing.T) {
	r := newRouter(nil)
	more := []Endpoint{{ID: "far:1", Zone: "y", Kind: "box", State: EndpointActive, Weight: 10}}
	r.Handle(begin, Event{Kind: EventEndpoints, Scope: ScopeDiff, Endpoints: more}, nil)
	if r.endpoints["far:1"] != nil || len(r.ordered) != len(testEndpoints()) {
		t.Fatalf("%d servers kept of a list of %d of use", len(r.ordered), len(testEndpoints()))
	}
	r.Handle(begin, Event{Kind: EventAttemptEnded, Request: "t", Endpoint: "far:1", Outcome: OutcomeDone}, nil)
}

// A limit at its floor once stayed there: no hop was out when the last ended.
func TestLimitRisesFromItsFloor(t *testing.T) {
	r := newRouter(nil)
	m := &limiter{limit: 2}
	if r.adjustLimit(m, true); m.limit <= 2 {
		t.Fatal("not raised by the one hop there was room for")
	}
}

// A router's part of a cache may be less than one hop: then some txns find room, others none.
func TestLimitBelowOneHopIsAChance(t *testing.T) {
	r := newRouter(nil)
	r.config.zoneShare = 0.1
	m, went := &limiter{limit: 1}, 0
	if r.adjustLimit(m, true); m.limit > 1.06 || m.limit < 1.04 {
		t.Fatalf("limit %v, want half a tenth above one", m.limit)
	}
	if r.adjustLimit(m, false); m.limit > 1 {
		t.Fatalf("limit %v after two hops, one late", m.limit)
	}
	m.limit = 0.4
	for range 1000 {
		if !r.saturated(&request{}, m) {
			went++
		}
	}
	if went < 150 || went > 250 {
		t.Fatalf("%d of 1000 found room at half of 0.4", went)
	}
	if m.inFlight = 1; !r.saturated(&request{}, m) {
		t.Fatal("a second hop went out")
	}
}

// Behind a slow origin parents still hold much of what caches miss.
func TestLoanAfterALook(t *testing.T) {
	r := newRouter(nil)
	saturateCaches(r)
	look := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend)
	miss := Event{Kind: EventAttemptEnded, Request: "t", Endpoint: look.Endpoint, Outcome: OutcomeMiss}
	if a := onlyAction(t, r.Handle(begin+millisecond, miss, nil), ActionSend); a.Source != parentA || a.FillMode&FillNoFetch == 0 {
		t.Fatalf("not a loan: %+v", a)
	}
	r = newRouter(nil)
	for _, id := range []string{cacheA, cacheB} {
		r.endpoints[id].limiters[attemptFill] = limiter{inFlight: 5, limit: 2}
		r.endpoints[id].linkUse = 1
	}
	r.Handle(begin, newRequest("read"), nil)
	onlyAction(t, r.Handle(begin+millisecond, miss, nil), ActionReject)
}

func TestFailedReadGoesAgainWhileFewFail(t *testing.T) {
	for failed, want := range map[int]ActionKind{minSamples/4 - 2: ActionSend, minSamples/4 - 1: ActionReject} {
		r := newRouter(nil)
		for i := range minSamples - 1 {
			r.fillSamples = append(r.fillSamples, sample{begin, i < failed})
		}
		get := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend)
		out := Event{Kind: EventAttemptEnded, Request: "t", Endpoint: get.Endpoint, Outcome: OutcomeBusy}
		onlyAction(t, r.Handle(begin+millisecond, out, nil), want)
	}
}

// A spell of errors at all caches alike once cut every limit and ended second hops: up to 23% were refused.
// A fill that failed for a reason still counts.
func TestErrorsWithoutAReasonCutNothing(t *testing.T) {
	for note, outcome := range map[Reason]Outcome{ReasonNone: OutcomeError, ReasonUpstreamDown: OutcomeError, -1: OutcomeConnectionReset} {
		r := newRouter(func(s *Settings) { s.Hierarchy.ReasonsGiven = "all" })
		start := r.endpoints[cacheA].limiters[attemptFill].limit
		for i := range 40 {
			e, now := newRequest("read"), begin+int64(i)*millisecond
			e.Request = fmt.Sprint(i)
			get := onlyAction(t, r.Handle(now, e, nil), ActionSend)
			actions := r.Handle(now, Event{Kind: EventAttemptEnded, Request: e.Request, Endpoint: get.Endpoint, Outcome: outcome, Reason: max(note, 0)}, nil)
			if note == 0 {
				onlyAction(t, actions, ActionSend)
			}
			r.Handle(now, Event{Kind: EventClientGone, Request: e.Request}, nil)
		}
		if got := min(r.endpoints[cacheA].limiters[attemptFill].limit, r.endpoints[cacheB].limiters[attemptFill].limit); (got < start) != (note > 0) {
			t.Errorf("note %d: limit %g, %g at the start", note, got, start)
		}
	}
}

// On a day that replaces its servers all the time, those gone were once remembered for good.
func TestGoneServersAreForgotten(t *testing.T) {
	r := newRouter(nil)
	get := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend)
	gone := []Endpoint{{ID: cacheA, Zone: "z", Kind: "box", State: EndpointGone}, {ID: cacheB, Zone: "z", Kind: "box", State: EndpointGone}}
	r.Handle(begin+millisecond, Event{Kind: EventEndpoints, Scope: ScopeDiff, Endpoints: gone}, nil)
	r.Handle(begin+50*millisecond, Event{Kind: EventTimer}, nil)
	if len(r.endpoints) != 3 || r.endpoints[get.Endpoint] == nil {
		t.Fatalf("%d servers, want two and the one with a hop out", len(r.endpoints))
	}
	r.Handle(begin+60*millisecond, Event{Kind: EventAttemptEnded, Request: "t", Endpoint: get.Endpoint, Outcome: OutcomeDone, Final: true}, nil)
	r.Handle(begin+90*millisecond, Event{Kind: EventTimer}, nil)
	if len(r.endpoints) != 2 || len(r.ordered) != 2 {
		t.Fatalf("%d servers, %d in order", len(r.endpoints), len(r.ordered))
	}
}

// A txn that the router's own copies answer weighs as any other, and opens nothing.
func TestKeptTxnsAreCountedOnly(t *testing.T) {
	r := New(Settings{
		Routers: 1, Zone: "z", Zones: []string{"z"}, EndpointKinds: []string{"box", "origin"},
		Hierarchy: Hierarchy{OriginKind: 1, ParentKind: -1},
	}, 1)
	for range 3 {
		for _, a := range r.Handle(1, Event{Kind: EventLocalHit, Request: "t", Object: "x", Part: 2}, nil) {
			if a.Kind != ActionSetTimer {
				t.Fatalf("action %+v", a)
			}
		}
	}
	if n := r.popularity.Estimate(hash("x", 2)); n != 3 || len(r.requests) != 0 {
		t.Fatalf("estimate %d, %d txns open", n, len(r.requests))
	}
}

// fill asks for an object and ends its hop; it tells whether a fill was asked for.
func fill(r *Router, n int, end Event) bool {
	e := newRequest("read")
	e.Request, e.Object = "f"+string(rune('a'+n%26))+string(rune('0'+n/26%10)), string(rune('a'+n%26))
	for _, a := range r.Handle(r.now, e, nil) {
		if a.Kind == ActionSend && a.Source != a.Endpoint && a.FillMode&FillNoFetch == 0 {
			end.Kind, end.Request, end.Endpoint, end.Final = EventAttemptEnded, e.Request, a.Endpoint, end.Outcome == OutcomeDone
			r.Handle(r.now, end, nil)
			r.Handle(r.now, Event{Kind: EventClientGone, Request: e.Request}, nil)
			return true
		}
	}
	r.Handle(r.now, Event{Kind: EventClientGone, Request: e.Request}, nil)
	return false
}

// Many routers that see few fills each once pushed a slow origin over: none of them had
// enough late ones at any cache to cut a limit.
func TestFillsAreLeftOutAsTheOriginSlows(t *testing.T) {
	asked := func(r *Router, n int, end Event) (fills int) {
		for i := range n {
			r.now += 300 * millisecond
			if fill(r, i, end) {
				fills++
			}
		}
		return fills
	}
	calm := Event{Outcome: OutcomeDone, Reason: ReasonMissOrigin, OriginWait: 100 * millisecond, RTT: 150 * millisecond}
	slow := Event{Outcome: OutcomeDone, Reason: ReasonMissOrigin, OriginWait: 1600 * millisecond, RTT: 150 * millisecond}
	r := newRouter(nil)
	if got := asked(r, 40, calm); got != 40 {
		t.Fatalf("in calm %d of 40 fills", got)
	}
	for range 40 { // fills that are overdue while told waits are as ever: their caches are slow
		r.originDelay.observeOverdue(float64(2 * second))
	}
	if r.originDelay.current > bearableDelay*r.originDelay.baseline {
		t.Error("overdue fills alone count as the origin's")
	}
	// Up to twice as long is bearable.
	if got := asked(r, 40, Event{Outcome: OutcomeDone, Reason: ReasonMissOrigin, OriginWait: 180 * millisecond, RTT: 150 * millisecond}); got != 40 {
		t.Errorf("at 1.8 times calm %d of 40 fills", got)
	}
	r = newRouter(nil)
	asked(r, 40, calm)
	asked(r, 6, slow)
	if got := asked(r, 100, slow); got > 40 {
		t.Errorf("at sixteen times calm %d of 100 fills", got)
	} else if got == 0 {
		t.Error("nobody finds out when it is back")
	}
	asked(r, 60, calm)
	if got := asked(r, 40, calm); got != 40 {
		t.Errorf("back in calm %d of 40 fills", got)
	}
	// Where reasons are not told, nothing is left out.
	r = newRouter(nil)
	asked(r, 10, Event{Outcome: OutcomeDone, RTT: 150 * millisecond})
	if got := asked(r, 40, Event{Outcome: OutcomeDone, RTT: 150 * millisecond}); got != 40 {
		t.Errorf("untold: %d of 40 fills", got)
	}
}

// Each failure takes an origin farther from calm, a while without any brings it back,
// and a txn that it failed asks it no more.
func TestAFailingOriginIsAskedEverLess(t *testing.T) {
	d := originDelay{}
	d.observeFailure()
	if d.current != 0 {
		t.Fatal("nothing was told, but it counts")
	}
	d.observeReported(second, 100)
	d.observeFailure()
	first := d.current
	for range 100 {
		d.observeFailure()
	}
	if first <= bearableDelay*d.baseline || d.current <= first || d.current > 64*d.baseline {
		t.Errorf("late %g after the first, %g after all", first, d.current)
	}
	for range int(20 * second / timerInterval) {
		d.decay(timerInterval)
	}
	if d.current > bearableDelay*d.baseline {
		t.Errorf("late %g after 20 s", d.current)
	}
	r := newRouter(nil)
	fill(r, 1, Event{Outcome: OutcomeDone, Reason: ReasonMissOrigin, OriginWait: 100 * millisecond})
	sent := onlyAction(t, r.Handle(r.now, newRequest("read"), nil), ActionSend)
	for _, a := range r.Handle(r.now+millisecond, Event{Kind: EventAttemptEnded, Request: "t", Endpoint: sent.Endpoint, Outcome: OutcomeBusy, Reason: ReasonOriginError}, nil) {
		if a.Kind == ActionSend && a.Source != a.Endpoint && a.FillMode&FillNoFetch == 0 {
			t.Errorf("asks the origin again: %+v", a)
		}
	}
}

// A new life once had a fresh share of cold budgets.
func TestANewLifeHoldsBackForAWindow(t *testing.T) {
	set := testSettings()
	set.Routers, set.Hierarchy.RoutersByZone = 1, []int{0, 1}
	r := New(set, 1)
	list := testEndpoints()
	list[0].StartedAt, list[1].State = begin-second, EndpointGone
	r.Handle(begin, Event{Kind: EventEndpoints, Scope: ScopeDisk, Endpoints: list}, nil)
	if a := onlyAction(t, r.Handle(begin+second/2, newRequest("read"), nil), ActionSend); a.Endpoint == cacheA {
		t.Error("a cold cache is sent to within the window")
	}
	e := newRequest("read")
	e.Request = "later"
	if a := onlyAction(t, r.Handle(begin+second, e, nil), ActionSend); a.Endpoint != cacheA {
		t.Errorf("after the window it goes to %s", a.Endpoint)
	}
}
