package policy

import "testing"

func TestAdmissionComparesWithTheLeastRecentObject(t *testing.T) {
	r := newRouter(nil)
	cache := r.endpoints[cacheA]
	for i := range maxCachedObjects {
		if r.chooseCachePriority(cache, uint64(i)) != 2 {
			t.Fatal("not admitted although there is room")
		}
	}
	if r.chooseCachePriority(cache, 1000) != 0 || len(cache.cached) != maxCachedObjects {
		t.Fatal("admitted although its estimate is no higher than that of the least recent object")
	}
	recordSample(r.popularity, 1000)
	if r.chooseCachePriority(cache, 1000) != 2 || cache.cached[0] != 1 || cache.cached[maxCachedObjects-1] != 1000 {
		t.Fatal("not admitted although its estimate is higher than that of the least recent object")
	}
	if r.chooseCachePriority(cache, 5) != 2 || cache.cached[maxCachedObjects-1] != 5 || len(cache.cached) != maxCachedObjects {
		t.Fatal("a listed object does not become the most recent when it is requested")
	}
}

// Guards against lists that are too long for the few requests that each of many routers in a zone receives.
func TestCachedObjectsShrinkWithTheZonesRouters(t *testing.T) {
	r := newRouter(func(s *Settings) { s.Hierarchy.RoutersByZone = []int{0, 16} })
	if r.config.maxCachedObjects != maxCachedObjects/4 || r.popularitySample != 2*10*maxCachedObjects/4 {
		t.Fatalf("list of %d objects, popularity halved after %d requests", r.config.maxCachedObjects, r.popularitySample)
	}
}

// Guards against a panic at the first read in a zone with so many routers that this router's part of a cache's list of
// objects is less than one object.
func TestAdmissionWithMoreRoutersThanObjects(t *testing.T) {
	r := newRouter(func(settings *Settings) { settings.Hierarchy.RoutersByZone = []int{0, 5000} })
	onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend)
}
