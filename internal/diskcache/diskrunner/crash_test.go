package diskrunner

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"

	"github.com/sirupsen/logrus"
	"pgregory.net/rapid"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/crashfs"
	"quilldoor/internal/diskcache"
	"quilldoor/internal/diskcache/diskstore"
	"quilldoor/internal/testsupport"
)

// tb is what a test and a check by rapid have in common.
type tb interface {
	Helper()
	Fatal(args ...any)
}

const ms, second = int64(1000), int64(1_000_000)

// bench is a shelf whose goroutines the test stands in for, step by step, and
// the independent book of what it did.
type bench struct {
	*Cache
	fs    *crashfs.FS
	now   int64
	batch batch

	content map[uint64][]byte // by number of a record: what was written under it
	version map[string]int64  // by object: issue of the latest copy at the origin
	synced  []mark
}

// mark is what was synced when so many steps of the history were done.
type mark struct {
	steps int
	kept  map[uint64]bool // by number
}

func settings() diskcache.Settings {
	return diskcache.Settings{
		Classes: []diskcache.TrafficClass{
			{Name: "page", FreshTime: 60 * second, GraceTime: 60 * second, SLA: second, Cacheable: true},
			{Name: "sign", SLA: second},
		}, SlotBytes: diskstore.MinSlotBytes, Slots: 64, MaxEntries: 64, WriteBytesPerSecond: 16 << 10, QueueBytes: 1 << 20,
		SyncInterval: second, MaxReads: 8, PurgeTime: 6 * second, MaxRequestTime: 2 * second, DiscoveryLossLimit: 2 * second,
	}
}

func newBench(t tb, fs *crashfs.FS, now int64) *bench {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	b := &bench{fs: fs, now: now, content: map[uint64][]byte{}, version: map[string]int64{}}
	b.Cache = newCache(Config{
		FS: fs, Superblock: diskstore.Superblock{SlotBytes: diskstore.MinSlotBytes, Seed: 7}, Settings: settings(),
		Clock: func() (int64, int64) { return b.now, b.now },
	}, bufferpool.NewPool(1<<20), log.WithField("t", 1))
	if !b.recover() {
		t.Fatal("not recovered")
	}
	return b
}

// keep offers a copy; it is as good as any other of the object at that issue.
func (b *bench) keep(object string, part int64, size int) {
	a := &Request{Class: "page", Object: object, Part: part, Group: uint8(len(object)), Remaining: 1e9}
	issued := b.now / ms
	content := bytes.Repeat(fmt.Appendf(nil, "%s/%d@%d ", object, part, issued), size/10+1)[:size]
	body, _ := b.bodies.ReadBody(bytes.NewReader(content), size)
	ask, _ := b.policyRequest(a)
	b.policy.Lookup(b.now, &ask) // wanted twice, so that it is worth a write
	b.policy.Lookup(b.now, &ask)
	b.Offer(a, fmt.Sprintf("tag%d", issued), issued, body)
	body.Release()
	b.version[object] = issued
	for len(b.writes) > 0 {
		w := <-b.writes
		b.content[w.record.Seq] = content
		b.writePart(w, &b.batch)
	}
}

// sync commits, and notes what lasts from here on.
func (b *bench) sync() {
	b.commit(&b.batch)
	m := mark{steps: b.fs.Steps(), kept: map[uint64]bool{}}
	for from := 0; from >= 0; {
		from = b.policy.Scan(from, func(k diskcache.CachedPart) { m.kept[k.Seq] = true })
	}
	b.synced = append(b.synced, m)
}

// drive takes random steps.
func (b *bench) drive(n int, draw func(int) int) {
	for range n {
		b.now += int64(draw(1500)) * ms
		object := fmt.Sprintf("%*d", 1+draw(3), draw(6))
		switch draw(10) {
		case 0:
			b.Purge(object, 0, b.now)
		case 1:
			b.Purge("", int64(1+draw(3)), b.now)
		case 2, 3:
			b.sync()
		case 4: // an index is written anew long before it would be
			b.sync()
			if b.compact() == nil {
				b.sync()
			}
		default:
			b.keep(object, int64(draw(4)), 1+draw(4000))
		}
	}
}

// broken counts what must never be.
type broken struct{ torn, stale, lost int }

// judge recovers a state that a crash after so many steps left, and compares it
// with the book. Dropped names records that gave way by some decision up to then.
func (b *bench) judge(t tb, fs *crashfs.FS, steps int, later *bench) (out broken) {
	t.Helper()
	*later = *newBench(t, fs, b.now+1000*ms)
	found := map[uint64]bool{}
	for from := 0; from >= 0; {
		from = later.policy.Scan(from, func(k diskcache.CachedPart) {
			found[k.Seq] = true
			rec, r, err := later.store.Read(k.Extents, k.Length)
			if err == nil {
				var body []byte
				body, err = io.ReadAll(r)
				if err == nil && (!r.Intact() || rec.Seq != k.Seq || !bytes.Equal(body, b.content[k.Seq])) {
					err = diskstore.ErrCorruptRecord
				}
			}
			if err != nil {
				out.torn++
			}
			// Nothing that was found is served before it is proven.
			ask := diskcache.Request{ClassIndex: 0, Object: rec.Object, Part: rec.Part, Group: rec.Group, Remaining: second}
			if v, _ := later.policy.Lookup(later.now, &ask); v == diskcache.VerdictServe {
				out.stale++
			} else if v == diskcache.VerdictRevalidate {
				later.policy.FinishRead(later.now, diskcache.Ref{}, diskcache.ReadUnused)
			}
		})
	}
	// What the last sync before held is there, unless it had given way by the next:
	// that one's drops may have come to the disk.
	for i, m := range b.synced {
		if m.steps > steps || i+1 < len(b.synced) && b.synced[i+1].steps <= steps {
			continue
		}
		for seq := range m.kept {
			if next := b.after(i); !found[seq] && next[seq] {
				out.lost++
			}
		}
	}
	later.synced = []mark{{kept: found}}
	for seq := range b.content {
		later.content[seq] = b.content[seq]
	}
	return out
}

// after is what was kept at the sync behind the i-th, or is now.
func (b *bench) after(i int) map[uint64]bool {
	if i+1 < len(b.synced) {
		return b.synced[i+1].kept
	}
	now := map[uint64]bool{}
	for from := 0; from >= 0; {
		from = b.policy.Scan(from, func(k diskcache.CachedPart) { now[k.Seq] = true })
	}
	return now
}

// crashes judges every prefix of a history: the process killed there, with the
// next write cut at several places, and the power lost there, with every subset
// of few unsynced steps lost, or drawn ones of many, whole and by sectors.
func (b *bench) crashes(t tb, from int, r *rand.Rand, many int) (states int, out broken) {
	t.Helper()
	count := func(fs *crashfs.FS, steps int) {
		var later bench
		states++
		x := b.judge(t, fs, steps, &later)
		out.torn, out.stale, out.lost = out.torn+x.torn, out.stale+x.stale, out.lost+x.lost
	}
	for n := from; n <= b.fs.Steps(); n++ {
		for _, cut := range []int{0, 1, 63, 64, 100, 700} {
			count(b.fs.AfterKill(n, cut), n)
		}
		open := b.fs.Unsynced(n)
		if len(open) <= 4 {
			for mask := 1; mask < 1<<len(open); mask++ {
				var lost []int
				for i, at := range open {
					if mask>>i&1 == 1 {
						lost = append(lost, at)
					}
				}
				count(b.fs.AfterPowerLoss(n, lost, nil), n)
			}
			continue
		}
		for range many {
			var lost []int
			for _, at := range open {
				if r.IntN(2) == 0 {
					lost = append(lost, at)
				}
			}
			count(b.fs.AfterPowerLoss(n, lost, nil), n)
			count(b.fs.AfterPowerLoss(n, nil, r), n)
		}
	}
	return states, out
}

func TestCrashAtEveryStepLosesNothingSyncedAndTearsNothing(t *testing.T) {
	const histories, steps = 12, 40
	states := 0
	for seed := range uint64(histories) {
		r := rand.New(rand.NewPCG(seed, 1))
		b := newBench(t, crashfs.New(), 1_000_000*second)
		b.drive(steps, r.IntN)
		n, x := b.crashes(t, 0, r, 3)
		states += n
		if x != (broken{}) {
			t.Fatalf("seed %d: %+v in %d states", seed, x, n)
		}
	}
	t.Logf("%d states judged, 0 torn, stale or lost", states)
}

// After a crash and recovery the store is as good as before: it goes on, and
// crashes again.
func TestCrashAfterCrash(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") }
		r := rand.New(rand.NewPCG(uint64(draw(1<<30)), 2))
		b := newBench(t, crashfs.New(), 1_000_000*second)
		b.drive(15, draw)
		for range 3 {
			n := draw(b.fs.Steps() + 1)
			fs := b.fs.AfterKill(n, draw(800))
			if draw(2) == 0 {
				fs = b.fs.AfterPowerLoss(n, nil, r)
			}
			var later bench
			if x := b.judge(rt, fs, n, &later); x != (broken{}) {
				rt.Fatalf("%+v", x)
			}
			b = &later
			b.drive(10, draw)
		}
	})
}

func TestMain(m *testing.M) { testsupport.RunRapidWithFixedSeed(m) }
