package policy

import (
	"fmt"
	"testing"
)

func TestDrainedEndpointsGetNothing(t *testing.T) {
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

// Against work for each request that grows with the fleet.
func TestCachesOfOtherZonesAreLeftOut(t *testing.T) {
	r := newRouter(nil)
	more := []Endpoint{{ID: "far:1", Zone: "y", Kind: "box", State: EndpointActive, Weight: 10}}
	r.Handle(begin, Event{Kind: EventEndpoints, Scope: ScopeDiff, Endpoints: more}, nil)
	if r.endpoints["far:1"] != nil || len(r.ordered) != len(testEndpoints()) {
		t.Fatalf("%d endpoints kept of a list of %d of use", len(r.ordered), len(testEndpoints()))
	}
	r.Handle(begin, attemptEnded("far:1", OutcomeDone), nil)
}

// Against memory that grows as endpoints are replaced.
func TestGoneEndpointsAreForgotten(t *testing.T) {
	r := newRouter(nil)
	get := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend)
	gone := []Endpoint{
		{ID: cacheA, Zone: "z", Kind: "box", State: EndpointGone},
		{ID: cacheB, Zone: "z", Kind: "box", State: EndpointGone},
	}
	r.Handle(begin+millisecond, Event{Kind: EventEndpoints, Scope: ScopeDiff, Endpoints: gone}, nil)
	r.Handle(begin+50*millisecond, Event{Kind: EventTimer}, nil)
	if len(r.endpoints) != 3 || r.endpoints[get.Endpoint] == nil {
		t.Fatalf("%d endpoints, want two and the one with an attempt in flight", len(r.endpoints))
	}
	end := attemptEnded(get.Endpoint, OutcomeDone)
	end.Final = true
	r.Handle(begin+60*millisecond, end, nil)
	r.Handle(begin+90*millisecond, Event{Kind: EventTimer}, nil)
	if len(r.endpoints) != 2 || len(r.ordered) != 2 {
		t.Fatalf("%d endpoints, %d in order", len(r.endpoints), len(r.ordered))
	}
}
