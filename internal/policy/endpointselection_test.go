package policy

import (
	"fmt"
	"testing"
)

func TestHashingFollowsWeight(t *testing.T) {
	r := newRouter(nil)
	r.endpoints[cacheA].hashWeight = 3 * r.endpoints[cacheB].hashWeight
	got := 0
	for i := range 1000 {
		q := &request{state: stateNotExecuted, key: hash(fmt.Sprint(i))}
		if r.selectEndpoint(q, roleCache, nil) == r.endpoints[cacheA] {
			got++
		}
	}
	if got < 700 || got > 800 {
		t.Fatalf("%d of 1000 objects at a cache of three quarters of the size", got)
	}
}
