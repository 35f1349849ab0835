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

// Config is the configuration of a Cache.
type Config struct {
	FS          diskstore.FS
	Path        string // of the directory, for log lines
	Superblock  diskstore.Superblock
	Settings    diskcache.Settings // Seed is read from the directory
	ReadTimeout time.Duration      // a request waits no longer for the disk
	// Clock returns the microseconds of the wall clock and of a monotonic clock; nil: the
	// system's clocks.
	Clock func() (wall, monotonic int64)
}

// Cache is a running disk cache.
type Cache struct {
	config       Config
	bodies       *bufferpool.Pool
	log          *logrus.Entry
	classIndexes map[string]int // class name -> index in Settings.Classes

	mu               sync.Mutex        // guards the four fields below
	policy           *diskcache.Policy // nil until the directory has been opened
	stepDetector     diskcache.StepDetector
	discoveryOverdue time.Time               // since when purges may be unknown; zero: all are known
	readTimes        *hdrhistogram.Histogram // microseconds

	ready      atomic.Bool // recovery has completed
	store      *diskstore.Store
	reads      chan *readJob
	writes     chan *writeJob
	stop       chan struct{}
	goroutines sync.WaitGroup
}

// readerCount is the number of goroutines that read. A disk has a higher throughput with a
// few concurrent reads than with one, but each read may block an operating system thread.
const readerCount = 4

// Start returns a cache at once and opens its directory in the background. Until recovery has
// completed, Get returns nil and Offer does nothing.
func Start(config Config, bodies *bufferpool.Pool, log *logrus.Entry) *Cache {
	c := newCache(config, bodies, log)
	c.goroutines.Go(c.run)
	return c
}

// newCache returns a cache without running goroutines.
func newCache(config Config, bodies *bufferpool.Pool, log *logrus.Entry) *Cache {
	const (
		maxReadMicros      = 60_000_000
		significantFigures = 2 // of the values in the histogram
	)
	if config.Clock == nil {
		config.Clock = systemClock()
	}
	settings := &config.Settings
	// Each queued copy takes one slot or more of QueueBytes.
	maxWrites := int(settings.QueueBytes)/settings.SlotBytes + 1
	c := &Cache{
		config:       config,
		bodies:       bodies,
		log:          log.WithField("disk", config.Path),
		classIndexes: map[string]int{},
		readTimes:    hdrhistogram.New(1, maxReadMicros, significantFigures),
		reads:        make(chan *readJob, settings.MaxReads),
		writes:       make(chan *writeJob, maxWrites),
		stop:         make(chan struct{}),
	}
	for i, class := range settings.Classes {
		c.classIndexes[class.Name] = i
	}
	return c
}

// systemClock returns a clock for Config.Clock.
func systemClock() func() (wall, monotonic int64) {
	start := time.Now()
	return func() (wall, monotonic int64) {
		now := time.Now()
		return now.UnixMicro(), now.Sub(start).Microseconds()
	}
}

// now returns the wall clock's time for a call of the policy. A step of the wall clock makes
// the ages of all copies unknown, so that now first reports it to the policy as a gap in the
// purge history. The caller holds c.mu.
func (c *Cache) now() int64 {
	wall, monotonic := c.config.Clock()
	if c.stepDetector.Stepped(wall, monotonic) && c.policy != nil {
		c.policy.HistoryGap(wall)
		c.log.Warn("disk cache: clock stepped, copies are revalidated")
	}
	return wall
}

// run opens the directory, then reads and writes until the cache is closed.
func (c *Cache) run() {
	if !c.recover() {
		return
	}
	var readers sync.WaitGroup
	for range readerCount {
		readers.Go(c.readAll)
	}
	c.writeAll()
	readers.Wait()
	c.store.Close()
}

// Purge applies a purge of an object, or of a group if object is "". purgedAt is the time of
// the purge in Unix microseconds. A purge that arrives before the directory has been opened
// is ignored: every recovered copy is revalidated before it is served.
func (c *Cache) Purge(object string, group, purgedAt int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.policy != nil {
		c.policy.Purge(c.now(), object, uint8(group), purgedAt)
	}
}

// HistoryGap reports that purges from discovery may have been missed, so that every cached
// copy is revalidated before it is served.
func (c *Cache) HistoryGap() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.policy != nil {
		c.policy.HistoryGap(c.now())
	}
}

// SetDiscoveryOverdue sets since when purges may be unknown because discovery has not told them.
// The time may be in the future. Zero: all purges are known.
func (c *Cache) SetDiscoveryOverdue(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discoveryOverdue = since
	if c.policy != nil {
		c.applyDiscoveryOverdue()
	}
}

// applyDiscoveryOverdue passes the time to the policy. The caller holds the lock.
func (c *Cache) applyDiscoveryOverdue() {
	now := c.now()
	c.policy.SetDiscoveryLost(now, false)
	if !c.discoveryOverdue.IsZero() {
		c.policy.SetDiscoveryLost(now-time.Since(c.discoveryOverdue).Microseconds(), true)
	}
}

// handleEvent passes an event to the policy and logs a change of health, unless the cache is
// being closed.
func (c *Cache) handleEvent(event diskcache.Event, err error) {
	c.mu.Lock()
	health, changed := c.policy.HandleEvent(c.now(), event)
	c.mu.Unlock()
	if changed && event != diskcache.EventClosed {
		c.logHealth(health, err)
	}
}

func (c *Cache) logHealth(health diskcache.Health, err error) {
	c.log.WithError(err).WithField("health", health.String()).Error("disk cache: disk failure")
}

// Close writes the queued copies, commits them to the index and closes the store.
func (c *Cache) Close() {
	close(c.stop)
	c.goroutines.Wait()
}

// closed reports whether Close has been called.
func (c *Cache) closed() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}
