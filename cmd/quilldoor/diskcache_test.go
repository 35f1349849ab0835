package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// cacheMode selects the responses of the cache behind the router.
type cacheMode string

const (
	cacheServes           cacheMode = "serves"            // with the object
	cacheRejects          cacheMode = "rejects"           // every attempt
	cacheRevalidatesOther cacheMode = "revalidates other" // confirms another copy than the requested one
	cacheRevalidates      cacheMode = "revalidates"       // confirms the copy
)

// diskCacheTest is a router with a disk cache in front of one cache that holds one object.
type diskCacheTest struct {
	cache  *fakeEndpoint
	mode   atomic.Value // a cacheMode
	client *testClient
	body   string // of the object
}

// startDiskCacheTest starts a router whose copies are fresh for 1.5 s.
func startDiskCacheTest(t *testing.T) *diskCacheTest {
	t.Helper()
	return startDiskCacheTestWith(t, strings.NewReplacer(`"NotesGiven":"all"`,
		`"NotesGiven":"all","GoodForMs":[1500,0],"ClassGraceMs":[60000,0],"ClearedWithinMs":1`))
}

// startDiskCacheTestWith starts a router whose configuration is changed by a replacer.
func startDiskCacheTestWith(t *testing.T, changes *strings.Replacer) *diskCacheTest {
	t.Helper()
	dir := t.TempDir()
	operatorFile := filepath.Join(t.TempDir(), "own.yaml")
	writeFile(t, operatorFile, []byte("disk: {path: "+dir+", size_mb: 16, slot_kb: 1, sync_ms: 10, read_wait_ms: 500}\n"))
	test := &diskCacheTest{body: strings.Repeat("video", 200)}
	test.mode.Store(cacheServes)
	test.cache = newFakeEndpoint(t, test.respond)
	addr := test.cache.Addr().String()
	router := startRouterWith(t, addr, addr, operatorFile, changes)
	router.waitForLog(t, "disk cache recovered")
	time.Sleep(150 * time.Millisecond) // copies issued from now on are newer than any purge unknown to the router
	test.client = dial(t, router.addr)
	return test
}

// respond returns the response to an attempt in the current mode.
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

// get requests the object and returns the body of the response.
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

// Guards against a disk cache that does not serve a fresh copy, serves a stale copy without an
// attempt at a revalidation, or does not serve it within its grace when the cache rejects the
// attempt.
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
		t.Fatalf("body %.20q from disk", got)
	}
	if got := d.get(t, "If-None-Match: \"e1\"\r\n", "304"); got != "" {
		t.Fatal("the 304 has a body")
	}
	if attempts := d.takeAttempts(); attempts > 0 {
		t.Fatalf("%d attempts for a fresh copy on disk", attempts)
	}
}

// checkStaleCopy checks that a stale copy is revalidated, and is served if the cache rejects
// the attempt or answers with an error.
func (d *diskCacheTest) checkStaleCopy(t *testing.T) {
	t.Helper()
	if got := d.get(t, "", "200"); got != d.body {
		t.Fatalf("body %.20q when the cache rejects attempts", got)
	}
	if d.takeAttempts() == 0 {
		t.Fatal("a stale copy was served without an attempt")
	}
	// A revalidation of another copy is an error: the stale copy is served and stays stale.
	d.mode.Store(cacheRevalidatesOther)
	if got := d.get(t, "", "200"); got != d.body || d.takeAttempts() == 0 {
		t.Fatalf("body %.20q after a revalidation of another copy", got)
	}
	d.mode.Store(cacheRevalidates)
	if got := d.get(t, "", "200"); got != d.body {
		t.Fatalf("body %.20q after a revalidation", got)
	}
	if attempts := d.takeAttempts(); attempts != 1 {
		t.Fatalf("%d attempts for a revalidation", attempts)
	}
	if got := d.get(t, "", "200"); got != d.body || d.takeAttempts() != 0 {
		t.Fatal("body or attempts differ for a revalidated copy")
	}
}
