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

// Config says what a cache may use.
type Config struct {
	FS          diskstore.FS
	Path        string // for the log
	Superblock  diskstore.Superblock
	Settings    diskcache.Settings // Seed comes from the folder
	ReadTimeout time.Duration      // how long a request waits for the disk
	// Clock gives the wall's and a steady clock's microseconds; nil: the system's.
	Clock func() (wall, steady int64)
}

// Cache is a running disk cache.
type Cache struct {
	config       Config
	bodies       *bufferpool.Pool
	log          *logrus.Entry
	classIndexes map[string]int // by name, places in Settings.Classes

	mu            sync.Mutex        // of the fields below
	policy        *diskcache.Policy // nil until the folder is open
	stepDetector  diskcache.StepDetector
	discoveryLost bool
	readTimes     *hdrhistogram.Histogram // microseconds

	ready      atomic.Bool // recovery is over
	store      *diskstore.Store
	reads      chan *readJob
	writes     chan *writeJob
	stop       chan struct{}
	goroutines sync.WaitGroup
}

// readers is the number of concurrent reads: a disk serves a few at once better than one by
// one, and each may hold a thread.
const readers = 4

// Start begins to open the folder and returns at once. Until recovery is over nothing is
// found and nothing is cached.
func Start(config Config, bodies *bufferpool.Pool, log *logrus.Entry) *Cache {
	c := newCache(config, bodies, log)
	c.goroutines.Go(c.run)
	return c
}

// newCache makes a cache that does nothing by itself.
func newCache(config Config, bodies *bufferpool.Pool, log *logrus.Entry) *Cache {
	const (
		maxReadTime = 60_000_000 // microseconds
		figures     = 2          // significant ones of the histogram
	)
	if config.Clock == nil {
		config.Clock = systemClock()
	}
	settings := &config.Settings
	// Each waiting copy takes a slot of the queue at least.
	maxWrites := int(settings.QueueBytes)/settings.SlotBytes + 1
	c := &Cache{
		config:       config,
		bodies:       bodies,
		log:          log.WithField("disk", config.Path),
		classIndexes: map[string]int{},
		readTimes:    hdrhistogram.New(1, maxReadTime, figures),
		reads:        make(chan *readJob, settings.MaxReads),
		writes:       make(chan *writeJob, maxWrites),
		stop:         make(chan struct{}),
	}
	for i, class := range settings.Classes {
		c.classIndexes[class.Name] = i
	}
	return c
}

func systemClock() func() (wall, steady int64) {
	start := time.Now()
	return func() (wall, steady int64) {
		now := time.Now()
		return now.UnixMicro(), now.Sub(start).Microseconds()
	}
}

// now gives the time to decide by. A jump of the system's clock is a gap in the history of
// all copies. It is called with the lock.
func (c *Cache) now() int64 {
	wall, steady := c.config.Clock()
	if c.stepDetector.Stepped(wall, steady) && c.policy != nil {
		c.policy.HistoryGap(wall)
		c.log.Warn("disk cache: clock stepped, copies are revalidated")
	}
	return wall
}

// run opens the folder, then reads and writes until the cache is closed.
func (c *Cache) run() {
	if !c.recover() {
		return
	}
	var reading sync.WaitGroup
	for range readers {
		reading.Go(c.readAll)
	}
	c.writeAll()
	reading.Wait()
	c.store.Close()
}

// Purge takes the purge of an object, or of a group where object is "", made at the given
// Unix microseconds. Before the folder is open it can cover nothing: what is found there
// is revalidated first in any case.
func (c *Cache) Purge(object string, group, at int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.policy != nil {
		c.policy.Purge(c.now(), object, uint8(group), at)
	}
}

// HistoryGap says that events of discovery may have been missed.
func (c *Cache) HistoryGap() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.policy != nil {
		c.policy.HistoryGap(c.now())
	}
}

// SetDiscoveryLost tells whether discovery is unreachable.
func (c *Cache) SetDiscoveryLost(lost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.discoveryLost = lost
	if c.policy != nil {
		c.policy.SetDiscoveryLost(c.now(), lost)
	}
}

// handleEvent tells the decisions of an event, and logs a change of health once.
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

// Close writes what waits and ends the use of the folder.
func (c *Cache) Close() {
	close(c.stop)
	c.goroutines.Wait()
}

func (c *Cache) closed() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}
