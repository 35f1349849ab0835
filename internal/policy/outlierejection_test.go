package policy

import (
	"slices"
	"testing"
)

// Against slow fills behind a cache that are taken for its silence.
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
	s := r.endpoints[cacheA]
	r.observe(s, signalFailed)
	if s.health != suspect {
		t.Fatal("one failure makes no suspect")
	}
	// Attempts of one broken connection end together, and resets may come from all endpoints alike.
	if r.observe(s, signalFailed); s.health != suspect {
		t.Fatal("two attempts that end together eject an endpoint")
	}
	r.now += 100 * millisecond
	if r.observe(s, signalFailed); s.health != ejected || r.usable(s, &request{cost: 1}) {
		t.Fatal("two failures do not eject an endpoint")
	}
	r.now = s.healthHeldUntil
	if r.observe(s, signalEjectionOver); s.health != probation || !r.usable(s, &request{cost: 1}) {
		t.Fatal("no probation after the ejection")
	}
	if r.observe(s, signalAnswered); s.health != healthy {
		t.Fatal("not readmitted after an answer")
	}
}

// Against a silent parent that holds each miss until its client leaves.
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
	timely.fillSamples = slices.Repeat([]sample{{begin, true}}, 7)
	if r.observeFill(timely, false); timely.health != healthy {
		t.Fatal("the last healthy parent is ejected")
	}
}

// Against a lost parent that goes unseen by routers that name it seldom.
func TestLateFillBringsAHealthCheck(t *testing.T) {
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
