package policy

import (
	"slices"
	"testing"
)

// Guards against slow fills that make their cache appear unresponsive.
func TestSuspicionNeedsSeveralUnansweredAttempts(t *testing.T) {
	r := newRouter(nil)
	r.now = begin + 5*second
	ep := r.endpoints[cacheA]
	for unanswered, want := range map[int]health{2: healthy, 3: suspect} {
		ep.inFlight, ep.unansweredSince, ep.health = unanswered, begin, healthy
		if r.sweep(); ep.health != want {
			t.Fatalf("%d unanswered attempts: health %d, want %d", unanswered, ep.health, want)
		}
	}
}

func TestEjectionNeedsTwoFailures(t *testing.T) {
	r := newRouter(nil)
	ep := r.endpoints[cacheA]
	r.observe(ep, signalFailed)
	if ep.health != suspect {
		t.Fatal("an endpoint is not suspect after one failure")
	}
	// The attempts of one broken connection end together, and resets may affect all endpoints alike.
	if r.observe(ep, signalFailed); ep.health != suspect {
		t.Fatal("two failures at the same time eject an endpoint")
	}
	r.now += 100 * millisecond
	if r.observe(ep, signalFailed); ep.health != ejected || r.usable(ep, &request{cost: 1}) {
		t.Fatal("a failure 100 ms after the first does not eject an endpoint")
	}
	r.now = ep.healthHeldUntil
	if r.observe(ep, signalEjectionOver); ep.health != probation || !r.usable(ep, &request{cost: 1}) {
		t.Fatal("not on probation, or not usable, after the ejection")
	}
	if r.observe(ep, signalAnswered); ep.health != healthy {
		t.Fatal("not readmitted after a response")
	}
}

// Guards against an unresponsive parent that delays every miss until the client disconnects.
func TestParentWithLateFillsIsEjected(t *testing.T) {
	r := newRouter(nil)
	secondParent := testEndpoints()[2]
	secondParent.ID = "q:1"
	r.Handle(begin, Event{Kind: EventEndpoints, Scope: ScopeDiff, Endpoints: []Endpoint{secondParent}}, nil)
	late, timely := r.endpoints[parentA], r.endpoints["q:1"]
	for range minSamples {
		r.observeFill(timely, true)
	}
	for range minSamples/2 - 1 {
		r.observeFill(late, false)
	}
	if late.health != healthy {
		t.Fatal("ejected before half of its fills were late")
	}
	if r.observeFill(late, false); late.health != ejected {
		t.Fatal("not ejected although half of its fills were late")
	}
	timely.sourceSamples = slices.Repeat([]sample{{begin, true}}, 7)
	if r.observeFill(timely, false); timely.health != healthy {
		t.Fatal("the only other parent is ejected too")
	}
}

// Guards against an unresponsive parent that stays undetected by routers that rarely use it as a fill source.
func TestLateFillTriggersAHealthCheck(t *testing.T) {
	r := newRouter(func(s *Settings) { s.Limits.HealthChecks = true })
	parent := r.endpoints[parentA]
	r.observeFill(parent, true)
	noAction(t, r.actions, ActionHealthCheck)
	r.observeFill(parent, false)
	if a := onlyAction(t, r.actions, ActionHealthCheck); a.Endpoint != parentA || parent.health != suspect {
		t.Fatalf("health %d after a late fill, action %+v", parent.health, a)
	}
	r.Handle(begin, Event{Kind: EventHealthCheck, Endpoint: parentA, Outcome: OutcomeTimeout}, nil)
	if parent.health != ejected {
		t.Fatal("not ejected after a failed health check")
	}
}
