package policy

import (
	"testing"

	"quilldoor/internal/tinylfu"
)

// recordSample counts one request in a sketch, as countRequest does, but never halves it.
func recordSample(sketch *tinylfu.Sketch, key uint64) {
	sketch.Record(key)
	sketch.AddSample()
}

// setSamples sets the number of samples that a sketch has counted.
func setSamples(t *testing.T, sketch *tinylfu.Sketch, samples int) {
	t.Helper()
	state := sketch.State()
	state.Samples = samples
	if err := sketch.Restore(state); err != nil {
		t.Fatal(err)
	}
}

func TestSketchCountsAndHalves(t *testing.T) {
	sketch, key := newSketch(), hash("x")
	for i, want := range []uint64{1, 2, 3, 4} {
		if recordSample(sketch, key); sketch.Estimate(key) != want {
			t.Fatalf("after %d: estimate %d, want %d", i+1, sketch.Estimate(key), want)
		}
	}
	for range 50 {
		recordSample(sketch, key)
	}
	if got := sketch.Estimate(key); got != sketchMaxCount+1 {
		t.Fatalf("estimate %d, want the maximum and one for the doorkeeper", got)
	}
	sketch.Halve()
	if got := sketch.Estimate(key); got != sketchMaxCount/2 || sketch.Samples() != 27 {
		t.Fatalf("estimate %d, %d samples after halving", got, sketch.Samples())
	}
}

func TestPopularityIsHalvedAfterItsSample(t *testing.T) {
	r := newRouter(nil)
	setSamples(t, r.popularity, r.popularitySample-1)
	r.Handle(begin, newRequest("read"), nil)
	if r.popularity.Samples() != r.popularitySample/2 {
		t.Fatalf("%d samples after the sample of %d was complete", r.popularity.Samples(), r.popularitySample)
	}
}

func TestWritesAreNotCounted(t *testing.T) {
	r := newRouter(nil)
	a := onlyAction(t, r.Handle(begin, newRequest("once"), nil), ActionSend)
	if a.Endpoint != originA || a.CachePriority != 0 || r.popularity.Samples() != 0 {
		t.Fatalf("write sent as %+v, %d samples counted", a, r.popularity.Samples())
	}
}

// A request that the router answers from its own copies counts like any other, but opens no request.
func TestLocalHitsAreOnlyCounted(t *testing.T) {
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
	if estimate := r.popularity.Estimate(hash("x", 2)); estimate != 3 || len(r.requests) != 0 {
		t.Fatalf("estimate %d, %d requests open", estimate, len(r.requests))
	}
}
