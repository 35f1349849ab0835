package policy

import (
	"fmt"
	"testing"
)

func TestHashingFollowsWeight(t *testing.T) {
	r := newRouter(nil)
	r.endpoints[cacheA].hashWeight = 3 * r.endpoints[cacheB].hashWeight
	atLargerCache := 0
	for i := range 1000 {
		req := &request{state: stateNotExecuted, key: hash(fmt.Sprint(i))}
		if r.selectEndpoint(req, roleCache, nil) == r.endpoints[cacheA] {
			atLargerCache++
		}
	}
	if atLargerCache < 700 || atLargerCache > 800 {
		t.Fatalf("%d of 1000 objects at a cache with three quarters of the weight", atLargerCache)
	}
}
