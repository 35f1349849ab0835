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

// running starts a cache with its goroutines and a clock that the test moves.
func running(t *testing.T, fs diskstore.FS, now *atomic.Int64, change func(*Config)) (*Cache, *logtest.Hook) {
	t.Helper()
	log, hook := logtest.NewNullLogger()
	set := settings()
	set.SyncInterval = 5 * millisecond
	set.WriteBytesPerSecond = 1 << 30
	c := Config{
		FS: fs, Superblock: diskstore.Superblock{SlotBytes: set.SlotBytes, Seed: 7}, Settings: set, ReadTimeout: 2 * time.Second,
		Clock: func() (int64, int64) { return now.Load(), now.Load() },
	}
	if change != nil {
		change(&c)
	}
	s := Start(c, bufferpool.NewPool(1<<20), log.WithField("t", 1))
	t.Cleanup(func() {
		select {
		case <-s.stop:
		default:
			s.Close()
		}
	})
	return s, hook
}

func ask(object string) *Request {
	return &Request{Class: "page", Object: object, Part: 1, Remaining: 4 * time.Second}
}

// keep offers a copy until it is kept.
func keep(t *testing.T, s *Cache, now int64, object, content string) {
	t.Helper()
	testsupport.WaitUntil(t, "recovery", s.ready.Load)
	s.Get(ask(object))
	s.Get(ask(object))
	body, _ := s.bodies.ReadBody(strings.NewReader(content), len(content))
	defer body.Release()
	s.Offer(ask(object), "tag-"+object, now/millisecond, body)
	testsupport.WaitUntil(t, "the write of "+object, func() bool { return s.State().Size.QueuedBytes == 0 })
}

func content(c *Copy) string {
	if c == nil {
		return "none"
	}
	return string(bytes.Join(c.AppendBuffers(nil), nil))
}

func clockAt(at int64) *atomic.Int64 {
	var now atomic.Int64
	now.Store(at)
	return &now
}

func TestKeepAndGet(t *testing.T) {
	now := clockAt(1000 * second)
	fs := crashfs.New()
	s, _ := running(t, fs, now, nil)
	testsupport.WaitUntil(t, "recovery", s.ready.Load)
	now.Add(second)
	long := strings.Repeat("0123456789", 300)
	keep(t, s, now.Load(), "x", long)
	c := s.Get(ask("x"))
	if content(c) != long || c.Tag != "tag-x" || !c.Fresh || !c.Serve(false) {
		t.Fatalf("%.20q", content(c))
	}
	s.Purge("x", 0, now.Load())
	if c.Serve(false) {
		t.Fatal("purged since it was read, and served")
	}
	c.Release()
	if s.Get(ask("x")) != nil || s.Get(ask("y")) != nil || s.Get(&Request{Class: "none"}) != nil {
		t.Fatal("what isn't there was found")
	}
	keep(t, s, now.Add(second), "x", "second")
	s.Close()
	// Restarted, what is found is proven before it is served, and good after.
	s, _ = running(t, fs, now, nil)
	testsupport.WaitUntil(t, "recovery", s.ready.Load)
	c = s.Get(ask("x"))
	if content(c) != "second" || c.Fresh || c.Serve(false) || c.ServeStale(false) {
		t.Fatalf("%q, sure %v", content(c), c != nil && c.Fresh)
	}
	c.Revalidated(now.Add(second)/millisecond, true)
	c.Release()
	if c = s.Get(ask("x")); content(c) != "second" || !c.Fresh {
		t.Fatal("proven, and not sure")
	}
	c.Release()
	// Past its fresh time it may stand in, until its grace is over.
	now.Add(70 * second)
	if c = s.Get(ask("x")); c == nil || c.Fresh || !c.ServeStale(false) {
		t.Fatal("doesn't stand in within its grace")
	}
	now.Add(60 * second)
	if c.ServeStale(false) {
		t.Fatal("stands in past its grace")
	}
	c.Release()
}

// A jump of the clock, either way, ends all certainty.
func TestClockJump(t *testing.T) {
	now, steady := clockAt(1000*second), clockAt(0)
	s, hook := running(t, crashfs.New(), now, func(c *Config) {
		c.Clock = func() (int64, int64) { return now.Load(), steady.Load() }
	})
	testsupport.WaitUntil(t, "recovery", s.ready.Load)
	now.Add(second)
	steady.Add(second)
	keep(t, s, now.Load(), "x", "old")
	now.Add(-30 * second)
	c := s.Get(ask("x"))
	if c == nil || c.Fresh {
		t.Fatal("a copy of an age that nobody knows is sure")
	}
	c.Release()
	if e := hook.LastEntry(); e == nil || !strings.Contains(e.Message, "clock") {
		t.Fatal("not logged")
	}
}

func TestWhatFoldersSay(t *testing.T) {
	super := diskstore.Superblock{SlotBytes: diskstore.MinSlotBytes, Seed: 1}
	made := func() *crashfs.FS {
		fs := crashfs.New()
		s, err := diskstore.Open(fs, super)
		if err != nil {
			t.Fatal(err)
		}
		s.Close()
		return fs
	}
	newer := made()
	newer.Content("store")[16] = 9
	flipped := made()
	flipped.Content("store")[24] ^= 1
	foreign, photos := crashfs.New(), crashfs.New()
	foreign.AddFile("store", []byte("something else of other people's"))
	photos.AddFile("cat.jpg", nil)
	used := made()
	if _, err := used.Lock("lock"); err != nil {
		t.Fatal(err)
	}
	other := made()
	for name, c := range map[string]struct {
		fs   *crashfs.FS
		want error
		slot int
	}{
		"newer": {newer, diskstore.ErrNewerVersion, super.SlotBytes}, "flipped": {flipped, diskstore.ErrCorruptStore, super.SlotBytes},
		"foreign": {foreign, diskstore.ErrNotStore, super.SlotBytes}, "photos": {photos, diskstore.ErrNotStore, super.SlotBytes},
		"in use": {used, diskstore.ErrInUse, super.SlotBytes}, "other slots": {other, diskstore.ErrCorruptStore, 2 * super.SlotBytes},
	} {
		s, hook := running(t, c.fs, clockAt(second), func(k *Config) { k.Superblock.SlotBytes = c.slot })
		s.goroutines.Wait()
		if len(hook.AllEntries()) != 1 || hook.LastEntry().Level != logrus.ErrorLevel ||
			!errors.Is(hook.LastEntry().Data["error"].(error), c.want) {
			t.Errorf("%s: %v, want one line with %v", name, hook.AllEntries(), c.want)
		}
		body, _ := s.bodies.ReadBody(strings.NewReader("x"), 1)
		s.Offer(ask("x"), "t", 1, body)
		s.Purge("x", 0, 1)
		if s.Get(ask("x")) != nil {
			t.Errorf("%s: something was found", name)
		}
		s.Close()
	}
}

// diskFault is an operation that fails, and what follows from it.
type diskFault struct {
	op           crashfs.Op
	file         string // prefix of the files' names; "": any
	bytesWritten int    // of a failed write; 0: none
	err          error
	health       diskcache.Health
	readable     bool // what was written before can still be read
}

// Faults of the disk: one log line, the right state, and nobody is held up.
func TestFaultsOfTheDisk(t *testing.T) {
	for name, fault := range map[string]diskFault{
		"no space":               {crashfs.OpWrite, "", 0, syscall.ENOSPC, diskcache.HealthFull, true},
		"no space within":        {crashfs.OpWrite, "", 100, syscall.ENOSPC, diskcache.HealthFull, true},
		"no space for the index": {crashfs.OpWrite, "index", 0, syscall.ENOSPC, diskcache.HealthFull, true},
		"quota":                  {crashfs.OpWrite, "", 0, syscall.EDQUOT, diskcache.HealthFull, true},
		"write fails":            {crashfs.OpWrite, "", 0, syscall.EIO, diskcache.HealthReadOnly, true},
		"short write":            {crashfs.OpWrite, "", 100, nil, diskcache.HealthReadOnly, true},
		"sync fails":             {crashfs.OpSync, "", 0, syscall.EIO, diskcache.HealthReadOnly, true},
		"reads fail":             {crashfs.OpRead, "", 0, syscall.EIO, diskcache.HealthOff, false},
		"reads and disk is on":   {crashfs.OpSyncDir, "", 0, syscall.EIO, diskcache.HealthOn, true}, // nothing needs one now
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
	s, hook := running(t, fs, now, nil)
	testsupport.WaitUntil(t, "recovery", s.ready.Load)
	now.Add(second)
	for i := range copiesBeforeFault {
		keep(t, s, now.Load(), fmt.Sprint("before", i), "whole")
	}
	time.Sleep(fourSyncIntervals)
	hook.Reset()
	injected := fault.inject(fs)
	for i := range copiesBeforeFault {
		s.Get(ask(fmt.Sprint("before", i))).Release()
		keep(t, s, now.Load(), fmt.Sprint("after", i), strings.Repeat("x", 200))
	}
	testsupport.WaitUntil(t, "the state", func() bool { return s.State().Health == fault.health })
	if fault.health != diskcache.HealthOn {
		checkNoWrites(t, s, now.Load(), &injected.writes)
	}
	checkErrorLines(t, hook, fault.health != diskcache.HealthOn)
	got := s.Get(ask("before9"))
	if (content(got) == "whole") != fault.readable {
		t.Errorf("read %q", content(got))
	}
	got.Release()
	if fault.health == diskcache.HealthFull { // and it comes back with the space
		injected.failing.Store(false)
		now.Add(31 * second)
		keep(t, s, now.Load(), "again", "new")
		testsupport.WaitUntil(t, "a write", func() bool { got = s.Get(ask("again")); return got != nil })
		got.Release()
	}
	partsKept := s.State().Size.Parts
	s.Close()
	fs.SetFail(nil)
	report := inspectRestarted(t, fs, now)
	if report.Parts < copiesBeforeFault-1 {
		t.Errorf("%+v", report)
	}
	if (fault.health == diskcache.HealthFull || fault.health == diskcache.HealthOn) && report.Parts != partsKept {
		t.Errorf("%d parts, %d were kept", report.Parts, partsKept)
	}
}

// injectedFault is a diskFault in effect.
type injectedFault struct {
	failing atomic.Bool
	writes  atomic.Int64 // that were tried
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

// checkNoWrites fails the test if an offered copy is written.
func checkNoWrites(t *testing.T, s *Cache, now int64, writes *atomic.Int64) {
	t.Helper()
	before := writes.Load()
	keep(t, s, now, "more", "more")
	time.Sleep(fourSyncIntervals)
	if n := writes.Load(); n != before {
		t.Errorf("%d writes in a state that forbids them", n-before)
	}
}

// checkErrorLines fails the test unless the log has one error, or none.
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

// inspectRestarted restarts a cache, which must find a sound store whatever has failed before.
func inspectRestarted(t *testing.T, fs *crashfs.FS, now *atomic.Int64) *diskstore.Report {
	t.Helper()
	s, _ := running(t, fs, now, nil)
	defer s.Close()
	testsupport.WaitUntil(t, "recovery", s.ready.Load)
	report, err := diskstore.Inspect(fs, true)
	if err != nil || !report.Intact() {
		t.Fatalf("%+v, %v", report, err)
	}
	return report
}

// A disk that hangs holds no request up for longer than it may wait, and takes no
// more than its bounds of memory.
func TestHangingDisk(t *testing.T) {
	now := clockAt(1000 * second)
	fs := crashfs.New()
	s, _ := running(t, fs, now, func(c *Config) { c.ReadTimeout = 10 * time.Millisecond })
	testsupport.WaitUntil(t, "recovery", s.ready.Load)
	now.Add(second)
	keep(t, s, now.Load(), "x", "whole")
	hang := make(chan struct{})
	fs.SetFail(func(op crashfs.Op, _ string, _ int) (*int, error) {
		if op == crashfs.OpRead {
			<-hang
		}
		return nil, nil
	})
	began := time.Now()
	for range 30 {
		if s.Get(ask("x")) != nil {
			t.Fatal("read from a disk that hangs")
		}
	}
	if took := time.Since(began); took > 5*time.Second {
		t.Fatalf("held up for %v", took)
	}
	if n := s.State().Size.ActiveReads; n != s.config.Settings.MaxReads {
		t.Fatalf("%d reads out, %d at most", n, s.config.Settings.MaxReads)
	}
	fs.SetFail(nil)
	close(hang)
	testsupport.WaitUntil(t, "the end of the reads", func() bool { return s.State().Size.ActiveReads == 0 })
	c := s.Get(ask("x"))
	if content(c) != "whole" {
		t.Fatal(content(c))
	}
	c.Release()
	s.Close()
	allBuffers(t, s)
}

// Bytes are flipped, cut and written over at random in the data and the index:
// what comes back is what was written, or nothing.
func TestSpoiltStoreServesNothingWrong(t *testing.T) {
	const stores, minServed, minCaught = 60, 100, 20
	r := rand.New(rand.NewPCG(3, 3))
	served, caught := 0, 0
	for range stores {
		c := newSteppedCache(t, crashfs.New(), 1000*second)
		c.drive(20, r.IntN)
		c.sync()
		fs := c.fs.AfterKill(c.fs.Steps(), 0)
		names, _ := fs.List()
		for range 1 + r.IntN(4) {
			name := names[r.IntN(len(names))]
			if name != "store" && len(fs.Content(name)) > 0 {
				spoil(t, fs, name, r)
			}
		}
		recovered := newSteppedCache(t, fs, c.now+second)
		for _, request := range drivenRequests() {
			read, found := recovered.readCopy(request)
			if !found {
				continue
			}
			if read == nil {
				caught++
				continue
			}
			served++
			if seq := read.ref.Seq(); content(read) != string(c.written[seq]) {
				t.Errorf("record %d is not what was written", seq)
			}
			read.Release()
		}
		recovered.drive(10, r.IntN) // and it goes on
	}
	if served < minServed || caught < minCaught {
		t.Fatalf("%d served, %d caught: too few to tell anything", served, caught)
	}
}

// spoil flips a bit of a file, overwrites a part of it, or truncates it.
func spoil(t *testing.T, fs *crashfs.FS, name string, r *rand.Rand) {
	t.Helper()
	const overwrittenBytes = 600
	bytes := fs.Content(name)
	switch at := r.IntN(len(bytes)); r.IntN(3) {
	case 0:
		bytes[at] ^= 1 << r.IntN(8)
	case 1:
		clear(bytes[at:min(at+overwrittenBytes, len(bytes))])
	case 2:
		f, _ := fs.Open(name, false)
		if err := f.Truncate(int64(at)); err != nil {
			t.Fatal(err)
		}
	}
}

// drivenRequests are requests for all that steppedCache.drive may have kept.
func drivenRequests() (requests []*Request) {
	const widths, objects, parts = 3, 6, 4
	for i := range widths * objects * parts {
		object := fmt.Sprintf("%*d", 1+i/(objects*parts), i/parts%objects)
		requests = append(requests, &Request{
			Class: "page", Object: object, Part: int64(i % parts), Group: uint8(len(object)), Remaining: time.Second,
		})
	}
	return requests
}

// readCopy reads the copy that the policy finds; nil: its record is not what was found.
func (c *steppedCache) readCopy(request *Request) (read *Copy, found bool) {
	lookup, _ := c.policyRequest(request)
	verdict, part := c.policy.Lookup(c.now, &lookup)
	if verdict == diskcache.VerdictMiss {
		return nil, false
	}
	return c.readPart(&readJob{request: request, found: part}), true
}

// Responses of classes that write or may not be repeated never come to the disk.
func TestForbiddenAnswersNeverReachTheDisk(t *testing.T) {
	fs := crashfs.New()
	c := newSteppedCache(t, fs, 1000*second)
	for range 5 {
		request := &Request{Class: "sign", Object: "contract", Remaining: time.Second}
		if c.Get(request) != nil {
			t.Fatal("found")
		}
		body, _ := c.bodies.ReadBody(strings.NewReader("SECRET-ACCEPTANCE"), 17)
		c.Offer(request, "tag", c.now/millisecond, body)
		c.keep("page", 0, 500)
		c.sync()
	}
	names, _ := fs.List()
	all := []byte{}
	for _, name := range names {
		all = append(all, fs.Content(name)...)
	}
	if !bytes.Contains(all, []byte("page/0@")) {
		t.Fatal("the page is not there either: the test looks in the wrong place")
	}
	for _, word := range []string{"SECRET", "contract", "sign"} {
		if bytes.Contains(all, []byte(word)) {
			t.Errorf("%q is on the disk", word)
		}
	}
}

// The buffers of a write are given back, whatever becomes of it.
func TestNoBufferIsLost(t *testing.T) {
	now := clockAt(1000 * second)
	s, _ := running(t, crashfs.New(), now, func(c *Config) { c.Settings.QueueBytes = 3 << 10 })
	testsupport.WaitUntil(t, "recovery", s.ready.Load)
	for i := range 300 {
		a := ask(fmt.Sprint(i % 7))
		if c := s.Get(a); c != nil {
			c.Serve(false)
			c.Release()
		}
		if body, err := s.bodies.ReadBody(strings.NewReader(strings.Repeat("x", 3000)), 3000); err == nil {
			s.Offer(a, "t", now.Add(200*millisecond)/millisecond, body)
			body.Release()
		}
		if i%50 == 0 {
			s.Purge(a.Object, 0, now.Load())
		}
	}
	s.Close()
	allBuffers(t, s)
}

// allBuffers tells whether the pool has all that it began with, and empties it.
func allBuffers(t *testing.T, s *Cache) {
	t.Helper()
	held := 0
	for { // a pool of 1 MB has 128 buffers
		if _, err := s.bodies.ReadBody(strings.NewReader("x"), 1); err != nil {
			break
		}
		held++
	}
	if held != 128 {
		t.Fatalf("%d buffers left of 128", held)
	}
}

// What happens between two steps of a copy's way: a purge before it is written,
// a purge while it is read, another name under the same hash.
func TestBetweenTheSteps(t *testing.T) {
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
		t.Fatal("purged in the queue, yet written")
	}
	c.now += second
	c.keep("x", 0, 100)
	for name, test := range map[string]struct {
		request *Request
		purge   bool
	}{
		"another name": {&Request{Class: "page", Object: "y", Group: 1}, false}, "another group": {&Request{Class: "page", Object: "x"}, false},
		"purged": {request, true},
	} {
		v, found := c.policy.Lookup(c.now, &lookup)
		if v == diskcache.VerdictMiss { // the purge came first
			c.now += second
			c.keep("x", 0, 100)
			_, found = c.policy.Lookup(c.now, &lookup)
		}
		if test.purge {
			c.Purge("x", 0, c.now)
		}
		if c.readPart(&readJob{request: test.request, found: found}) != nil {
			t.Errorf("%s: read", name)
		}
	}
	allBuffers(t, c.Cache)
}
