package diskrunner

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/crashfs"
	"quilldoor/internal/diskcache"
	"quilldoor/internal/diskcache/diskstore"
	"quilldoor/internal/testsupport"
)

// startTestCache starts a cache with its goroutines on a clock that the test sets. change may
// alter the configuration.
func startTestCache(t *testing.T, fs diskstore.FS, now *atomic.Int64, change func(*Config)) (*Cache, *logtest.Hook) {
	t.Helper()
	log, hook := logtest.NewNullLogger()
	settings := testSettings()
	settings.SyncInterval = 5 * millisecond
	settings.WriteBytesPerSecond = 1 << 30
	config := Config{
		FS: fs, Superblock: diskstore.Superblock{SlotBytes: settings.SlotBytes, Seed: 7}, Settings: settings, ReadTimeout: 2 * time.Second,
		Clock: func() (int64, int64) { return now.Load(), now.Load() },
	}
	if change != nil {
		change(&config)
	}
	cache := Start(config, bufferpool.NewPool(1<<20), log.WithField("t", 1))
	t.Cleanup(func() {
		select {
		case <-cache.stop:
		default:
			cache.Close()
		}
	})
	return cache, hook
}

func pageRequest(object string) *Request {
	return &Request{Class: "page", Object: object, Part: 1, Remaining: 4 * time.Second}
}

// offerCopy requests an object twice, so that the policy admits it, offers a copy of it and
// waits until the write queue is empty.
func offerCopy(t *testing.T, cache *Cache, now int64, object, content string) {
	t.Helper()
	testsupport.WaitUntil(t, "recovery", cache.ready.Load)
	cache.Get(pageRequest(object))
	cache.Get(pageRequest(object))
	body, _ := cache.bodies.ReadBody(strings.NewReader(content), len(content))
	defer body.Release()
	cache.Offer(pageRequest(object), "tag-"+object, now/millisecond, body)
	testsupport.WaitUntil(t, "the write of "+object, func() bool { return cache.State().Size.QueuedBytes == 0 })
}

// contentOf returns the bytes of a copy, or "none" for a nil copy.
func contentOf(cached *Copy) string {
	if cached == nil {
		return "none"
	}
	return string(bytes.Join(cached.AppendBuffers(nil), nil))
}

func clockAt(micros int64) *atomic.Int64 {
	var now atomic.Int64
	now.Store(micros)
	return &now
}

// An offered copy can be read until it is purged. After a restart it is served only once it
// has been revalidated, and past its fresh time only in place of a failure, during the grace.
func TestOfferAndGet(t *testing.T) {
	now := clockAt(1000 * second)
	fs := crashfs.New()
	cache, _ := startTestCache(t, fs, now, nil)
	testsupport.WaitUntil(t, "recovery", cache.ready.Load)
	now.Add(second)
	long := strings.Repeat("0123456789", 300)
	offerCopy(t, cache, now.Load(), "x", long)
	cached := cache.Get(pageRequest("x"))
	if contentOf(cached) != long || cached.Tag != "tag-x" || !cached.Fresh || !cached.Serve(false) {
		t.Fatalf("the copy of x is not served as it was offered: content %.20q", contentOf(cached))
	}
	cache.Purge("x", 0, now.Load())
	if cached.Serve(false) {
		t.Fatal("a copy of x that was purged after its read is served")
	}
	cached.Release()
	if cache.Get(pageRequest("x")) != nil || cache.Get(pageRequest("y")) != nil || cache.Get(&Request{Class: "none"}) != nil {
		t.Fatal("Get returned a copy that was purged or never offered")
	}
	offerCopy(t, cache, now.Add(second), "x", "second")
	cache.Close()

	cache, _ = startTestCache(t, fs, now, nil)
	testsupport.WaitUntil(t, "recovery", cache.ready.Load)
	cached = cache.Get(pageRequest("x"))
	if contentOf(cached) != "second" || cached.Fresh || cached.Serve(false) || cached.ServeStale(false) {
		t.Fatalf("after the restart: content %q, fresh %v; want a copy to be revalidated", contentOf(cached), cached != nil && cached.Fresh)
	}
	cached.Revalidated(now.Add(second)/millisecond, true)
	cached.Release()
	if cached = cache.Get(pageRequest("x")); contentOf(cached) != "second" || !cached.Fresh {
		t.Fatal("the revalidated copy of x is not fresh")
	}
	cached.Release()

	now.Add(70 * second) // past the fresh time, within the grace
	if cached = cache.Get(pageRequest("x")); cached == nil || cached.Fresh || !cached.ServeStale(false) {
		t.Fatal("a stale copy does not replace a failure within its grace")
	}
	now.Add(60 * second)
	if cached.ServeStale(false) {
		t.Fatal("a stale copy replaces a failure past its grace")
	}
	cached.Release()
}

// After a step of the wall clock, in either direction, the age of a copy is unknown. The copy
// must then be revalidated before it is served, even if it seems to be fresh.
func TestClockJump(t *testing.T) {
	now, monotonic := clockAt(1000*second), clockAt(0)
	cache, hook := startTestCache(t, crashfs.New(), now, func(config *Config) {
		config.Clock = func() (int64, int64) { return now.Load(), monotonic.Load() }
	})
	testsupport.WaitUntil(t, "recovery", cache.ready.Load)
	now.Add(second)
	monotonic.Add(second)
	offerCopy(t, cache, now.Load(), "x", "old")
	now.Add(-30 * second)
	cached := cache.Get(pageRequest("x"))
	if cached == nil || cached.Fresh {
		t.Fatal("no copy of x, or a copy of unknown age counts as fresh")
	}
	cached.Release()
	if e := hook.LastEntry(); e == nil || !strings.Contains(e.Message, "clock") {
		t.Fatal("the step of the clock is not logged")
	}
}

// A directory that holds no usable store, or is locked by another process, leaves the cache off:
// it logs one error, finds nothing and ignores offers and purges.
func TestUnusableFolders(t *testing.T) {
	superblock := diskstore.Superblock{SlotBytes: diskstore.MinSlotBytes, Seed: 1}
	newStoreDir := func() *crashfs.FS {
		fs := crashfs.New()
		store, err := diskstore.Open(fs, superblock)
		if err != nil {
			t.Fatal(err)
		}
		store.Close()
		return fs
	}
	newer := newStoreDir()
	newer.Content("store")[16] = 9
	flipped := newStoreDir()
	flipped.Content("store")[24] ^= 1
	foreign, photos := crashfs.New(), crashfs.New()
	foreign.AddFile("store", []byte("something else of other people's"))
	photos.AddFile("cat.jpg", nil)
	locked := newStoreDir()
	if _, err := locked.Lock("lock"); err != nil {
		t.Fatal(err)
	}
	otherSlots := newStoreDir()
	for name, test := range map[string]struct {
		fs        *crashfs.FS
		want      error
		slotBytes int
	}{
		"newer": {newer, diskstore.ErrNewerVersion, superblock.SlotBytes}, "flipped": {flipped, diskstore.ErrCorruptStore, superblock.SlotBytes},
		"foreign": {foreign, diskstore.ErrNotStore, superblock.SlotBytes}, "photos": {photos, diskstore.ErrNotStore, superblock.SlotBytes},
		"in use": {locked, diskstore.ErrInUse, superblock.SlotBytes}, "other slots": {otherSlots, diskstore.ErrCorruptStore, 2 * superblock.SlotBytes},
	} {
		cache, hook := startTestCache(t, test.fs, clockAt(second), func(config *Config) { config.Superblock.SlotBytes = test.slotBytes })
		cache.goroutines.Wait()
		if len(hook.AllEntries()) != 1 || hook.LastEntry().Level != logrus.ErrorLevel ||
			!errors.Is(hook.LastEntry().Data["error"].(error), test.want) {
			t.Errorf("%s: log lines %v, want one error with %v", name, hook.AllEntries(), test.want)
		}
		body, _ := cache.bodies.ReadBody(strings.NewReader("x"), 1)
		cache.Offer(pageRequest("x"), "t", 1, body)
		cache.Purge("x", 0, 1)
		if cache.Get(pageRequest("x")) != nil {
			t.Errorf("%s: Get returned a copy", name)
		}
		cache.Close()
	}
}

// diskFault is an operation of the file system that fails, and the expected consequences.
type diskFault struct {
	op           crashfs.Op
	file         string // prefix of the names of the failing files; "": all files
	bytesWritten int    // of a failed write; 0: none
	err          error
	health       diskcache.Health
	readable     bool // copies written before the fault can still be read
}

// A fault of the disk must lead to the expected health and, if that is not HealthOn, to one
// error line, and must delay no request. A restart must find an intact store that lacks at
// most one of the copies written before the fault.
func TestFaultsOfTheDisk(t *testing.T) {
	for name, fault := range map[string]diskFault{
		"no space":               {crashfs.OpWrite, "", 0, syscall.ENOSPC, diskcache.HealthFull, true},
		"no space in mid-write":  {crashfs.OpWrite, "", 100, syscall.ENOSPC, diskcache.HealthFull, true},
		"no space for the index": {crashfs.OpWrite, "index", 0, syscall.ENOSPC, diskcache.HealthFull, true},
		"quota":                  {crashfs.OpWrite, "", 0, syscall.EDQUOT, diskcache.HealthFull, true},
		"write fails":            {crashfs.OpWrite, "", 0, syscall.EIO, diskcache.HealthReadOnly, true},
		"short write":            {crashfs.OpWrite, "", 100, nil, diskcache.HealthReadOnly, true},
		"sync fails":             {crashfs.OpSync, "", 0, syscall.EIO, diskcache.HealthReadOnly, true},
		"reads fail":             {crashfs.OpRead, "", 0, syscall.EIO, diskcache.HealthOff, false},
		"folder sync fails":      {crashfs.OpSyncDir, "", 0, syscall.EIO, diskcache.HealthOn, true}, // nothing in this test syncs the directory after recovery
	} {
		t.Run(name, func(t *testing.T) { testDiskFault(t, &fault) })
	}
}

const (
	copiesBeforeFault = 10
	fourSyncIntervals = 20 * time.Millisecond
)

func testDiskFault(t *testing.T, fault *diskFault) {
	now := clockAt(1000 * second)
	fs := crashfs.New()
	cache, hook := startTestCache(t, fs, now, nil)
	testsupport.WaitUntil(t, "recovery", cache.ready.Load)
	now.Add(second)
	for i := range copiesBeforeFault {
		offerCopy(t, cache, now.Load(), fmt.Sprint("before", i), "whole")
	}
	time.Sleep(fourSyncIntervals)
	hook.Reset()
	injected := fault.inject(fs)
	for i := range copiesBeforeFault {
		cache.Get(pageRequest(fmt.Sprint("before", i))).Release()
		offerCopy(t, cache, now.Load(), fmt.Sprint("after", i), strings.Repeat("x", 200))
	}
	testsupport.WaitUntil(t, "the expected health", func() bool { return cache.State().Health == fault.health })
	if fault.health != diskcache.HealthOn {
		checkNoWrites(t, cache, now.Load(), &injected.writes)
	}
	checkErrorLines(t, hook, fault.health != diskcache.HealthOn)
	cached := cache.Get(pageRequest("before9"))
	if (contentOf(cached) == "whole") != fault.readable {
		t.Errorf("content of before9 is %q, want it readable: %v", contentOf(cached), fault.readable)
	}
	cached.Release()
	if fault.health == diskcache.HealthFull { // writes are retried and succeed once there is space
		injected.failing.Store(false)
		now.Add(31 * second)
		offerCopy(t, cache, now.Load(), "again", "new")
		testsupport.WaitUntil(t, "the copy of again", func() bool { cached = cache.Get(pageRequest("again")); return cached != nil })
		cached.Release()
	}
	partsBeforeClose := cache.State().Size.Parts
	cache.Close()
	fs.SetFail(nil)
	report := inspectRestarted(t, fs, now)
	if report.Parts < copiesBeforeFault-1 {
		t.Errorf("%d parts or more expected after the restart: %+v", copiesBeforeFault-1, report)
	}
	if (fault.health == diskcache.HealthFull || fault.health == diskcache.HealthOn) && report.Parts != partsBeforeClose {
		t.Errorf("%d parts after the restart, %d before it", report.Parts, partsBeforeClose)
	}
}

// injectedFault is a diskFault in effect.
type injectedFault struct {
	failing atomic.Bool
	writes  atomic.Int64 // write operations, failed ones included
}

func (f *diskFault) inject(fs *crashfs.FS) *injectedFault {
	injected := &injectedFault{}
	injected.failing.Store(true)
	fs.SetFail(func(op crashfs.Op, file string, _ int) (*int, error) {
		if op == crashfs.OpWrite {
			injected.writes.Add(1)
		}
		if op != f.op || !injected.failing.Load() || !strings.HasPrefix(file, f.file) {
			return nil, nil
		}
		if f.bytesWritten > 0 {
			return &f.bytesWritten, f.err
		}
		return nil, f.err
	})
	return injected
}

// checkNoWrites fails the test if an offered copy leads to a write.
func checkNoWrites(t *testing.T, cache *Cache, now int64, writes *atomic.Int64) {
	t.Helper()
	before := writes.Load()
	offerCopy(t, cache, now, "more", "more")
	time.Sleep(fourSyncIntervals)
	if n := writes.Load(); n != before {
		t.Errorf("%d writes to a disk whose health forbids them", n-before)
	}
}

// checkErrorLines fails the test unless the log has one error line, or none if wantsOne is
// false.
func checkErrorLines(t *testing.T, hook *logtest.Hook, wantsOne bool) {
	t.Helper()
	lines, want := 0, 0
	for _, e := range hook.AllEntries() {
		if e.Level == logrus.ErrorLevel {
			lines++
		}
	}
	if wantsOne {
		want = 1
	}
	if lines != want {
		t.Errorf("%d error lines, want %d", lines, want)
	}
}

// inspectRestarted restarts a cache and returns a report on its store, which must be intact
// even after a fault.
func inspectRestarted(t *testing.T, fs *crashfs.FS, now *atomic.Int64) *diskstore.Report {
	t.Helper()
	cache, _ := startTestCache(t, fs, now, nil)
	defer cache.Close()
	testsupport.WaitUntil(t, "recovery", cache.ready.Load)
	report, err := diskstore.Inspect(fs, true)
	if err != nil || !report.Intact() {
		t.Fatalf("the store is not intact after the restart: %+v, %v", report, err)
	}
	return report
}

// While the disk hangs, no request may wait longer than Config.ReadTimeout, and no more than
// Settings.MaxReads reads may be queued or active. Once it responds, all buffers are free.
func TestHangingDisk(t *testing.T) {
	now := clockAt(1000 * second)
	fs := crashfs.New()
	cache, _ := startTestCache(t, fs, now, func(config *Config) { config.ReadTimeout = 10 * time.Millisecond })
	testsupport.WaitUntil(t, "recovery", cache.ready.Load)
	now.Add(second)
	offerCopy(t, cache, now.Load(), "x", "whole")
	hang := make(chan struct{})
	fs.SetFail(func(op crashfs.Op, _ string, _ int) (*int, error) {
		if op == crashfs.OpRead {
			<-hang
		}
		return nil, nil
	})
	began := time.Now()
	for range 30 {
		if cache.Get(pageRequest("x")) != nil {
			t.Fatal("Get returned a copy from a hanging disk")
		}
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Fatalf("30 requests waited %v for a hanging disk, want 5 s at most", took)
	}
	if n := cache.State().Size.ActiveReads; n != cache.config.Settings.MaxReads {
		t.Fatalf("%d active reads, want MaxReads = %d", n, cache.config.Settings.MaxReads)
	}
	fs.SetFail(nil)
	close(hang)
	testsupport.WaitUntil(t, "the end of the reads", func() bool { return cache.State().Size.ActiveReads == 0 })
	cached := cache.Get(pageRequest("x"))
	if contentOf(cached) != "whole" {
		t.Fatalf("content of x is %q after the disk responds, want %q", contentOf(cached), "whole")
	}
	cached.Release()
	cache.Close()
	checkAllBuffersFree(t, cache)
}

// After random corruption of the data and the index (flipped bits, zeroed ranges, truncated
// files) the cache must return a copy as it was written, or none.
func TestCorruptStoreServesNothingWrong(t *testing.T) {
	const stores, minServed, minCaught = 60, 100, 20
	r := rand.New(rand.NewPCG(3, 3))
	served, caught := 0, 0
	for range stores {
		c := newSteppedCache(t, crashfs.New(), 1000*second)
		c.takeRandomSteps(20, r.IntN)
		c.sync()
		fs := c.fs.AfterKill(c.fs.Steps(), 0)
		names, _ := fs.List()
		for range 1 + r.IntN(4) {
			name := names[r.IntN(len(names))]
			if name != "store" && len(fs.Content(name)) > 0 {
				corrupt(t, fs, name, r)
			}
		}
		recovered := newSteppedCache(t, fs, c.now+second)
		for _, request := range possibleRequests() {
			read, found := recovered.readCopy(request)
			if !found {
				continue
			}
			if read == nil {
				caught++
				continue
			}
			served++
			if seq := read.ref.Seq(); contentOf(read) != string(c.written[seq]) {
				t.Errorf("the body of record %d differs from the one that was written", seq)
			}
			read.Release()
		}
		recovered.takeRandomSteps(10, r.IntN) // the recovered cache stays usable
	}
	if served < minServed || caught < minCaught {
		t.Fatalf("%d copies served and %d corrupt ones caught, want %d and %d at least", served, caught, minServed, minCaught)
	}
}

// corrupt flips a bit of a file, zeroes a range of it, or truncates it.
func corrupt(t *testing.T, fs *crashfs.FS, name string, r *rand.Rand) {
	t.Helper()
	const zeroedBytes = 600
	content := fs.Content(name)
	switch offset := r.IntN(len(content)); r.IntN(3) {
	case 0:
		content[offset] ^= 1 << r.IntN(8)
	case 1:
		clear(content[offset:min(offset+zeroedBytes, len(content))])
	case 2:
		f, _ := fs.Open(name, false)
		if err := f.Truncate(int64(offset)); err != nil {
			t.Fatal(err)
		}
	}
}

// possibleRequests returns requests for all parts that takeRandomSteps may have offered.
func possibleRequests() (requests []*Request) {
	const widths, objects, parts = 3, 6, 4
	for i := range widths * objects * parts {
		object := fmt.Sprintf("%*d", 1+i/(objects*parts), i/parts%objects)
		requests = append(requests, &Request{
			Class: "page", Object: object, Part: int64(i % parts), Group: uint8(len(object)), Remaining: time.Second,
		})
	}
	return requests
}

// readCopy looks up and reads a copy. It returns nil and true if the policy finds the part and
// its record cannot be used.
func (c *steppedCache) readCopy(request *Request) (read *Copy, found bool) {
	lookup, _ := c.policyRequest(request)
	verdict, part := c.policy.Lookup(c.now, &lookup)
	if verdict == diskcache.VerdictMiss {
		return nil, false
	}
	return c.readPart(&readJob{request: request, found: part}), true
}

// Responses of classes that write, or whose requests must not be repeated, must not reach the
// disk: neither their bodies nor the names of their classes and objects.
func TestUncacheableResponsesNeverReachTheDisk(t *testing.T) {
	fs := crashfs.New()
	c := newSteppedCache(t, fs, 1000*second)
	for range 5 {
		request := &Request{Class: "sign", Object: "contract", Remaining: time.Second}
		if c.Get(request) != nil {
			t.Fatal("Get returned a copy of an uncacheable class")
		}
		body, _ := c.bodies.ReadBody(strings.NewReader("SECRET-ACCEPTANCE"), 17)
		c.Offer(request, "tag", c.now/millisecond, body)
		c.offerAndWrite("page", 0, 500)
		c.sync()
	}
	names, _ := fs.List()
	all := []byte{}
	for _, name := range names {
		all = append(all, fs.Content(name)...)
	}
	if !bytes.Contains(all, []byte("page/0@")) {
		t.Fatal("the cacheable page is not on the disk: the test searches the wrong files")
	}
	for _, word := range []string{"SECRET", "contract", "sign"} {
		if bytes.Contains(all, []byte(word)) {
			t.Errorf("%q of an uncacheable response is on the disk", word)
		}
	}
}

// Copies that are offered, read, purged or rejected by a small queue must return all of their
// buffers to the pool.
func TestNoBufferIsLost(t *testing.T) {
	now := clockAt(1000 * second)
	cache, _ := startTestCache(t, crashfs.New(), now, func(config *Config) { config.Settings.QueueBytes = 3 << 10 })
	testsupport.WaitUntil(t, "recovery", cache.ready.Load)
	for i := range 300 {
		request := pageRequest(fmt.Sprint(i % 7))
		if cached := cache.Get(request); cached != nil {
			cached.Serve(false)
			cached.Release()
		}
		if body, err := cache.bodies.ReadBody(strings.NewReader(strings.Repeat("x", 3000)), 3000); err == nil {
			cache.Offer(request, "t", now.Add(200*millisecond)/millisecond, body)
			body.Release()
		}
		if i%50 == 0 {
			cache.Purge(request.Object, 0, now.Load())
		}
	}
	cache.Close()
	checkAllBuffersFree(t, cache)
}

// checkAllBuffersFree fails the test unless every buffer of the pool is free. It takes all of
// them.
func checkAllBuffersFree(t *testing.T, cache *Cache) {
	t.Helper()
	free := 0
	for { // a pool of 1 MB has 128 buffers
		if _, err := cache.bodies.ReadBody(strings.NewReader("x"), 1); err != nil {
			break
		}
		free++
	}
	if free != 128 {
		t.Fatalf("%d of 128 buffers are free", free)
	}
}

// A copy that is purged while it is queued must not be written. A record that was purged after
// its lookup, or belongs to another object or group with the same hash, must not be served.
func TestPurgesAndHashCollisionsBetweenSteps(t *testing.T) {
	fs := crashfs.New()
	c := newSteppedCache(t, fs, 1000*second)
	c.now += second
	request := &Request{Class: "page", Object: "x", Group: 1, Remaining: time.Second}
	lookup, _ := c.policyRequest(request)
	c.policy.Lookup(c.now, &lookup)
	c.policy.Lookup(c.now, &lookup)
	body, _ := c.bodies.ReadBody(strings.NewReader("purged in the queue"), 19)
	c.Offer(request, "tag", c.now/millisecond, body)
	body.Release()
	c.Purge("x", 0, c.now)
	steps := fs.Steps()
	c.writePart(<-c.writes, &c.batch)
	if fs.Steps() != steps || len(c.batch.puts) != 0 {
		t.Fatal("a copy that was purged in the queue is written")
	}
	c.now += second
	c.offerAndWrite("x", 0, 100)
	for name, test := range map[string]struct {
		request *Request
		purge   bool
	}{
		"another name": {&Request{Class: "page", Object: "y", Group: 1}, false}, "another group": {&Request{Class: "page", Object: "x"}, false},
		"purged": {request, true},
	} {
		verdict, found := c.policy.Lookup(c.now, &lookup)
		if verdict == diskcache.VerdictMiss { // the case with the purge ran before
			c.now += second
			c.offerAndWrite("x", 0, 100)
			_, found = c.policy.Lookup(c.now, &lookup)
		}
		if test.purge {
			c.Purge("x", 0, c.now)
		}
		if c.readPart(&readJob{request: test.request, found: found}) != nil {
			t.Errorf("%s: the copy is returned, want none", name)
		}
	}
	checkAllBuffersFree(t, c.Cache)
}
