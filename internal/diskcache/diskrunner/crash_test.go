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

// tb is the subset of testing.TB that *rapid.T has as well.
type tb interface {
	Helper()
	Fatal(args ...any)
}

const millisecond, second = int64(1000), int64(1_000_000)

// steppedCache is a Cache without its goroutines: the test does their work step by step. It
// records which copies it has written and synced, to compare them with a recovered cache.
type steppedCache struct {
	*Cache
	fs    *crashfs.FS
	now   int64
	batch batch

	written map[uint64][]byte // bodies by the sequence number of their record
	syncs   []syncPoint
}

// syncPoint is the state at a commit.
type syncPoint struct {
	steps int     // length of the file system's history after the commit
	parts partSet // cached at the commit
}

// partSet is the set of cached parts, by the sequence numbers of their records.
type partSet map[uint64]bool

// testSettings returns settings with a cacheable class "page" and an uncacheable class "sign".
func testSettings() diskcache.Settings {
	return diskcache.Settings{
		Classes: []diskcache.TrafficClass{
			{Name: "page", FreshFor: 60 * second, StaleGrace: 60 * second, LatencyObjective: second, Cacheable: true},
			{Name: "sign", LatencyObjective: second},
		}, SlotBytes: diskstore.MinSlotBytes, Slots: 64, MaxEntries: 64, WriteBytesPerSecond: 16 << 10, QueueBytes: 1 << 20,
		SyncInterval: second, MaxReads: 8, PurgeTime: 6 * second, MaxRequestTime: 2 * second, DiscoveryLossLimit: 2 * second,
	}
}

// newSteppedCache opens and recovers a cache on a file system.
func newSteppedCache(t tb, fs *crashfs.FS, now int64) *steppedCache {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	c := &steppedCache{fs: fs, now: now, written: map[uint64][]byte{}}
	c.Cache = newCache(Config{
		FS: fs, Superblock: diskstore.Superblock{SlotBytes: diskstore.MinSlotBytes, Seed: 7}, Settings: testSettings(),
		Clock: func() (int64, int64) { return c.now, c.now },
	}, bufferpool.NewPool(1<<20), log.WithField("t", 1))
	if !c.recover() {
		t.Fatal("the store could not be recovered")
	}
	return c
}

// offerAndWrite offers a copy and writes it if it is admitted. Its content follows from the
// object, the part and the time of issue, so that two copies with the same issue are equal.
func (c *steppedCache) offerAndWrite(object string, part int64, size int) {
	request := &Request{Class: "page", Object: object, Part: part, Group: uint8(len(object)), Remaining: 1e9}
	issued := c.now / millisecond
	content := bytes.Repeat(fmt.Appendf(nil, "%s/%d@%d ", object, part, issued), size/10+1)[:size]
	body, _ := c.bodies.ReadBody(bytes.NewReader(content), size)
	lookup, _ := c.policyRequest(request)
	c.policy.Lookup(c.now, &lookup) // the policy admits a part from its second request on
	c.policy.Lookup(c.now, &lookup)
	c.Offer(request, fmt.Sprintf("tag%d", issued), issued, body)
	body.Release()
	for len(c.writes) > 0 {
		job := <-c.writes
		c.written[job.record.Seq] = content
		c.writePart(job, &c.batch)
	}
}

// sync commits, and records the parts that a crash from here on must not lose.
func (c *steppedCache) sync() {
	c.commit(&c.batch)
	c.syncs = append(c.syncs, syncPoint{steps: c.fs.Steps(), parts: c.cachedParts()})
}

// eachPart visits every part that can be read.
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

// takeRandomSteps offers copies, purges objects and groups, syncs and compacts, as draw decides.
// draw(n) returns a number from 0 to n-1.
func (c *steppedCache) takeRandomSteps(steps int, draw func(int) int) {
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
		case 4: // compacts an index that is far shorter than NeedsCompaction requires
			c.sync()
			if c.compact() == nil {
				c.sync()
			}
		default:
			c.offerAndWrite(object, int64(draw(4)), 1+draw(4000))
		}
	}
}

// violations counts the parts that break an invariant after a recovery.
type violations struct {
	torn  int // the record is torn or has the wrong body
	stale int // would be served without revalidation
	lost  int // synced before the crash, and not recovered
}

func (v *violations) add(other violations) {
	v.torn += other.torn
	v.stale += other.stale
	v.lost += other.lost
}

// checkRecovery recovers the file system that a crash after the given number of steps has left,
// and compares the recovered parts with those that c has written and synced.
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
		if recovered.servesUnvalidated(record) {
			found.stale++
		}
	})
	found.lost = c.countLost(steps, parts)
	recovered.syncs = []syncPoint{{parts: parts}}
	maps.Copy(recovered.written, c.written)
	return recovered, found
}

// readRecord reads a part's record. It returns an error unless the record is intact and has the
// wanted body.
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

// servesUnvalidated reports whether a part that was just recovered would be served without
// revalidation.
func (c *steppedCache) servesUnvalidated(record diskstore.Record) bool {
	lookup := diskcache.Request{
		ClassIndex: 0, Object: record.Object, Part: record.Part, Group: record.Group, Remaining: second,
	}
	verdict, _ := c.policy.Lookup(c.now, &lookup)
	if verdict == diskcache.VerdictRevalidate {
		c.policy.FinishRead(c.now, diskcache.Ref{}, diskcache.ReadUnused)
	}
	return verdict == diskcache.VerdictServe
}

// countLost counts the parts of the last sync within the given number of steps that were not
// recovered. Parts that the next sync dropped don't count: the crash may have come after their
// drops had reached the disk.
func (c *steppedCache) countLost(steps int, recovered partSet) (lost int) {
	for i, point := range c.syncs {
		if point.steps > steps || i+1 < len(c.syncs) && c.syncs[i+1].steps <= steps {
			continue
		}
		next := c.partsAtNextSync(i)
		for seq := range point.parts {
			if next[seq] && !recovered[seq] {
				lost++
			}
		}
	}
	return lost
}

// partsAtNextSync returns the parts that were cached at the sync after the i-th, or those
// cached now if the i-th is the last.
func (c *steppedCache) partsAtNextSync(i int) partSet {
	if i+1 < len(c.syncs) {
		return c.syncs[i+1].parts
	}
	return c.cachedParts()
}

// maxSubsetSteps is the largest number of unsynced steps of which checkCrashes tries each subset.
const maxSubsetSteps = 4

// checkCrashes checks the recovery from crashes after each step of the history. One kind of
// crash kills the process and cuts the next write at several lengths. The other is a loss of
// power that undoes unsynced steps: each subset of up to maxSubsetSteps steps, and random
// samples of more steps, which undo whole steps or single sectors of their writes.
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

// A crash after any step of a random history, by a kill of the process or a loss of power, must
// neither lose a synced part, nor leave a torn record in the index, nor have a recovered part
// served without revalidation.
func TestCrashAtEveryStepLosesNothingSyncedAndTearsNothing(t *testing.T) {
	const histories, steps = 12, 40
	states := 0
	for seed := range uint64(histories) {
		r := rand.New(rand.NewPCG(seed, 1))
		c := newSteppedCache(t, crashfs.New(), 1_000_000*second)
		c.takeRandomSteps(steps, r.IntN)
		checked, found := c.checkCrashes(t, r, 3)
		states += checked
		if found != (violations{}) {
			t.Fatalf("seed %d: %+v in %d states", seed, found, checked)
		}
	}
	t.Logf("%d states checked, 0 torn, stale or lost", states)
}

// A recovered store keeps the invariants of checkRecovery while it is used on and through
// further crashes.
func TestCrashAfterCrash(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(rt, "n") }
		r := rand.New(rand.NewPCG(uint64(draw(1<<30)), 2))
		c := newSteppedCache(t, crashfs.New(), 1_000_000*second)
		c.takeRandomSteps(15, draw)
		for range 3 {
			steps := draw(c.fs.Steps() + 1)
			fs := c.fs.AfterKill(steps, draw(800))
			if draw(2) == 0 {
				fs = c.fs.AfterPowerLoss(steps, nil, r)
			}
			recovered, found := c.checkRecovery(rt, fs, steps)
			if found != (violations{}) {
				rt.Fatalf("after a crash at step %d: %+v", steps, found)
			}
			c = recovered
			c.takeRandomSteps(10, draw)
		}
	})
}

func TestMain(m *testing.M) { testsupport.RunRapidWithFixedSeed(m) }
