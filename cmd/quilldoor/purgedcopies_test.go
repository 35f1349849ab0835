package main

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against a client that gets a copy from before a purge that its router knew, because a cache returned the copy
// although the greatest age in the attempt excluded it.
func TestCopyFromBeforeAPurgeIsNotServed(t *testing.T) {
	purgedAt := time.Now().Add(-100 * time.Millisecond).UnixMilli()
	var attempts atomic.Int32
	cache := newFakeEndpoint(t, func(id, _, _ string) string {
		if attempts.Add(1) == 1 {
			return fmt.Sprintf("%s ACK entity=e1,issued=%d,detail=COLLAPSED 3\r\nold\r\n", id, purgedAt-1)
		}
		return fmt.Sprintf("%s ACK entity=e2,issued=%d,detail=HIT 3\r\nnew\r\n", id, time.Now().UnixMilli())
	})
	purge := fmt.Sprintf(`]}},{"rev":2,"flush":{"asset":"x","ms":%d}}]},`, purgedAt)
	router := startRouterWith(t, cache.Addr().String(), cache.Addr().String(), "", strings.NewReplacer(
		`"known":{"rev":1`, `"known":{"rev":2`,
		`]}}]},`, purge,
		`"MasterKind":1`, `"MasterKind":1,"ClearedWithinMs":6000`,
	))
	client := dial(t, router.addr)
	client.sendRequest("GET", "/rpc/page/x", "", "")
	if _, body := client.expectStatus(t, "200"); body != "new" {
		t.Errorf("the client got %q, a copy from before the purge", body)
	}
	if got := attempts.Load(); got != 2 {
		t.Errorf("%d attempts, want 2", got)
	}
}
