package diskrunner

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/sirupsen/logrus"
	"go.etcd.io/bbolt"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/diskcache"
	"quilldoor/internal/diskcache/diskstore"
)

// heapBytes returns the size of the live heap.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// benchConfig returns the configuration of a cache for the given number of parts in a
// directory of the operating system.
func benchConfig(dir string, parts int) Config {
	settings := testSettings()
	settings.SlotBytes, settings.Slots, settings.MaxEntries = 16<<10, parts*3/2, parts
	return Config{
		FS: diskstore.Dir{Path: dir}, Superblock: diskstore.Superblock{SlotBytes: settings.SlotBytes, Seed: 7}, Settings: settings,
		ReadTimeout: time.Second,
	}
}

// discardLog returns a logger without output.
func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log.WithField("t", 1)
}

// discardSink is a diskstore.Sink that discards all entries.
type discardSink struct{}

func (discardSink) Put(*diskstore.Entry) {}
func (discardSink) Drop(diskcache.Drop)  {}

// openStore opens a store and reads its index.
func openStore(b *testing.B, config Config) *diskstore.Store {
	store, err := diskstore.Open(config.FS, config.Superblock)
	if err == nil {
		_, err = store.Recover(discardSink{})
	}
	if err != nil {
		b.Fatal(err)
	}
	return store
}

// A restart with a million cached parts: the index names one slot for each, and there is no
// data. Besides the time, it reports the bytes per part of the heap, of State.Size.MemoryBytes
// and of the index on disk.
func BenchmarkRecoverMillion(b *testing.B) {
	const parts = 1_000_000
	dir := b.TempDir()
	config := benchConfig(dir, parts)
	store := openStore(b, config)
	r := rand.New(rand.NewPCG(1, 1))
	if err := store.Compact(func(add func(*diskstore.Entry) error) error {
		for i := range uint32(parts) {
			entry := &diskstore.Entry{
				Key: r.Uint64(), Object: r.Uint64(), Issued: 1, Seq: uint64(i), Length: 16000,
				ClassHash: diskstore.ClassHash("page"), Extents: []diskcache.Extent{{Start: i, Count: 1}},
			}
			if err := add(entry); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		b.Fatal(err)
	}
	indexBytes, _ := store.Size()
	store.Close()
	for b.Loop() {
		heapBefore := heapBytes()
		began := time.Now()
		cache := newCache(config, bufferpool.NewPool(1<<20), discardLog())
		if !cache.recover() {
			b.Fatal("the store could not be recovered")
		}
		b.ReportMetric(time.Since(began).Seconds(), "s/restart")
		b.ReportMetric(float64(heapBytes()-heapBefore)/parts, "bytes/part")
		b.ReportMetric(float64(cache.State().Size.MemoryBytes)/parts, "reported-bytes/part")
		b.ReportMetric(float64(indexBytes)/parts, "index-bytes/part")
		if n := cache.State().Size.Parts; n != parts {
			b.Fatalf("%d parts recovered, want %d", n, parts)
		}
		cache.store.Close()
	}
}

// Get of a cached part of 100 kB out of 400, all of them in the page cache of the operating
// system, compared with the same bytes from a body in memory.
func BenchmarkGet(b *testing.B) {
	const size, parts = 100_000, 400
	text := strings.Repeat("x", size)
	bodies := bufferpool.NewPool(1 << 28)
	config := benchConfig(b.TempDir(), parts*8)
	config.Settings.WriteBytesPerSecond, config.Settings.QueueBytes, config.Settings.SyncInterval = 1<<40, 1<<30, 10*millisecond
	cache := Start(config, bodies, discardLog())
	defer cache.Close()
	for !cache.ready.Load() {
		time.Sleep(time.Millisecond)
	}
	// Longer than the policy's maxClockSkew, so that copies issued from here on need no
	// revalidation.
	time.Sleep(150 * time.Millisecond)
	request := func(i int) *Request {
		return &Request{Class: "page", Object: fmt.Sprint(i % parts), Remaining: time.Second}
	}
	memory := make([]*bufferpool.Body, parts)
	for i := range parts {
		cache.Get(request(i))
		cache.Get(request(i))
		memory[i], _ = bodies.ReadBody(strings.NewReader(text), size)
		cache.Offer(request(i), "t", time.Now().UnixMilli(), memory[i])
	}
	for cache.State().Size.QueuedBytes > 0 {
		time.Sleep(time.Millisecond)
	}
	out := make([]byte, size)
	measure := func(b *testing.B, get func(i int) *bufferpool.Body) {
		durations := hdrhistogram.New(1, 1e9, 3) // nanoseconds
		i := 0
		for b.Loop() {
			i += 7
			began := time.Now()
			body := get(i)
			n := 0
			for _, buffer := range body.AppendBuffers(nil) { // stands for the write to a socket
				n += copy(out[n:], buffer)
			}
			body.Release()
			durations.RecordValue(time.Since(began).Nanoseconds())
			if n != size {
				b.Fatalf("%d bytes in the body, want %d", n, size)
			}
		}
		b.ReportMetric(float64(durations.ValueAtQuantile(50))/1e3, "us-median")
		b.ReportMetric(float64(durations.ValueAtQuantile(99))/1e3, "us-99")
	}
	b.Run("disk", func(b *testing.B) {
		measure(b, func(i int) *bufferpool.Body {
			if cached := cache.Get(request(i)); cached != nil {
				return cached.Body
			}
			b.Fatalf("object %d is not in the cache", i%parts)
			return nil
		})
	})
	b.Run("memory", func(b *testing.B) {
		measure(b, func(i int) *bufferpool.Body { return memory[i%parts].Retain() })
	})
}

// Lookups in the policy without a read from disk, by the number of cached parts: the cost that
// the disk cache adds to every request.
func BenchmarkLookup(b *testing.B) {
	for _, parts := range []int{1_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(parts), func(b *testing.B) {
			settings := testSettings()
			settings.Slots, settings.MaxEntries, settings.WriteBytesPerSecond, settings.QueueBytes, settings.MaxReads = parts*2, parts, 1<<50, 1<<50, 1
			policy := diskcache.New(1e12, settings)
			names := make([]string, parts)
			for i := range parts {
				names[i] = fmt.Sprint("object", i)
				request := diskcache.Request{Object: names[i], Remaining: second}
				policy.Lookup(1e12+second, &request)
				policy.Lookup(1e12+second, &request)
				if placement, reason := policy.Offer(1e12+second, &diskcache.Candidate{Request: request, Issued: 1e9 + 1000, Length: 1000}); reason == diskcache.ReasonOK {
					policy.FinishWrite(placement.Ref, 1000, true)
				}
			}
			r := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				request := diskcache.Request{Object: names[r.IntN(parts)], Remaining: second}
				if verdict, found := policy.Lookup(1e12+second, &request); verdict != diskcache.VerdictMiss {
					policy.FinishRead(1e12+second, found.Ref, diskcache.ReadIntact)
				}
			}
		})
	}
}

const (
	indexEntries    = 1_000_000
	indexChanges    = 100_000
	indexBatch      = 100
	bboltFillBatch  = 10_000
	bboltValueBytes = 48 // about the size of an entry
)

// The index on disk alone, as frames of diskstore compared with bbolt: a million entries are
// written, then a hundred thousand puts and as many drops, in batches of a hundred puts and a
// hundred drops. Each batch is synced.
func BenchmarkIndex(b *testing.B) {
	b.Run("frames", func(b *testing.B) {
		for b.Loop() {
			benchmarkFrames(b)
		}
	})
	b.Run("bbolt", func(b *testing.B) {
		for b.Loop() {
			benchmarkBbolt(b)
		}
	})
}

func indexKey(i int) uint64 {
	const multiplier = 0x9e3779b97f4a7c15 // spreads consecutive numbers over the range of keys
	return uint64(i) * multiplier
}

func indexEntry(i int) diskstore.Entry {
	return diskstore.Entry{
		Key: indexKey(i), Seq: uint64(i), Length: 1, Extents: []diskcache.Extent{{Start: 1, Count: 1}},
	}
}

func benchmarkFrames(b *testing.B) {
	b.Helper()
	config := benchConfig(b.TempDir(), indexEntries)
	store := openStore(b, config)
	if err := store.Compact(writeIndexEntries); err != nil {
		b.Fatal(err)
	}
	bytesBefore, _ := store.Size()
	began := time.Now()
	for i := 0; i < indexChanges; i += indexBatch {
		commitIndexBatch(b, store, i)
	}
	b.ReportMetric(time.Since(began).Seconds(), "s-changes")
	bytesAfter, _ := store.Size()
	b.ReportMetric(float64(bytesAfter-bytesBefore)/indexChanges, "bytes/change")
	b.ReportMetric(float64(bytesAfter)/1e6, "MB-file")
	store.Close()
	began = time.Now()
	store = openStore(b, config)
	b.ReportMetric(time.Since(began).Seconds(), "s-open")
	store.Close()
}

// writeIndexEntries passes the entries of a filled index to write.
func writeIndexEntries(write func(*diskstore.Entry) error) error {
	for i := range indexEntries {
		entry := indexEntry(i)
		if err := write(&entry); err != nil {
			return err
		}
	}
	return nil
}

// commitIndexBatch puts new entries and drops as many old ones.
func commitIndexBatch(b *testing.B, store *diskstore.Store, from int) {
	b.Helper()
	var puts []diskstore.Entry
	var drops []diskcache.Drop
	for i := from; i < from+indexBatch; i++ {
		puts = append(puts, indexEntry(indexEntries+i))
		drops = append(drops, diskcache.Drop{Key: indexKey(i), Seq: uint64(i)})
	}
	if err := store.Commit(puts, drops); err != nil {
		b.Fatal(err)
	}
}

var bboltBucket = []byte("parts")

func bboltKey(i int) []byte { return binary.BigEndian.AppendUint64(nil, indexKey(i)) }

func openBbolt(b *testing.B, path string) *bbolt.DB {
	b.Helper()
	db, err := bbolt.Open(path, 0o600, nil)
	if err != nil {
		b.Fatal(err)
	}
	return db
}

func benchmarkBbolt(b *testing.B) {
	b.Helper()
	path := filepath.Join(b.TempDir(), "index")
	db := openBbolt(b, path)
	value := make([]byte, bboltValueBytes)
	for i := 0; i < indexEntries; i += bboltFillBatch {
		fillBbolt(b, db, i, value)
	}
	before := db.Stats()
	pageBytesBefore := before.TxStats.GetPageAlloc()
	began := time.Now()
	for i := 0; i < indexChanges; i += indexBatch {
		changeBbolt(b, db, i, value)
	}
	b.ReportMetric(time.Since(began).Seconds(), "s-changes")
	after := db.Stats()
	b.ReportMetric(float64(after.TxStats.GetPageAlloc()-pageBytesBefore)/indexChanges, "bytes/change")
	if err := db.View(func(tx *bbolt.Tx) error {
		b.ReportMetric(float64(tx.Size())/1e6, "MB-file")
		return nil
	}); err != nil {
		b.Fatal(err)
	}
	db.Close()
	began = time.Now()
	db = openBbolt(b, path)
	entries := countBbolt(b, db)
	b.ReportMetric(time.Since(began).Seconds(), "s-open")
	if entries != indexEntries {
		b.Fatalf("%d entries in bbolt, want %d", entries, indexEntries)
	}
	db.Close()
}

func fillBbolt(b *testing.B, db *bbolt.DB, from int, value []byte) {
	b.Helper()
	if err := db.Update(func(tx *bbolt.Tx) error {
		bucket, _ := tx.CreateBucketIfNotExists(bboltBucket)
		for i := from; i < from+bboltFillBatch; i++ {
			if err := bucket.Put(bboltKey(i), value); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		b.Fatal(err)
	}
}

// changeBbolt makes the same changes in bbolt as commitIndexBatch makes in a store.
func changeBbolt(b *testing.B, db *bbolt.DB, from int, value []byte) {
	b.Helper()
	if err := db.Update(func(tx *bbolt.Tx) error {
		bucket := tx.Bucket(bboltBucket)
		for i := from; i < from+indexBatch; i++ {
			if err := bucket.Put(bboltKey(indexEntries+i), value); err != nil {
				return err
			}
			if err := bucket.Delete(bboltKey(i)); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		b.Fatal(err)
	}
}

func countBbolt(b *testing.B, db *bbolt.DB) (entries int) {
	b.Helper()
	if err := db.View(func(tx *bbolt.Tx) error {
		return tx.Bucket(bboltBucket).ForEach(func(_, _ []byte) error {
			entries++
			return nil
		})
	}); err != nil {
		b.Fatal(err)
	}
	return entries
}
