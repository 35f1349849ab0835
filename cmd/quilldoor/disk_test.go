package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// What the disk has stands before the module: served while fresh, proven when it
// is not, and given in place of a refusal within its grace.
func TestCopiesOnDisk(t *testing.T) {
	dir, operatorFile := t.TempDir(), filepath.Join(t.TempDir(), "own.yaml")
	if err := os.WriteFile(operatorFile, []byte("disk: {path: "+dir+", size_mb: 16, slot_kb: 1, sync_ms: 10, read_wait_ms: 500}\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	var mode atomic.Value
	mode.Store("ack")
	body := strings.Repeat("video", 200)
	cache := newFakeEndpoint(t, func(id, fields, _ string) string {
		now := time.Now().UnixMilli()
		switch m := mode.Load().(string); {
		case m == "full":
			return id + " AGAIN - 0\r\n\r\n"
		case m == "odd" && strings.Contains(fields, "mine="):
			return fmt.Sprintf("%s NOMOD entity=other,issued=%d 0\r\n\r\n", id, now)
		case m == "same" && strings.Contains(fields, "mine=e1"):
			return fmt.Sprintf("%s NOMOD entity=e1,issued=%d 0\r\n\r\n", id, now)
		}
		return fmt.Sprintf("%s ACK entity=e1,issued=%d,detail=HIT %d\r\n%s\r\n", id, now, len(body), body)
	})
	countAttempts := func() (n int) {
		for ; len(cache.received) > 0; n++ {
			<-cache.received
		}
		return n
	}
	const freshTime = 1500 * time.Millisecond
	r := startRouterWith(t, cache.Addr().String(), cache.Addr().String(), operatorFile, strings.NewReplacer(`"NotesGiven":"all"`,
		`"NotesGiven":"all","GoodForMs":[1500,0],"ClassGraceMs":[60000,0],"ClearedWithinMs":1`))
	r.waitForLog(t, "disk cache recovered")
	time.Sleep(150 * time.Millisecond) // copies given out from now on are vouched for
	c := dial(t, r.addr)
	get := func(headers, status string) string {
		c.sendRequest("GET", "/rpc/page/film/n-1", headers, "")
		_, got := c.expectStatus(t, status)
		return got
	}
	for range 2 {
		get("", "200")
	}
	at := time.Now()
	time.Sleep(50 * time.Millisecond)
	countAttempts()
	mode.Store("full")
	if got := get("", "200"); got != body {
		t.Fatalf("%.20q from disk", got)
	}
	if got := get("If-None-Match: \"e1\"\r\n", "304"); got != "" {
		t.Fatal("bytes behind a 304")
	}
	if n := countAttempts(); n > 0 {
		t.Fatalf("%d hops for what the disk has", n)
	}
	time.Sleep(time.Until(at.Add(freshTime + 100*time.Millisecond)))
	if got := get("", "200"); got != body { // past its fresh time: asked for, refused, stands in
		t.Fatalf("%.20q where the module refuses", got)
	}
	if countAttempts() == 0 {
		t.Fatal("past its fresh time, and the module was not asked")
	}
	mode.Store("odd")
	// A proof of something else is none: it counts as an error, in whose place the copy stands in, unproven.
	if got := get("", "200"); got != body || countAttempts() == 0 {
		t.Fatalf("%.20q behind a proof of another copy", got)
	}
	mode.Store("same")
	if got := get("", "200"); got != body {
		t.Fatalf("%.20q proven", got)
	}
	if n := countAttempts(); n != 1 {
		t.Fatalf("%d hops for a proof", n)
	}
	if got := get("", "200"); got != body || countAttempts() != 0 {
		t.Fatal("proven, and asked for again")
	}
	mode.Store("full")
	c.sendRequest("PUT", "/rpc/sign/film", "", "name")
	c.expectStatus(t, "503")
}
