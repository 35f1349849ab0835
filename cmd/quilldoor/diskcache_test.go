package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// cacheMode is how the cache of a disk cache's test responds.
type cacheMode string

const (
	cacheServes           cacheMode = "serves"            // with the object
	cacheRejects          cacheMode = "rejects"           // every attempt
	cacheRevalidatesOther cacheMode = "revalidates other" // confirms another copy than the one asked about
	cacheRevalidates      cacheMode = "revalidates"       // confirms the copy
)

// diskCacheTest is a router with a disk cache before one cache that holds one object.
type diskCacheTest struct {
	cache  *fakeEndpoint
	mode   atomic.Value // a cacheMode
	client *testClient
	body   string // of the object
}

// startDiskCacheTest starts a router whose copies are fresh for 1.5 s.
func startDiskCacheTest(t *testing.T) *diskCacheTest {
	t.Helper()
	dir := t.TempDir()
	operatorFile := filepath.Join(t.TempDir(), "own.yaml")
	writeFile(t, operatorFile, []byte("disk: {path: "+dir+", size_mb: 16, slot_kb: 1, sync_ms: 10, read_wait_ms: 500}\n"))
	test := &diskCacheTest{body: strings.Repeat("video", 200)}
	test.mode.Store(cacheServes)
	test.cache = newFakeEndpoint(t, test.respond)
	freshness := strings.NewReplacer(`"NotesGiven":"all"`,
		`"NotesGiven":"all","GoodForMs":[1500,0],"ClassGraceMs":[60000,0],"ClearedWithinMs":1`)
	addr := test.cache.Addr().String()
	router := startRouterWith(t, addr, addr, operatorFile, freshness)
	router.waitForLog(t, "disk cache recovered")
	time.Sleep(150 * time.Millisecond) // copies issued from now on are covered by the purges that the router knows
	test.client = dial(t, router.addr)
	return test
}

// respond answers an attempt by the cache's mode.
func (d *diskCacheTest) respond(id, fields, _ string) string {
	now := time.Now().UnixMilli()
	switch mode := d.mode.Load(); {
	case mode == cacheRejects:
		return id + " AGAIN - 0\r\n\r\n"
	case mode == cacheRevalidatesOther && strings.Contains(fields, "mine="):
		return fmt.Sprintf("%s NOMOD entity=other,issued=%d 0\r\n\r\n", id, now)
	case mode == cacheRevalidates && strings.Contains(fields, "mine=e1"):
		return fmt.Sprintf("%s NOMOD entity=e1,issued=%d 0\r\n\r\n", id, now)
	}
	return fmt.Sprintf("%s ACK entity=e1,issued=%d,detail=HIT %d\r\n%s\r\n", id, now, len(d.body), d.body)
}

// get asks for the object and returns the response's body.
func (d *diskCacheTest) get(t *testing.T, headers, status string) string {
	t.Helper()
	d.client.sendRequest("GET", "/rpc/page/film/n-1", headers, "")
	_, body := d.client.expectStatus(t, status)
	return body
}

// takeAttempts returns the number of attempts since its last call.
func (d *diskCacheTest) takeAttempts() int {
	attempts := 0
	for len(d.cache.received) > 0 {
		<-d.cache.received
		attempts++
	}
	return attempts
}

// Guards against a disk cache that is not used while its copy is fresh, serves a stale
// copy without a revalidation, or fails to stand in for a rejecting cache within its grace.
func TestCopiesOnDisk(t *testing.T) {
	const freshTime = 1500 * time.Millisecond
	test := startDiskCacheTest(t)
	for range 2 {
		test.get(t, "", "200")
	}
	storedAt := time.Now()
	time.Sleep(50 * time.Millisecond)
	test.takeAttempts()
	test.checkFreshCopy(t)
	time.Sleep(time.Until(storedAt.Add(freshTime + 100*time.Millisecond)))
	test.checkStaleCopy(t)
	test.mode.Store(cacheRejects)
	test.client.sendRequest("PUT", "/rpc/sign/film", "", "name")
	test.client.expectStatus(t, "503")
}

// checkFreshCopy checks that a fresh copy is served without an attempt.
func (d *diskCacheTest) checkFreshCopy(t *testing.T) {
	t.Helper()
	d.mode.Store(cacheRejects)
	if got := d.get(t, "", "200"); got != d.body {
		t.Fatalf("%.20q from disk", got)
	}
	if got := d.get(t, "If-None-Match: \"e1\"\r\n", "304"); got != "" {
		t.Fatal("a 304 with a body")
	}
	if attempts := d.takeAttempts(); attempts > 0 {
		t.Fatalf("%d attempts for what the disk has", attempts)
	}
}

// checkStaleCopy checks that a stale copy is revalidated, and is served in place of a
// rejection or an error.
func (d *diskCacheTest) checkStaleCopy(t *testing.T) {
	t.Helper()
	if got := d.get(t, "", "200"); got != d.body {
		t.Fatalf("%.20q where the cache rejects", got)
	}
	if d.takeAttempts() == 0 {
		t.Fatal("stale, and served without an attempt")
	}
	// A revalidation of another copy is an error: the copy stands in and stays stale.
	d.mode.Store(cacheRevalidatesOther)
	if got := d.get(t, "", "200"); got != d.body || d.takeAttempts() == 0 {
		t.Fatalf("%.20q after a revalidation of another copy", got)
	}
	d.mode.Store(cacheRevalidates)
	if got := d.get(t, "", "200"); got != d.body {
		t.Fatalf("%.20q after a revalidation", got)
	}
	if attempts := d.takeAttempts(); attempts != 1 {
		t.Fatalf("%d attempts for a revalidation", attempts)
	}
	if got := d.get(t, "", "200"); got != d.body || d.takeAttempts() != 0 {
		t.Fatal("revalidated, and asked for again")
	}
}
