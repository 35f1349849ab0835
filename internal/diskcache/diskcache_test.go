package diskcache

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"quilldoor/internal/testsupport"
)

const millisecond, start = int64(1000), 1_000_000 * second

func TestMain(m *testing.M) { testsupport.RunRapidWithFixedSeed(m) }

func small(change func(*Settings)) *Policy {
	set := Settings{
		Classes: []TrafficClass{
			{Name: "page", FreshFor: 60 * second, StaleGrace: 30 * second, LatencyObjective: second / 2, Cacheable: true},
			{Name: "video", FreshFor: 60 * second, LatencyObjective: second / 2, Cacheable: true},
			{Name: "sign", LatencyObjective: second},
		},
		SlotBytes: 1000, Slots: 200, MaxEntries: 200, WriteBytesPerSecond: 1 << 30, QueueBytes: 1 << 20, SyncInterval: second, MaxReads: 4,
		PurgeTime: 6 * second, MaxRequestTime: 2 * second, DiscoveryLossLimit: 2 * second,
	}
	if change != nil {
		change(&set)
	}
	return New(start, set)
}

func page(object string, part int64) Request {
	return Request{Object: object, Part: part, Remaining: second}
}

// put writes a copy as if it was requested so often, and tells why not.
func (p *Policy) put(now int64, a Request, slots int, wants int) Reason {
	for range wants {
		if v, _ := p.Lookup(now, &a); v != VerdictMiss {
			p.activeReads--
		}
	}
	placement, reason := p.Offer(now, &Candidate{Request: a, Issued: now / millisecond, Length: slots * p.settings.SlotBytes})
	if reason == ReasonOK {
		p.FinishWrite(placement.Ref, slots*p.settings.SlotBytes, true)
		p.TakeDrops()
		p.Synced()
	}
	return reason
}

// peek gives a verdict and ends the read at once.
func (p *Policy) peek(now int64, a Request) (Verdict, Reason) {
	v, f := p.Lookup(now, &a)
	if v != VerdictMiss {
		p.activeReads--
	}
	return v, f.Reason
}

func TestNewcomerIsAdmittedOnlyIfItOutweighsItsVictimsByBytes(t *testing.T) {
	x := small(nil)
	for i := range 30 { // 175 slots are for use; five in each, wanted three times
		x.put(start+second, page(fmt.Sprint("old", i), 0), 5, 3)
	}
	for i := range 5 {
		x.put(start+second, page(fmt.Sprint("last", i), 0), 5, 3)
	}
	if r := x.put(start+second, page("once", 0), 5, 1); r != ReasonRequestedOnce {
		t.Fatalf("wanted once: %v", r)
	}
	if r := x.put(start+second, page("equal", 0), 5, 3); r != ReasonOutweighed {
		t.Fatalf("as dear as its victim: %v", r)
	}
	// Twelve slots push out three of five that are wanted three times each.
	if r := x.put(start+second, page("large", 0), 12, 3); r != ReasonOutweighed {
		t.Fatalf("large and as dear: %v", r)
	}
	if r := x.put(start+second, page("large", 0), 12, 1); r != ReasonOK || x.Counts.Evicted != 3 {
		t.Fatalf("large and dearer: %v, %d gave way", r, x.Counts.Evicted)
	}
	if v, r := x.peek(start+second, page("old0", 0)); v != VerdictMiss || r != ReasonNotCached {
		t.Fatalf("the oldest stayed: %v", r)
	}
	if v, _ := x.peek(start+second, page("last0", 0)); v != VerdictServe {
		t.Fatal("a newer one gave way")
	}
}

// Objects requested once cost no write and evict nothing.
func TestScanOfObjectsRequestedOnceWritesNothing(t *testing.T) {
	x := small(nil)
	for i := range 30 {
		x.put(start+second, page(fmt.Sprint("video", i), 0), 5, 3)
	}
	written := x.Counts.BytesWritten
	for i := range 1500 { // under the sample's size: no reset within
		x.put(start+second+int64(i)*millisecond, page(fmt.Sprint("scan", i), 0), 5, 1)
	}
	if grown := x.Counts.BytesWritten - written; grown > written/10 { // some fall together in the sketch
		t.Fatalf("%d bytes written for objects wanted once, %d before", grown, written)
	}
	for i := range 30 {
		if v, r := x.peek(start+3*second, page(fmt.Sprint("video", i), 0)); v != VerdictServe {
			t.Fatalf("video %d: %v", i, r)
		}
	}
}

func TestVerdicts(t *testing.T) {
	a := page("x", 3)
	for name, c := range map[string]struct {
		change  func(x *Policy)
		later   int64
		verdict Verdict
		reason  Reason
	}{
		"fresh":                     {nil, 10 * second, VerdictServe, ReasonOK},
		"past fresh":                {nil, 61 * second, VerdictRevalidate, ReasonTooOld},
		"gap in discovery's events": {func(x *Policy) { x.HistoryGap(start + second) }, 2 * second, VerdictRevalidate, ReasonUnvalidated},
		"discovery just lost":       {func(x *Policy) { x.SetDiscoveryLost(start+second, true) }, 2 * second, VerdictServe, ReasonOK},
		"discovery lost":            {func(x *Policy) { x.SetDiscoveryLost(start+second, true) }, 4 * second, VerdictRevalidate, ReasonPurgesUnknown},
		"discovery restored": {
			func(x *Policy) { x.SetDiscoveryLost(start+second, true); x.SetDiscoveryLost(start+9*second, false) },
			10 * second, VerdictServe, ReasonOK,
		},
		"object purged":       {func(x *Policy) { x.Purge(start+second, "x", 0, start+second) }, 2 * second, VerdictMiss, ReasonNotCached},
		"other object purged": {func(x *Policy) { x.Purge(start+second, "y", 0, start+second) }, 2 * second, VerdictServe, ReasonOK},
		"group purged":        {func(x *Policy) { x.Purge(start+second, "", 0, start+second) }, 2 * second, VerdictMiss, ReasonPurged},
		"other group":         {func(x *Policy) { x.Purge(start+second, "", 1, start+second) }, 2 * second, VerdictServe, ReasonOK},
		"purged before":       {func(x *Policy) { x.Purge(start+second, "x", 0, start-second) }, 2 * second, VerdictServe, ReasonOK},
		"from ahead":          {nil, -5 * second, VerdictRevalidate, ReasonFromFuture},
		"link full":           {func(x *Policy) { x.bandwidth = linkModel{linkRate: 1000, busyUntil: start + 2*second} }, second, VerdictMiss, ReasonLinkBusy},
		"reads in hand":       {func(x *Policy) { x.activeReads = 4 }, second, VerdictMiss, ReasonDiskBusy},
		"off":                 {func(x *Policy) { x.HandleEvent(start, EventManyReadFailures) }, second, VerdictMiss, ReasonDiskOff},
		"writes fail":         {func(x *Policy) { x.HandleEvent(start, EventWriteFailed) }, second, VerdictServe, ReasonOK},
	} {
		x := small(nil)
		if r := x.put(start+millisecond*500, a, 2, 2); r != ReasonOK {
			t.Fatal(r)
		}
		if c.change != nil {
			c.change(x)
		}
		if v, r := x.peek(start+c.later, a); v != c.verdict || r != c.reason {
			t.Errorf("%s: verdict %v, %v; want %v, %v", name, v, r, c.verdict, c.reason)
		}
	}
	if v, r := small(nil).peek(start, Request{ClassIndex: 2, Object: "x"}); v != VerdictMiss || r != ReasonNotCacheable {
		t.Errorf("a writing rule: %v", r)
	}
	if _, r := small(nil).Offer(start, &Candidate{Request: Request{ClassIndex: 2, Object: "x"}, Issued: start / millisecond, Length: 9}); r != ReasonNotCacheable {
		t.Errorf("a writing rule's answer: %v", r)
	}
}

// A copy that an answer brings after a purge, but that was given out before it,
// is not kept; nor served, if the purge comes while it is written or read.
func TestPurgeDuringReadOrWriteForbidsTheCopy(t *testing.T) {
	a := page("x", 0)
	x := small(nil)
	x.Purge(start+second, "x", 0, start+second)
	x.Lookup(start, &a)
	x.Lookup(start, &a)
	offer := func(issued int64) (Placement, Reason) {
		return x.Offer(start+2*second, &Candidate{Request: a, Issued: issued / millisecond, Length: 100})
	}
	if _, r := offer(start + 1*second); r != ReasonPurged {
		t.Fatalf("older than the purge: %v", r)
	}
	p, r := offer(start + 1500*millisecond)
	if r != ReasonOK {
		t.Fatal(r)
	}
	x.Purge(start+2*second, "x", 0, start+2*second)
	if x.WriteNeeded(p.Ref) || x.FinishWrite(p.Ref, 100, true) {
		t.Fatal("purged while it was written, and named to the index")
	}
	x.TakeDrops()
	x.Synced()
	x.put(start+3*second, a, 1, 0)
	v, f := x.Lookup(start+3*second, &a)
	if v != VerdictServe {
		t.Fatal(f.Reason)
	}
	x.Purge(start+4*second, "", 0, start+4*second)
	if usable, _ := x.FinishRead(start+4*second, f.Ref, ReadIntact); usable || x.ReserveServe(start+4*second, f.Ref, 0, 1, false, false) {
		t.Fatal("purged while it was read, and served")
	}
}

// After a start, what caches still hold may be older than a purge of before.
func TestCopiesIssuedBeforeTheStartAreRevalidated(t *testing.T) {
	x := small(nil)
	a := page("x", 0)
	x.Lookup(start, &a)
	x.Lookup(start, &a)
	p, _ := x.Offer(start+second, &Candidate{Request: a, Issued: (start - second) / millisecond, Length: 100})
	x.FinishWrite(p.Ref, 100, true)
	if v, r := x.peek(start+second, a); v != VerdictRevalidate || r != ReasonUnvalidated {
		t.Fatalf("given out before the start: %v, %v", v, r)
	}
	x.Revalidated(start+2*second, p.Ref, (start-second)/millisecond, 100)
	if v, _ := x.peek(start+2*second, a); v != VerdictRevalidate {
		t.Fatal("a cache that may not have dropped it yet has proven it for good")
	}
	x.Revalidated(start+9*second, p.Ref, (start-second)/millisecond, 100)
	if v, r := x.peek(start+9*second, a); v != VerdictServe {
		t.Fatalf("proven by a cache that has dropped what was purged: %v", r)
	}
}

func TestRestoredPartsAreRevalidatedFirst(t *testing.T) {
	x := small(nil)
	a := page("x", 0)
	k := CachedPart{Key: x.partKey(&a), Object: x.objectKey("x"), Issued: start / millisecond, Seq: 9, Length: 1500, Extents: []Extent{{7, 2}}}
	bad := []CachedPart{
		{Length: 1500, Extents: []Extent{{7, 1}}},
		{Length: 500, Extents: []Extent{{200, 1}}},
		{Length: -1},
		{Length: 500, Extents: []Extent{{1, 1}}, ClassIndex: -1},
		{Length: 500, Extents: []Extent{{1, 1}}, ClassIndex: 2},
		{Length: 500, Extents: []Extent{{^uint32(0), 1}}},
	}
	for i := range bad {
		if x.Restore(&bad[i]) {
			t.Errorf("%+v installed", bad[i])
		}
	}
	if !x.Restore(&k) {
		t.Fatal("not installed")
	}
	twice := CachedPart{Key: 1, Length: 2500, Seq: 10, Extents: []Extent{{2, 2}, {8, 1}}}
	if x.Restore(&twice) || x.slots.freeSlots != 198 {
		t.Errorf("slots of another, %d free", x.slots.freeSlots)
	}
	x.Purge(start, "late", 0, start) // told while recovery is going on
	if x.Restore(&CachedPart{Key: 2, Object: x.objectKey("late"), Issued: start / millisecond, Length: 500, Seq: 11, Extents: []Extent{{20, 1}}}) {
		t.Error("purged, yet installed")
	}
	if v, r := x.peek(start+millisecond, a); v != VerdictRevalidate || r != ReasonUnvalidated {
		t.Fatalf("verdict %v, %v", v, r)
	}
	x.Purge(start+second, "x", 0, start+second)
	if v, _ := x.peek(start+second, a); v != VerdictMiss {
		t.Fatal("purged, yet proven")
	}
	if d := x.TakeDrops(); len(d) != len(bad)+3 || d[len(d)-1] != (Drop{k.Key, 9}) {
		t.Fatalf("drops %+v", d)
	}
}

func TestWritesKeepToTheirBudgetAndQueue(t *testing.T) {
	x := small(func(s *Settings) {
		s.WriteBytesPerSecond, s.Slots, s.MaxEntries, s.QueueBytes = 10_000, 4000, 4000, 1<<30
	})
	r := rand.New(rand.NewPCG(1, 1))
	var at []int64
	for i := range 4000 {
		now := start + int64(i)*5*millisecond
		a := page(fmt.Sprint(i), 0)
		x.Lookup(now, &a)
		x.Lookup(now, &a)
		if p, reason := x.Offer(now, &Candidate{Request: a, Issued: now / millisecond, Length: 1 + r.IntN(3000)}); reason == ReasonOK {
			for range len(p.Extents) {
				at = append(at, now)
			}
			x.FinishWrite(p.Ref, 1, true)
		}
	}
	window := func(lasts int64) (most int) {
		for i, j := 0, 0; i < len(at); i++ {
			for at[i]-at[j] >= lasts {
				j++
			}
			most = max(most, i-j+1)
		}
		return most
	}
	if n := window(second); n > 20 {
		t.Errorf("%d records of a slot or more within a second, at ten slots a second", n)
	}
	if n := window(10 * second); n > 110 || n < 20 {
		t.Errorf("%d records within ten seconds", n)
	}
	x = small(func(s *Settings) { s.QueueBytes = 3000 })
	for i := range 4 {
		a := page(fmt.Sprint(i), 0)
		x.Lookup(start, &a)
		x.Lookup(start, &a)
		if _, reason := x.Offer(start, &Candidate{Request: a, Issued: start / millisecond, Length: 10}); (reason == ReasonQueueFull) != (i == 3) {
			t.Errorf("copy %d: %v", i, reason)
		}
	}
}

func TestHealth(t *testing.T) {
	x := small(nil)
	if h, changed := x.HandleEvent(start, EventNoSpace); h != HealthFull || !changed {
		t.Fatal(h)
	}
	if r := x.put(start+second, page("x", 0), 1, 2); r != ReasonDiskOff {
		t.Fatalf("written to a full disk: %v", r)
	}
	if r := x.put(start+fullDiskRetryInterval, page("x", 0), 1, 2); r != ReasonOK {
		t.Fatalf("not tried again: %v", r)
	}
	x.HandleEvent(start, EventWriteFailed)
	if h, _ := x.HandleEvent(start, EventRetryDue); h != HealthReadOnly {
		t.Fatalf("%v: written again after a failed sync", h)
	}
	for i := range maxReadFailures {
		if h, _ := x.HandleEvent(start+int64(i)*readFailureWindow/4, EventReadFailed); h != HealthReadOnly {
			t.Fatal("off by faults far apart")
		}
	}
	changes := 0
	for range 2 * maxReadFailures {
		if _, changed := x.HandleEvent(start+10*readFailureWindow, EventReadFailed); changed {
			changes++
		}
	}
	if x.Health() != HealthOff || changes != 1 {
		t.Fatalf("%v after %d changes", x.Health(), changes)
	}
}

// After any steps no slot is in two chains, none is lost, every entry is found by its key
// and all bounds are kept.
func TestIndexAndSlotMapAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		x := small(func(s *Settings) { s.Slots, s.MaxEntries = 70, 10+draw(30) })
		now := start
		var out []Placement
		for range 60 {
			now += int64(draw(1000)) * millisecond
			a := Request{Object: fmt.Sprint(draw(20)), Part: int64(draw(2)), Group: uint8(draw(2)), Remaining: second}
			switch draw(8) {
			case 0:
				x.Purge(now, a.Object, 0, now)
			case 1:
				x.Purge(now, "", a.Group, now)
			case 2:
				x.TakeDrops()
				x.Synced()
			case 3:
				x.HistoryGap(now)
			default:
				x.peek(now, a)
				x.peek(now, a)
				if p, r := x.Offer(now, &Candidate{Request: a, Issued: now / millisecond, Length: 1 + draw(4000)}); r == ReasonOK {
					out = append(out, p)
				}
			}
			if len(out) > draw(4) {
				x.FinishWrite(out[0].Ref, 1, draw(5) > 0)
				out = out[1:]
			}
			check(t, x)
		}
	})
}

func check(t *rapid.T, x *Policy) {
	owner := map[uint32]string{}
	own := func(first uint32, who string) {
		for at := first; at != noIndex; at = x.slots.next[at] {
			if owner[at] != "" {
				t.Fatalf("slot %d of %s and %s", at, owner[at], who)
			}
			owner[at] = who
		}
	}
	live, slots := 0, 0
	for i := x.index.oldest; i != noIndex; i = x.index.at(i).newer {
		e := x.index.at(i)
		if live++; x.index.find(e.key) != i {
			t.Fatalf("entry %d is not found by its key", i)
		}
		own(e.firstSlot, fmt.Sprint("entry ", i))
		slots += x.slotsOf(i)
	}
	for _, first := range append(append([]uint32{}, x.pendingChains...), x.syncingChains...) {
		own(first, "condemned")
	}
	if live != x.index.entries || slots != x.index.usedSlots || len(owner)+x.slots.freeSlots != x.settings.Slots {
		t.Fatalf("%d of %d entries, %d of %d slots, %d owned and %d free of %d", live, x.index.entries, slots,
			x.index.usedSlots, len(owner), x.slots.freeSlots, x.settings.Slots)
	}
	if live > x.settings.MaxEntries || x.index.usedSlots > x.settings.Slots-x.reservedSlots() {
		t.Fatalf("over a bound: %d entries, %d slots", live, x.index.usedSlots)
	}
}

func TestRememberedPurgesAreBounded(t *testing.T) {
	x := small(nil)
	a := page("kept", 0)
	x.put(start+millisecond, a, 1, 2)
	for i := range 3 * maxObjectPurges {
		x.Purge(start+second, fmt.Sprint(i), 0, start+second)
	}
	if n := len(x.purges.objects); n > maxObjectPurges {
		t.Fatalf("%d purges remembered", n)
	}
	if v, _ := x.peek(start+second, a); v != VerdictMiss {
		t.Fatal("served though its purge may be among those forgotten")
	}
	x.put(start+3*second, a, 1, 0)
	if v, r := x.peek(start+3*second, a); v != VerdictServe {
		t.Fatalf("given out since: %v", r)
	}
}

func TestClockStepsAreDetected(t *testing.T) {
	var c StepDetector
	wall, steady := start, int64(0)
	for range 100 { // slewed by 500 ppm, as time servers do
		wall, steady = wall+second+500, steady+second
		if c.Stepped(wall, steady) {
			t.Fatal("slewing is no jump")
		}
	}
	for _, jump := range []int64{-second, 3600 * second, -60 * millisecond} {
		wall += jump
		if !c.Stepped(wall, steady) || c.Stepped(wall, steady) {
			t.Fatalf("a jump by %d us: not told, or twice", jump)
		}
	}
}

func TestSketch(t *testing.T) {
	k := newSketch(1000)
	r := rand.New(rand.NewPCG(1, 1))
	for range 9000 { // under the reset
		countRequest(k, r.Uint64(), 1000)
	}
	hot := uint64(77)
	for range 5 {
		countRequest(k, hot, 1000)
	}
	if n := k.Estimate(hot); n < 5 {
		t.Fatalf("estimate %d of 5: it never counts short", n)
	}
	over := 0
	for range 1000 {
		if k.Estimate(r.Uint64()) > 1 {
			over++
		}
	}
	if over > 100 {
		t.Fatalf("%d of 1000 never seen count as wanted more than once", over)
	}
	k.Halve()
	if n := k.Estimate(hot); n < 2 || n > 4 {
		t.Fatalf("%d after the reset", n)
	}
}
