package policy_test

import (
	"fmt"
	"strconv"
	"testing"

	"quilldoor/internal/policy"
)

const (
	millisecond = int64(1000) // in microseconds
	second      = 1000 * millisecond
	benchStart  = 100 * second
)

func benchSettings() policy.Settings {
	return policy.Settings{
		Routers: 2, Zone: "z", Zones: []string{"hub", "z"}, EndpointKinds: []string{"box", "parent", "origin"},
		Contract: policy.Contract{
			SlowStartFor: 10 * second, SlowStartFrom: 0.2, OverloadWindow: second, OverloadMultiple: 2,
			DrainGrace: second,
		},
		Limits: policy.Limits{
			Cancel: true, RetryAfter: true, Hedging: true, MaxAttempts: 6, MaxRetryAfter: second / 2,
		},
		Hierarchy: policy.Hierarchy{
			CacheBypass: true, ParentKind: 1, OriginKind: 2, StreamKBPerS: 1000, ParentSlowStartFrom: 0.1,
			ParentSlowStartFor: 10 * second, ParentOverloadMultiple: 2, PurgeSettleTime: 6 * second,
			RoutersByZone: []int{0, 2}, ReasonsGiven: "all",
		},
		Classes: []policy.TrafficClass{
			{Name: "read", LatencyObjective: 500 * millisecond, PriorityWeight: 1, FreshFor: 8 * second},
		},
	}
}

// benchRouter returns a Router with a number of caches, a parent and an origin in its endpoint list.
func benchRouter(caches int) *policy.Router {
	endpoints := []policy.Endpoint{
		{ID: "p:1", Zone: "hub", Kind: "parent", State: "active", Weight: 40},
		{ID: "o:1", Zone: "hub", Kind: "origin", State: "active", Weight: 1},
	}
	for i := range caches {
		endpoints = append(endpoints, policy.Endpoint{
			ID: fmt.Sprintf("c%03d:1", i), Zone: "z", Kind: "box", State: "active", Weight: 10,
		})
	}
	r := policy.New(benchSettings(), 1)
	r.Handle(benchStart, policy.Event{Kind: policy.EventEndpoints, Scope: "snapshot", Endpoints: endpoints}, nil)
	return r
}

// saturate lowers the fill limits of all caches, so that those with a fill in flight accept no other.
func saturate(b *testing.B, r *policy.Router) {
	snapshot := r.Snapshot()
	for i := range snapshot.Endpoints {
		snapshot.Endpoints[i].Limiters[0].Limit = 0.1
	}
	if err := r.Restore(snapshot); err != nil {
		b.Fatal(err)
	}
}

var objects = func() (names [1024]string) {
	for i := range names {
		names[i] = "object-" + strconv.Itoa(i)
	}
	return names
}()

// handleRequests handles requests, each from its arrival to its completion, and a timer event every 25 ms. The clock
// advances by apart before each arrival and each completion.
func handleRequests(b *testing.B, r *policy.Router, apart int64) {
	b.ReportAllocs()
	var actions []policy.Action
	now, timer := benchStart, benchStart
	for i := 0; b.Loop(); i++ {
		now += apart
		actions = r.Handle(now, policy.Event{
			Kind: policy.EventRequest, Request: "r", Class: "read", Object: objects[i*i%len(objects)], SizeKB: 100,
			Remaining: 3 * second,
		}, actions[:0])
		now += apart
		if sent := endpointOf(actions); sent != "" {
			actions = r.Handle(now, policy.Event{
				Kind: policy.EventAttemptEnded, Request: "r", Endpoint: sent, Attempt: 0,
				Outcome: policy.OutcomeDone, Reason: policy.ReasonMissOrigin, Final: true, RTT: 2 * apart,
				OriginWait: 10 * millisecond,
			}, actions[:0])
		}
		if now >= timer {
			timer = now + 25*millisecond
			actions = r.Handle(now, policy.Event{Kind: policy.EventTimer, Token: 1}, actions[:0])
		}
	}
}

// endpointOf returns the endpoint of the attempt that the actions send, "" if there is none.
func endpointOf(actions []policy.Action) string {
	for _, a := range actions {
		if a.Kind == policy.ActionSend {
			return a.Endpoint
		}
	}
	return ""
}

func BenchmarkRequestFewEndpoints(b *testing.B) { handleRequests(b, benchRouter(3), 5*millisecond) }

func BenchmarkRequestManyEndpoints(b *testing.B) { handleRequests(b, benchRouter(200), 5*millisecond) }

// BenchmarkRequestSaturatedCaches has attempts in flight at each cache, whose limits permit no further fills. The clock
// advances by 1 µs at a time, so that they remain in flight.
func BenchmarkRequestSaturatedCaches(b *testing.B) {
	r := benchRouter(20)
	openRequests(r, 400)
	saturate(b, r)
	handleRequests(b, r, 1)
}

// openRequests opens a number of requests and leaves their attempts in flight.
func openRequests(r *policy.Router, count int) {
	for i := range count {
		r.Handle(benchStart, policy.Event{
			Kind: policy.EventRequest, Request: strconv.Itoa(i), Class: "read", Object: objects[i], SizeKB: 100,
			Remaining: 3 * second,
		}, nil)
	}
}

// BenchmarkTimerManyOpen handles timer events with 500 open requests at 200 caches.
func BenchmarkTimerManyOpen(b *testing.B) {
	b.ReportAllocs()
	r := benchRouter(200)
	openRequests(r, 500)
	var actions []policy.Action
	for b.Loop() {
		actions = r.Handle(benchStart+millisecond, policy.Event{Kind: policy.EventTimer, Token: 1}, actions[:0])
	}
}
