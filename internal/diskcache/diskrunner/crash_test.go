package diskrunner

import (
	"bytes"
	"fmt"
	"io"
	"maps"
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

const millisecond, second = int64(1000), int64(1_000_000)

// steppedCache is a Cache without its goroutines: the test does their work step by step,
// and keeps a record of its own of what it has written and synced.
type steppedCache struct {
	*Cache
	fs    *crashfs.FS
	now   int64
	batch batch

	written map[uint64][]byte // bodies by the sequence number of their record
	syncs   []syncPoint
}

// syncPoint is what was synced when so many steps of the file system's history were done.
type syncPoint struct {
	steps int
	parts partSet
}

// partSet has the sequence numbers of cached parts' records.
type partSet map[uint64]bool

func settings() diskcache.Settings {
	return diskcache.Settings{
		Classes: []diskcache.TrafficClass{
			{Name: "page", FreshFor: 60 * second, StaleGrace: 60 * second, LatencyObjective: second, Cacheable: true},
			{Name: "sign", LatencyObjective: second},
		}, SlotBytes: diskstore.MinSlotBytes, Slots: 64, MaxEntries: 64, WriteBytesPerSecond: 16 << 10, QueueBytes: 1 << 20,
		SyncInterval: second, MaxReads: 8, PurgeTime: 6 * second, MaxRequestTime: 2 * second, DiscoveryLossLimit: 2 * second,
	}
}

func newSteppedCache(t tb, fs *crashfs.FS, now int64) *steppedCache {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := &steppedCache{fs: fs, now: now, written: map[uint64][]byte{}}
	c.Cache = newCache(Config{
		FS: fs, Superblock: diskstore.Superblock{SlotBytes: diskstore.MinSlotBytes, Seed: 7}, Settings: settings(),
		Clock: func() (int64, int64) { return c.now, c.now },
	}, bufferpool.NewPool(1<<20), log.WithField("t", 1))
	if !c.recover() {
		t.Fatal("not recovered")
	}
	return c
}

// keep offers a copy and writes it; copies of an object of the same issue differ in nothing.
func (c *steppedCache) keep(object string, part int64, size int) {
	request := &Request{Class: "page", Object: object, Part: part, Group: uint8(len(object)), Remaining: 1e9}
	issued := c.now / millisecond
	content := bytes.Repeat(fmt.Appendf(nil, "%s/%d@%d ", object, part, issued), size/10+1)[:size]
	body, _ := c.bodies.ReadBody(bytes.NewReader(content), size)
	lookup, _ := c.policyRequest(request)
	c.policy.Lookup(c.now, &lookup) // wanted twice, so that it is worth a write
	c.policy.Lookup(c.now, &lookup)
	c.Offer(request, fmt.Sprintf("tag%d", issued), issued, body)
	body.Release()
	for len(c.writes) > 0 {
		w := <-c.writes
		c.written[w.record.Seq] = content
		c.writePart(w, &c.batch)
	}
}

// sync commits, and notes what must survive a crash from here on.
func (c *steppedCache) sync() {
	c.commit(&c.batch)
	c.syncs = append(c.syncs, syncPoint{steps: c.fs.Steps(), parts: c.cachedParts()})
}

func (c *steppedCache) eachPart(visit func(diskcache.CachedPart)) {
	for from := 0; from >= 0; {
		from = c.policy.Scan(from, visit)
	}
}

func (c *steppedCache) cachedParts() partSet {
	parts := partSet{}
	c.eachPart(func(part diskcache.CachedPart) { parts[part.Seq] = true })
	return parts
}

// drive takes random steps.
func (c *steppedCache) drive(steps int, draw func(int) int) {
	for range steps {
		c.now += int64(draw(1500)) * millisecond
		object := fmt.Sprintf("%*d", 1+draw(3), draw(6))
		switch draw(10) {
		case 0:
			c.Purge(object, 0, c.now)
		case 1:
			c.Purge("", int64(1+draw(3)), c.now)
		case 2, 3:
			c.sync()
		case 4: // an index is written anew long before it would be
			c.sync()
			if c.compact() == nil {
				c.sync()
			}
		default:
			c.keep(object, int64(draw(4)), 1+draw(4000))
		}
	}
}

// violations counts what must never be: records found torn, copies served unproven, and
// synced parts lost.
type violations struct{ torn, stale, lost int }

func (v *violations) add(other violations) {
	v.torn += other.torn
	v.stale += other.stale
	v.lost += other.lost
}

// checkRecovery recovers the state that a crash after so many steps has left, and compares
// it with what was written and synced.
func (c *steppedCache) checkRecovery(t tb, fs *crashfs.FS, steps int) (recovered *steppedCache, found violations) {
	t.Helper()
	recovered = newSteppedCache(t, fs, c.now+1000*millisecond)
	parts := partSet{}
	recovered.eachPart(func(part diskcache.CachedPart) {
		parts[part.Seq] = true
		record, err := recovered.readRecord(part, c.written[part.Seq])
		if err != nil {
			found.torn++
		}
		if recovered.servesUnproven(record) {
			found.stale++
		}
	})
	found.lost = c.countLost(steps, parts)
	recovered.syncs = []syncPoint{{parts: parts}}
	maps.Copy(recovered.written, c.written)
	return recovered, found
}

// readRecord reads a part's record, and fails unless it is whole and has this body.
func (c *steppedCache) readRecord(part diskcache.CachedPart, want []byte) (record diskstore.Record, err error) {
	record, reader, err := c.store.Read(part.Extents, part.Length)
	if err != nil {
		return record, err
	}
	body, err := io.ReadAll(reader)
	if err != nil {
		return record, err
	}
	if !reader.Intact() || record.Seq != part.Seq || !bytes.Equal(body, want) {
		return record, diskstore.ErrCorruptRecord
	}
	return record, nil
}

// servesUnproven reports whether a part that was just recovered would be served before the
// origin has confirmed it.
func (c *steppedCache) servesUnproven(record diskstore.Record) bool {
	lookup := diskcache.Request{
		ClassIndex: 0, Object: record.Object, Part: record.Part, Group: record.Group, Remaining: second,
	}
	verdict, _ := c.policy.Lookup(c.now, &lookup)
	if verdict == diskcache.VerdictRevalidate {
		c.policy.FinishRead(c.now, diskcache.Ref{}, diskcache.ReadUnused)
	}
	return verdict == diskcache.VerdictServe
}

// countLost counts the parts that the last sync within so many steps had and the recovered
// ones have not. Those that were dropped by the next sync don't count: its drops may have
// come to the disk.
func (c *steppedCache) countLost(steps int, recovered partSet) (lost int) {
	for i, point := range c.syncs {
		if point.steps > steps || i+1 < len(c.syncs) && c.syncs[i+1].steps <= steps {
			continue
		}
		next := c.partsAfter(i)
		for seq := range point.parts {
			if next[seq] && !recovered[seq] {
				lost++
			}
		}
	}
	return lost
}

// partsAfter is what was cached at the sync behind the i-th, or is now.
func (c *steppedCache) partsAfter(i int) partSet {
	if i+1 < len(c.syncs) {
		return c.syncs[i+1].parts
	}
	return c.cachedParts()
}

// maxSubsetSteps is up to how many unsynced steps each subset of them is lost once.
const maxSubsetSteps = 4

// checkCrashes checks the recovery from crashes after each step of the history: the process
// killed there, with the next write cut at several places, and the power lost there, with
// every subset of few unsynced steps lost, or with drawn ones of many, whole and by sectors.
func (c *steppedCache) checkCrashes(t tb, r *rand.Rand, samples int) (states int, found violations) {
	t.Helper()
	for steps := range c.fs.Steps() + 1 {
		check := func(fs *crashfs.FS) {
			states++
			_, v := c.checkRecovery(t, fs, steps)
			found.add(v)
		}
		for _, cut := range []int{0, 1, 63, 64, 100, 700} {
			check(c.fs.AfterKill(steps, cut))
		}
		unsynced := c.fs.Unsynced(steps)
		if len(unsynced) <= maxSubsetSteps {
			for mask := 1; mask < 1<<len(unsynced); mask++ {
				lost := filter(unsynced, func(i int) bool { return mask>>i&1 == 1 })
				check(c.fs.AfterPowerLoss(steps, lost, nil))
			}
			continue
		}
		for range samples {
			lost := filter(unsynced, func(int) bool { return r.IntN(2) == 0 })
			check(c.fs.AfterPowerLoss(steps, lost, nil))
			check(c.fs.AfterPowerLoss(steps, nil, r))
		}
	}
	return states, found
}

// filter returns the elements whose index is selected.
func filter(list []int, selected func(index int) bool) (result []int) {
	for i, element := range list {
		if selected(i) {
			result = append(result, element)
		}
	}
	return result
}

func TestCrashAtEveryStepLosesNothingSyncedAndTearsNothing(t *testing.T) {
	const histories, steps = 12, 40
	states := 0
	for seed := range uint64(histories) {
		r := rand.New(rand.NewPCG(seed, 1))
		c := newSteppedCache(t, crashfs.New(), 1_000_000*second)
		c.drive(steps, r.IntN)
		n, found := c.checkCrashes(t, r, 3)
		states += n
		if found != (violations{}) {
			t.Fatalf("seed %d: %+v in %d states", seed, found, n)
		}
	}
	t.Logf("%d states checked, 0 torn, stale or lost", states)
}

// After a crash and recovery the store is as good as before: it goes on, and
// crashes again.
func TestCrashAfterCrash(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") }
		r := rand.New(rand.NewPCG(uint64(draw(1<<30)), 2))
		c := newSteppedCache(t, crashfs.New(), 1_000_000*second)
		c.drive(15, draw)
		for range 3 {
			steps := draw(c.fs.Steps() + 1)
			fs := c.fs.AfterKill(steps, draw(800))
			if draw(2) == 0 {
				fs = c.fs.AfterPowerLoss(steps, nil, r)
			}
			recovered, found := c.checkRecovery(rt, fs, steps)
			if found != (violations{}) {
				rt.Fatalf("%+v", found)
			}
			c = recovered
			c.drive(10, draw)
		}
	})
}

func TestMain(m *testing.M) { testsupport.RunRapidWithFixedSeed(m) }
