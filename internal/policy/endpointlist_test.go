package policy

import (
	"fmt"
	"testing"
)

func TestDrainingAndRemovedEndpointsGetNoAttempts(t *testing.T) {
	r := newRouter(nil)
	unavailable := []Endpoint{testEndpoints()[0], testEndpoints()[2]}
	unavailable[0].State, unavailable[1].State = EndpointDraining, EndpointRemoved
	r.Handle(begin, Event{Kind: EventEndpoints, Scope: ScopeDiff, Endpoints: unavailable}, nil)
	for i := range 20 {
		e := newRequest("read")
		e.Request, e.Object = fmt.Sprint(i), fmt.Sprint(i)
		if a := onlyAction(t, r.Handle(begin, e, nil), ActionSend); a.Endpoint != cacheB || a.Source != originA {
			t.Fatalf("sent to %s with fill source %s", a.Endpoint, a.Source)
		}
	}
}

// Guards against work for each request that grows with the fleet.
func TestCachesOfOtherZonesAreIgnored(t *testing.T) {
	r := newRouter(nil)
	listed := []Endpoint{{ID: "far:1", Zone: "y", Kind: "box", State: EndpointActive, Weight: 10}}
	r.Handle(begin, Event{Kind: EventEndpoints, Scope: ScopeDiff, Endpoints: listed}, nil)
	if r.endpoints["far:1"] != nil || len(r.ordered) != len(testEndpoints()) {
		t.Fatalf("%d endpoints kept, want the %d of this router's zone and hierarchy", len(r.ordered), len(testEndpoints()))
	}
	r.Handle(begin, attemptEnded("far:1", OutcomeDone), nil)
}

// Guards against memory that grows as endpoints are replaced.
func TestRemovedEndpointsAreDropped(t *testing.T) {
	r := newRouter(nil)
	sent := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend)
	removed := []Endpoint{
		{ID: cacheA, Zone: "z", Kind: "box", State: EndpointRemoved},
		{ID: cacheB, Zone: "z", Kind: "box", State: EndpointRemoved},
	}
	r.Handle(begin+millisecond, Event{Kind: EventEndpoints, Scope: ScopeDiff, Endpoints: removed}, nil)
	r.Handle(begin+50*millisecond, Event{Kind: EventTimer}, nil)
	if len(r.endpoints) != 3 || r.endpoints[sent.Endpoint] == nil {
		t.Fatalf("%d endpoints, want the two listed and the one with an attempt in flight", len(r.endpoints))
	}
	end := attemptEnded(sent.Endpoint, OutcomeDone)
	end.Final = true
	r.Handle(begin+60*millisecond, end, nil)
	r.Handle(begin+90*millisecond, Event{Kind: EventTimer}, nil)
	if len(r.endpoints) != 2 || len(r.ordered) != 2 {
		t.Fatalf("%d endpoints, %d of them ordered, want the two listed", len(r.endpoints), len(r.ordered))
	}
}
