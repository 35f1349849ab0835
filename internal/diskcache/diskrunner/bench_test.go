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

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func benchConfig(dir string, parts int) Config {
	set := settings()
	set.SlotBytes, set.Slots, set.MaxEntries = 16<<10, parts*3/2, parts
	return Config{
		FS: diskstore.Dir{Path: dir}, Superblock: diskstore.Superblock{SlotBytes: set.SlotBytes, Seed: 7}, Settings: set,
		ReadTimeout: time.Second,
	}
}

func quiet() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log.WithField("t", 1)
}

// bare installs nothing.
type bare struct{}

func (bare) Put(*diskstore.Entry) {}
func (bare) Drop(diskcache.Drop)  {}

func opened(b *testing.B, c Config) *diskstore.Store {
	s, err := diskstore.Open(c.FS, c.Superblock)
	if err == nil {
		_, err = s.Recover(bare{})
	}
	if err != nil {
		b.Fatal(err)
	}
	return s
}

// A restart with a million parts known: an index of one slot each, no data. Told
// beside the time: bytes of memory a part, and of the index.
func BenchmarkRecoverMillion(b *testing.B) {
	const parts = 1_000_000
	dir := b.TempDir()
	c := benchConfig(dir, parts)
	s := opened(b, c)
	r := rand.New(rand.NewPCG(1, 1))
	if err := s.Compact(func(tell func(*diskstore.Entry) error) error {
		for i := range uint32(parts) {
			entry := &diskstore.Entry{
				Key: r.Uint64(), Object: r.Uint64(), Issued: 1, Seq: uint64(i), Length: 16000,
				ClassHash: diskstore.ClassHash("page"), Extents: []diskcache.Extent{{Start: i, Count: 1}},
			}
			if err := tell(entry); err != nil {
				return err
			}
		}
		return nil
	}); err != nil {
		b.Fatal(err)
	}
	index, _ := s.Size()
	s.Close()
	for b.Loop() {
		before := heap()
		began := time.Now()
		s := newCache(c, bufferpool.NewPool(1<<20), quiet())
		if !s.recover() {
			b.Fatal("not recovered")
		}
		b.ReportMetric(time.Since(began).Seconds(), "s/restart")
		b.ReportMetric(float64(heap()-before)/parts, "bytes/part")
		b.ReportMetric(float64(s.State().Size.MemoryBytes)/parts, "told-bytes/part")
		b.ReportMetric(float64(index)/parts, "index-bytes/part")
		if n := s.State().Size.Parts; n != parts {
			b.Fatal(n)
		}
		s.store.Close()
	}
}

// A kept part of 100 kB, from a folder of 400 of them that the system's cache
// holds, and the same bytes from a body in memory.
func BenchmarkGet(b *testing.B) {
	const size, parts = 100_000, 400
	text := strings.Repeat("x", size)
	bodies := bufferpool.NewPool(1 << 28)
	c := benchConfig(b.TempDir(), parts*8)
	c.Settings.WriteBytesPerSecond, c.Settings.QueueBytes, c.Settings.SyncInterval = 1<<40, 1<<30, 10*millisecond
	s := Start(c, bodies, quiet())
	defer s.Close()
	for !s.ready.Load() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(150 * time.Millisecond)
	ask := func(i int) *Request {
		return &Request{Class: "page", Object: fmt.Sprint(i % parts), Remaining: time.Second}
	}
	memory := make([]*bufferpool.Body, parts)
	for i := range parts {
		s.Get(ask(i))
		s.Get(ask(i))
		memory[i], _ = bodies.ReadBody(strings.NewReader(text), size)
		s.Offer(ask(i), "t", time.Now().UnixMilli(), memory[i])
	}
	for s.State().Size.QueuedBytes > 0 {
		time.Sleep(time.Millisecond)
	}
	out := make([]byte, size)
	measure := func(b *testing.B, get func(i int) *bufferpool.Body) {
		h := hdrhistogram.New(1, 1e9, 3)
		i := 0
		for b.Loop() {
			i += 7
			began := time.Now()
			body := get(i)
			n := 0
			for _, p := range body.AppendBuffers(nil) { // as a socket would take it
				n += copy(out[n:], p)
			}
			body.Release()
			h.RecordValue(time.Since(began).Nanoseconds())
			if n != size {
				b.Fatal(n)
			}
		}
		b.ReportMetric(float64(h.ValueAtQuantile(50))/1e3, "us-median")
		b.ReportMetric(float64(h.ValueAtQuantile(99))/1e3, "us-99")
	}
	b.Run("disk", func(b *testing.B) {
		measure(b, func(i int) *bufferpool.Body {
			if c := s.Get(ask(i)); c != nil {
				return c.Body
			}
			b.Fatal("not found")
			return nil
		})
	})
	b.Run("memory", func(b *testing.B) {
		measure(b, func(i int) *bufferpool.Body { return memory[i%parts].Retain() })
	})
}

// Looks without a read, by parts known: the cost that a request bears in any case.
func BenchmarkLook(b *testing.B) {
	for _, parts := range []int{1_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(parts), func(b *testing.B) {
			set := settings()
			set.Slots, set.MaxEntries, set.WriteBytesPerSecond, set.QueueBytes, set.MaxReads = parts*2, parts, 1<<50, 1<<50, 1
			t := diskcache.New(1e12, set)
			names := make([]string, parts)
			for i := range parts {
				names[i] = fmt.Sprint("object", i)
				a := diskcache.Request{Object: names[i], Remaining: second}
				t.Lookup(1e12+second, &a)
				t.Lookup(1e12+second, &a)
				if p, r := t.Offer(1e12+second, &diskcache.Candidate{Request: a, Issued: 1e9 + 1000, Length: 1000}); r == diskcache.ReasonOK {
					t.FinishWrite(p.Ref, 1000, true)
				}
			}
			r := rand.New(rand.NewPCG(1, 1))
			b.ReportAllocs()
			for b.Loop() {
				a := diskcache.Request{Object: names[r.IntN(parts)], Remaining: second}
				if v, f := t.Lookup(1e12+second, &a); v != diskcache.VerdictMiss {
					t.FinishRead(1e12+second, f.Ref, diskcache.ReadIntact)
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
	bboltValueBytes = 48 // about what an entry takes
)

// The index alone: a million entries, then a hundred thousand puts and drops in
// batches of a hundred, each batch synced; own frames against bbolt.
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
	const multiplier = 0x9e3779b97f4a7c15 // spreads the numbers over all keys
	return uint64(i) * multiplier
}

func indexEntry(i int) diskstore.Entry {
	return diskstore.Entry{
		Key: indexKey(i), Seq: uint64(i), Length: 1, Extents: []diskcache.Extent{{Start: 1, Count: 1}},
	}
}

func benchmarkFrames(b *testing.B) {
	b.Helper()
	c := benchConfig(b.TempDir(), indexEntries)
	s := opened(b, c)
	if err := s.Compact(writeIndexEntries); err != nil {
		b.Fatal(err)
	}
	filled, _ := s.Size()
	began := time.Now()
	for i := 0; i < indexChanges; i += indexBatch {
		commitIndexBatch(b, s, i)
	}
	b.ReportMetric(time.Since(began).Seconds(), "s-changes")
	changed, _ := s.Size()
	b.ReportMetric(float64(changed-filled)/indexChanges, "bytes/change")
	b.ReportMetric(float64(changed)/1e6, "MB-file")
	s.Close()
	began = time.Now()
	s = opened(b, c)
	b.ReportMetric(time.Since(began).Seconds(), "s-open")
	s.Close()
}

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
func commitIndexBatch(b *testing.B, s *diskstore.Store, from int) {
	b.Helper()
	var puts []diskstore.Entry
	var drops []diskcache.Drop
	for i := from; i < from+indexBatch; i++ {
		puts = append(puts, indexEntry(indexEntries+i))
		drops = append(drops, diskcache.Drop{Key: indexKey(i), Seq: uint64(i)})
	}
	if err := s.Commit(puts, drops); err != nil {
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
		b.Fatal(entries)
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

// changeBbolt does what commitIndexBatch does.
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
