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
	c.Settings.WriteBytesPerSecond, c.Settings.QueueBytes, c.Settings.SyncInterval = 1<<40, 1<<30, 10*ms
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

// Looks without a read, by parts known: the cost that a txn bears in any case.
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

// The index alone: a million entries, then a hundred thousand puts and drops in
// batches of a hundred, each batch synced; own frames against bbolt.
func BenchmarkIndex(b *testing.B) {
	const entries, changes, batch = 1_000_000, 100_000, 100
	b.Run("frames", func(b *testing.B) {
		for b.Loop() {
			c := benchConfig(b.TempDir(), entries)
			s := opened(b, c)
			entry := func(i int) diskstore.Entry {
				return diskstore.Entry{Key: uint64(i) * 0x9e3779b97f4a7c15, Seq: uint64(i), Length: 1, Extents: []diskcache.Extent{{Start: 1, Count: 1}}}
			}
			if err := s.Compact(func(tell func(*diskstore.Entry) error) error {
				for i := range entries {
					e := entry(i)
					if err := tell(&e); err != nil {
						return err
					}
				}
				return nil
			}); err != nil {
				b.Fatal(err)
			}
			at, _ := s.Size()
			began := time.Now()
			for i := 0; i < changes; i += batch {
				var puts []diskstore.Entry
				var drops []diskcache.Drop
				for j := range batch {
					puts = append(puts, entry(entries+i+j))
					drops = append(drops, diskcache.Drop{Key: entry(i + j).Key, Seq: uint64(i + j)})
				}
				if err := s.Commit(puts, drops); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(time.Since(began).Seconds(), "s-changes")
			end, _ := s.Size()
			b.ReportMetric(float64(end-at)/changes, "bytes/change")
			b.ReportMetric(float64(end)/1e6, "MB-file")
			s.Close()
			began = time.Now()
			s = opened(b, c)
			b.ReportMetric(time.Since(began).Seconds(), "s-open")
			s.Close()
		}
	})
	b.Run("bbolt", func(b *testing.B) {
		for b.Loop() {
			path := filepath.Join(b.TempDir(), "index")
			db, err := bbolt.Open(path, 0o600, nil)
			if err != nil {
				b.Fatal(err)
			}
			name := []byte("parts")
			key := func(i int) []byte {
				return binary.BigEndian.AppendUint64(nil, uint64(i)*0x9e3779b97f4a7c15)
			}
			value := make([]byte, 48)
			for i := 0; i < entries; i += 10_000 {
				if err := db.Update(func(tx *bbolt.Tx) error {
					bucket, _ := tx.CreateBucketIfNotExists(name)
					for j := range 10_000 {
						if err := bucket.Put(key(i+j), value); err != nil {
							return err
						}
					}
					return nil
				}); err != nil {
					b.Fatal(err)
				}
			}
			old := db.Stats()
			pages := old.TxStats.GetPageAlloc()
			began := time.Now()
			for i := 0; i < changes; i += batch {
				if err := db.Update(func(tx *bbolt.Tx) error {
					bucket := tx.Bucket(name)
					for j := range batch {
						if err := bucket.Put(key(entries+i+j), value); err != nil {
							return err
						}
						if err := bucket.Delete(key(i + j)); err != nil {
							return err
						}
					}
					return nil
				}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(time.Since(began).Seconds(), "s-changes")
			st := db.Stats()
			b.ReportMetric(float64(st.TxStats.GetPageAlloc()-pages)/changes, "bytes/change")
			if err := db.View(func(tx *bbolt.Tx) error {
				b.ReportMetric(float64(tx.Size())/1e6, "MB-file")
				return nil
			}); err != nil {
				b.Fatal(err)
			}
			db.Close()
			began = time.Now()
			db, err = bbolt.Open(path, 0o600, nil)
			if err != nil {
				b.Fatal(err)
			}
			n := 0
			if err := db.View(func(tx *bbolt.Tx) error {
				return tx.Bucket(name).ForEach(func(_, _ []byte) error {
					n++
					return nil
				})
			}); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(time.Since(began).Seconds(), "s-open")
			if n != entries {
				b.Fatal(n)
			}
			db.Close()
		}
	})
}
