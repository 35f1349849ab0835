// Package diskrunner runs the disk tier: it carries out on a folder what package tier
// decides, in goroutines of its own, so that no txn waits for the disk longer
// than it was told to. What finds no room in a queue is dropped.
package diskrunner

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/diskcache"
	"quilldoor/internal/diskcache/diskstore"
)

// Config says what a shelf may use.
type Config struct {
	FS          diskstore.FS
	Path        string // for the log
	Superblock  diskstore.Superblock
	Settings    diskcache.Settings // Seed comes from the folder
	ReadTimeout time.Duration      // a txn waits so long for the disk
	// Clock gives the wall's and a steady clock's microseconds; nil: the system's.
	Clock func() (wall, steady int64)
}

// Cache is a running tier.
type Cache struct {
	config Config
	bodies *bufferpool.Pool
	log    *logrus.Entry
	rules  map[string]int

	mu    sync.Mutex        // for what follows; never held over I/O
	tier  *diskcache.Policy // nil until the folder is open
	clock diskcache.StepDetector
	lost  bool // the board is lost
	took  *hdrhistogram.Histogram

	ready  atomic.Bool // recovery is over
	store  *diskstore.Store
	reads  chan *read
	writes chan *write
	stop   chan struct{}
	done   sync.WaitGroup
}

// Start begins to open the folder and returns at once. Until recovery is over
// nothing is found and nothing is kept.
func Start(config Config, bodies *bufferpool.Pool, log *logrus.Entry) *Cache {
	s := plain(config, bodies, log)
	s.done.Add(1)
	go func() {
		defer s.done.Done()
		s.run()
	}()
	return s
}

// plain makes a shelf that does nothing by itself.
func plain(config Config, bodies *bufferpool.Pool, log *logrus.Entry) *Cache {
	if config.Clock == nil {
		start := time.Now()
		config.Clock = func() (wall, steady int64) {
			now := time.Now()
			return now.UnixMicro(), now.Sub(start).Microseconds()
		}
	}
	s := &Cache{
		config: config, bodies: bodies, log: log.WithField("disk", config.Path), rules: map[string]int{},
		// Microseconds up to a minute in two figures: some kilobytes.
		took:  hdrhistogram.New(1, 60_000_000, 2),
		reads: make(chan *read, config.Settings.MaxReads), stop: make(chan struct{}),
		// Each waiting copy takes a slot of the queue at the least.
		writes: make(chan *write, int(config.Settings.QueueBytes)/config.Settings.SlotBytes+1),
	}
	for i, r := range config.Settings.Classes {
		s.rules[r.Name] = i
	}
	return s
}

// now gives the time to decide by. A jump of the system's clock is a gap in the
// history of all copies.
func (s *Cache) now() int64 {
	wall, steady := s.config.Clock()
	if s.clock.Stepped(wall, steady) && s.tier != nil {
		s.tier.HistoryGap(wall)
		s.log.Warn("disk tier: the clock has jumped, copies are proven again")
	}
	return wall
}

// run opens the folder, then writes until the shelf is closed.
func (s *Cache) run() {
	if !s.recover() {
		return
	}
	const readers = 4 // a disk serves a few at once better than one by one; each may hold a thread
	var reading sync.WaitGroup
	for range readers {
		reading.Go(s.readAll)
	}
	s.writeAll()
	reading.Wait()
	s.store.Close()
}

// recover opens the folder and installs what it holds.
func (s *Cache) recover() bool {
	began := time.Now()
	set := &s.config.Settings
	store, err := diskstore.Open(s.config.FS, s.config.Superblock, set.Slots)
	if err != nil {
		s.log.WithError(err).Error("disk tier off")
		return false
	}
	set.Seed = store.Seed()
	s.mu.Lock()
	now := s.now()
	s.store, s.tier = store, diskcache.New(now, *set)
	s.tier.SetDiscoveryLost(now, s.lost)
	s.mu.Unlock()

	in := &installer{Cache: s, rules: map[uint32]int{}}
	for i, r := range set.Classes {
		in.rules[diskstore.ClassHash(r.Name)] = i
	}
	found, err := store.Recover(in)
	if err != nil {
		store.Close()
		s.fault(diskcache.EventClosed, nil)
		s.log.WithError(err).Error("disk tier off")
		return false
	}
	s.mu.Lock()
	s.tier.AdvanceSeq(found.MaxSeq)
	size := s.tier.Size()
	s.mu.Unlock()
	s.ready.Store(true)
	s.log.WithFields(logrus.Fields{
		"parts": size.Parts, "left_out": in.refused, "bytes": size.Bytes,
		"frames": found.Frames, "bad_frames": found.BadFrames, "took_ms": time.Since(began).Milliseconds(),
	}).
		Info("disk tier recovered")
	return true
}

// installer takes what the index says into the tier. Purges get in between.
type installer struct {
	*Cache
	rules   map[uint32]int // by hash of the name
	refused int
}

// Put installs a part. What was written last was wanted last, and is the newest.
func (in *installer) Put(e *diskstore.Entry) {
	rule, known := in.rules[e.ClassHash]
	if !known {
		rule = -1
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if !in.tier.Restore(&diskcache.CachedPart{
		Key: e.Key, Object: e.Object, Issued: e.Issued, Seq: e.Seq, Length: e.Length,
		ClassIndex: rule, Group: e.Group, Extents: e.Extents,
	}) {
		in.refused++
	}
}

// Drop takes one out again.
func (in *installer) Drop(d diskcache.Drop) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.tier.RemoveRestored(d)
}

// Request is a read txn that copies may answer.
type Request struct {
	Class, Object string
	Part          int64
	Group         uint8
	Remaining     time.Duration // until its time limit
}

func (s *Cache) ask(a *Request) (diskcache.Request, bool) {
	rule, known := s.rules[a.Class]
	return diskcache.Request{ClassIndex: rule, Object: a.Object, Part: a.Part, Group: a.Group, Remaining: a.Remaining.Microseconds()}, known
}

// Copy is a kept part, read into memory. Its holder releases it.
type Copy struct {
	*bufferpool.Body
	Tag     string
	Fresh   bool // it may be served as it is; else after it was proven
	shelf   *Cache
	ref     diskcache.Ref
	rule    int
	standIn bool
}

// Get looks for a copy and reads it. It returns within the time that a txn may
// wait for the disk; nil: the module decides as ever.
func (s *Cache) Get(a *Request) *Copy {
	if !s.ready.Load() {
		return nil
	}
	ask, known := s.ask(a)
	if !known {
		return nil
	}
	s.mu.Lock()
	verdict, found := s.tier.Lookup(s.now(), &ask)
	s.mu.Unlock()
	if verdict == diskcache.VerdictMiss {
		return nil
	}
	r := &read{ask: a, found: found, sure: verdict == diskcache.VerdictServe, rule: ask.ClassIndex, done: make(chan *Copy, 1)}
	select {
	case <-s.stop:
		return nil
	case s.reads <- r: // Look bounds them to the channel's room
	}
	wait := time.NewTimer(min(s.config.ReadTimeout, a.Remaining/2))
	defer wait.Stop()
	select {
	case c := <-r.done:
		return c
	case <-wait.C:
		if r.over.CompareAndSwap(false, true) {
			return nil // the reader throws it away
		}
		return <-r.done
	}
}

// Release gives the copy's memory back; a nil Copy has none.
func (c *Copy) Release() {
	if c != nil {
		c.Body.Release()
	}
}

// Serve tells, at the moment of its answer, whether the copy may still be served
// as it is. Same says that only its tag is, by a 304.
func (c *Copy) Serve(same bool) bool {
	if c.shelf.closed() { // it hears of no purges any more
		return false
	}
	c.shelf.mu.Lock()
	defer c.shelf.mu.Unlock()
	return c.shelf.tier.ReserveServe(c.shelf.now(), c.ref, c.rule, int64(c.Len()), same, false)
}

// ServeStale tells whether the copy, past its fresh time, may be served where the
// module has no answer.
func (c *Copy) ServeStale(same bool) bool {
	if !c.standIn || c.shelf.closed() {
		return false
	}
	c.shelf.mu.Lock()
	defer c.shelf.mu.Unlock()
	return c.shelf.tier.ReserveServe(c.shelf.now(), c.ref, c.rule, int64(c.Len()), same, true)
}

// Revalidated says that a cache server has named the copy's tag as that of the copy
// it would serve, given out by the origin at issued (Unix milliseconds), and
// whether the client gets the bytes from here.
func (c *Copy) Revalidated(issued int64, served bool) {
	bytes := int64(0)
	if served {
		bytes = int64(c.Len())
	}
	c.shelf.mu.Lock()
	defer c.shelf.mu.Unlock()
	c.shelf.tier.Revalidated(c.shelf.now(), c.ref, issued, bytes)
}

// Offer offers what a read txn was completed with. The body is held until it is
// written or found not to be worth it.
func (s *Cache) Offer(a *Request, tag string, issued int64, body *bufferpool.Body) {
	if !s.ready.Load() {
		return
	}
	ask, known := s.ask(a)
	if !known || tag == "" || issued <= 0 {
		return
	}
	rec := diskstore.Record{
		Issued: issued, Part: a.Part, Class: a.Class, Object: a.Object, Tag: tag, Group: a.Group,
		BodyBytes: body.Len(),
	}
	length := rec.Length()
	s.mu.Lock()
	place, reason := s.tier.Offer(s.now(), &diskcache.Candidate{Request: ask, Issued: issued, Length: length})
	s.mu.Unlock()
	if reason != diskcache.ReasonOK {
		return
	}
	rec.Seq = place.Ref.Seq()
	select {
	case <-s.stop:
	case s.writes <- &write{place: place, rec: rec, body: body.Retain(), entry: diskstore.Entry{
		Key:    place.Key,
		Object: place.Object, Issued: issued, Seq: rec.Seq, Length: length, ClassHash: diskstore.ClassHash(a.Class),
		Group: a.Group, Extents: place.Extents,
	}}:
	}
}

// Purge takes the purge of an object, or of a group where that is "", made at
// the given time. Before the folder is open there is nothing that it could bind:
// what is found there is proven first in any case.
func (s *Cache) Purge(object string, group, at int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tier != nil {
		s.tier.Purge(s.now(), object, uint8(group), at)
	}
}

// HistoryGap says that events of the notice board may have been missed.
func (s *Cache) HistoryGap() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tier != nil {
		s.tier.HistoryGap(s.now())
	}
}

// SetDiscoveryLost tells whether the notice board can be reached.
func (s *Cache) SetDiscoveryLost(lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost = lost; s.tier != nil {
		s.tier.SetDiscoveryLost(s.now(), lost)
	}
}

// fault tells the tier of one, and logs a change of health once.
func (s *Cache) fault(f diskcache.Event, err error) diskcache.Health {
	s.mu.Lock()
	h, changed := s.tier.HandleEvent(s.now(), f)
	s.mu.Unlock()
	if changed && f != diskcache.EventClosed {
		s.log.WithError(err).WithField("health", h.String()).Error("disk tier: fault of the disk")
	}
	return h
}

// Close writes what waits and ends the use of the folder.
func (s *Cache) Close() {
	close(s.stop)
	s.done.Wait()
}

func (s *Cache) closed() bool {
	select {
	case <-s.stop:
		return true
	default:
		return false
	}
}

// State is what a shelf tells of itself.
type State struct {
	Ready  bool
	Health diskcache.Health
	Counts diskcache.Counts
	Size   diskcache.Size
	// Reads of the disk, in microseconds.
	ReadMedianMicros, ReadP99Micros int64
}

// State tells how the shelf stands.
func (s *Cache) State() (st State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st.Ready = s.ready.Load()
	if s.tier != nil {
		st.Health, st.Counts, st.Size = s.tier.Health(), s.tier.Counts, s.tier.Size()
	}
	st.ReadMedianMicros, st.ReadP99Micros = s.took.ValueAtQuantile(50), s.took.ValueAtQuantile(99)
	return st
}

// Status are the fields of the status line.
func (s *Cache) Status() logrus.Fields {
	st := s.State()
	looks, offers := int64(0), int64(0)
	for i := range diskcache.ReasonCount {
		looks += st.Counts.Lookups[i]
		offers += st.Counts.Offers[i]
	}
	return logrus.Fields{
		"ready": st.Ready, "health": st.Health.String(), "parts": st.Size.Parts,
		"disk_mb": st.Size.Bytes >> 20, "memory_mb": st.Size.MemoryBytes >> 20, "looks": looks, "served": st.Counts.Served,
		"proven": st.Counts.Revalidated, "stood_in": st.Counts.ServedStale, "offers": offers,
		"written": st.Counts.Offers[diskcache.ReasonOK], "evicted": st.Counts.Evicted, "purged": st.Counts.Purged,
		"read_us_median": st.ReadMedianMicros, "read_us_99": st.ReadP99Micros, "read_faults": st.Counts.ReadFailures,
	}
}
