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

// newSmallPolicy returns a Policy of 200 slots. A non-nil change adjusts its settings.
func newSmallPolicy(change func(*Settings)) *Policy {
	settings := Settings{
		Classes: []TrafficClass{
			{Name: "page", FreshFor: 60 * second, StaleGrace: 30 * second, LatencyObjective: second / 2, Cacheable: true},
			{Name: "video", FreshFor: 60 * second, LatencyObjective: second / 2, Cacheable: true},
			{Name: "sign", LatencyObjective: second},
		},
		SlotBytes: 1000, Slots: 200, MaxEntries: 200, WriteBytesPerSecond: 1 << 30, QueueBytes: 1 << 20, SyncInterval: second, MaxReads: 4,
		PurgeTime: 6 * second, MaxRequestTime: 2 * second, DiscoveryLossLimit: 2 * second,
	}
	if change != nil {
		change(&settings)
	}
	return New(start, settings)
}

func pageRequest(object string, part int64) Request {
	return Request{Object: object, Part: part, Remaining: second}
}

// put looks a part up the given number of times and offers a copy of it. An admitted copy
// is written and synced. put returns the reason of the offer.
func (p *Policy) put(now int64, request Request, slots int, lookups int) Reason {
	for range lookups {
		if verdict, _ := p.Lookup(now, &request); verdict != VerdictMiss {
			p.activeReads--
		}
	}
	placement, reason := p.Offer(now, &Candidate{Request: request, Issued: now / millisecond, Length: slots * p.settings.SlotBytes})
	if reason == ReasonOK {
		p.FinishWrite(placement.Ref, slots*p.settings.SlotBytes, true)
		p.TakeDrops()
		p.Synced()
	}
	return reason
}

// peek looks a part up and ends the read at once.
func (p *Policy) peek(now int64, request Request) (Verdict, Reason) {
	verdict, result := p.Lookup(now, &request)
	if verdict != VerdictMiss {
		p.activeReads--
	}
	return verdict, result.Reason
}

func TestNewcomerIsAdmittedOnlyIfItOutweighsItsVictimsByBytes(t *testing.T) {
	policy := newSmallPolicy(nil)
	for i := range 30 { // 175 slots are usable: 35 parts of five slots, requested three times each
		policy.put(start+second, pageRequest(fmt.Sprint("old", i), 0), 5, 3)
	}
	for i := range 5 {
		policy.put(start+second, pageRequest(fmt.Sprint("last", i), 0), 5, 3)
	}
	if reason := policy.put(start+second, pageRequest("once", 0), 5, 1); reason != ReasonRequestedOnce {
		t.Fatalf("requested once: %v", reason)
	}
	if reason := policy.put(start+second, pageRequest("equal", 0), 5, 3); reason != ReasonOutweighed {
		t.Fatalf("same weight as its victim: %v", reason)
	}
	// Twelve slots evict three parts of five slots that were requested three times each.
	if reason := policy.put(start+second, pageRequest("large", 0), 12, 3); reason != ReasonOutweighed {
		t.Fatalf("large, requested as often as its victims: %v", reason)
	}
	if reason := policy.put(start+second, pageRequest("large", 0), 12, 1); reason != ReasonOK || policy.Counts.Evicted != 3 {
		t.Fatalf("large, requested more often than its victims: %v, %d evicted", reason, policy.Counts.Evicted)
	}
	if verdict, reason := policy.peek(start+second, pageRequest("old0", 0)); verdict != VerdictMiss || reason != ReasonNotCached {
		t.Fatalf("the least recently used part is still cached: %v", reason)
	}
	if verdict, _ := policy.peek(start+second, pageRequest("last0", 0)); verdict != VerdictServe {
		t.Fatal("a recently used part was evicted")
	}
}

// A scan of objects that are requested once must not cost writes or evict cached parts.
func TestScanOfObjectsRequestedOnceWritesNothing(t *testing.T) {
	policy := newSmallPolicy(nil)
	for i := range 30 {
		policy.put(start+second, pageRequest(fmt.Sprint("video", i), 0), 5, 3)
	}
	written := policy.Counts.BytesWritten
	for i := range 1500 { // fewer than the sample period, so that the sketch is not halved
		policy.put(start+second+int64(i)*millisecond, pageRequest(fmt.Sprint("scan", i), 0), 5, 1)
	}
	if grown := policy.Counts.BytesWritten - written; grown > written/10 { // some objects collide in the sketch
		t.Fatalf("%d bytes written for objects requested once, %d before", grown, written)
	}
	for i := range 30 {
		if verdict, reason := policy.peek(start+3*second, pageRequest(fmt.Sprint("video", i), 0)); verdict != VerdictServe {
			t.Fatalf("video %d: %v", i, reason)
		}
	}
}

func TestVerdicts(t *testing.T) {
	request := pageRequest("x", 3)
	for name, test := range map[string]struct {
		change  func(policy *Policy)
		later   int64
		verdict Verdict
		reason  Reason
	}{
		"fresh":                     {nil, 10 * second, VerdictServe, ReasonOK},
		"past fresh time":           {nil, 61 * second, VerdictRevalidate, ReasonTooOld},
		"gap in discovery's events": {func(policy *Policy) { policy.HistoryGap(start + second) }, 2 * second, VerdictRevalidate, ReasonUnvalidated},
		"discovery just lost":       {func(policy *Policy) { policy.SetDiscoveryLost(start+second, true) }, 2 * second, VerdictServe, ReasonOK},
		"discovery lost":            {func(policy *Policy) { policy.SetDiscoveryLost(start+second, true) }, 4 * second, VerdictRevalidate, ReasonPurgesUnknown},
		"discovery restored": {
			func(policy *Policy) {
				policy.SetDiscoveryLost(start+second, true)
				policy.SetDiscoveryLost(start+9*second, false)
			},
			10 * second, VerdictServe, ReasonOK,
		},
		"object purged":             {func(policy *Policy) { policy.Purge(start+second, "x", 0, start+second) }, 2 * second, VerdictMiss, ReasonNotCached},
		"other object purged":       {func(policy *Policy) { policy.Purge(start+second, "y", 0, start+second) }, 2 * second, VerdictServe, ReasonOK},
		"group purged":              {func(policy *Policy) { policy.Purge(start+second, "", 0, start+second) }, 2 * second, VerdictMiss, ReasonPurged},
		"other group purged":        {func(policy *Policy) { policy.Purge(start+second, "", 1, start+second) }, 2 * second, VerdictServe, ReasonOK},
		"purged before its issue":   {func(policy *Policy) { policy.Purge(start+second, "x", 0, start-second) }, 2 * second, VerdictServe, ReasonOK},
		"issued ahead of the clock": {nil, -5 * second, VerdictRevalidate, ReasonFromFuture},
		"link saturated": {
			func(policy *Policy) { policy.bandwidth = linkModel{linkRate: 1000, busyUntil: start + 2*second} },
			second, VerdictMiss, ReasonLinkBusy,
		},
		"as many reads as allowed": {func(policy *Policy) { policy.activeReads = 4 }, second, VerdictMiss, ReasonDiskBusy},
		"disk off":                 {func(policy *Policy) { policy.HandleEvent(start, EventManyReadFailures) }, second, VerdictMiss, ReasonDiskOff},
		"writes fail":              {func(policy *Policy) { policy.HandleEvent(start, EventWriteFailed) }, second, VerdictServe, ReasonOK},
	} {
		policy := newSmallPolicy(nil)
		if reason := policy.put(start+millisecond*500, request, 2, 2); reason != ReasonOK {
			t.Fatal(reason)
		}
		if test.change != nil {
			test.change(policy)
		}
		if verdict, reason := policy.peek(start+test.later, request); verdict != test.verdict || reason != test.reason {
			t.Errorf("%s: verdict %v, %v; want %v, %v", name, verdict, reason, test.verdict, test.reason)
		}
	}
	if verdict, reason := newSmallPolicy(nil).peek(start, Request{ClassIndex: 2, Object: "x"}); verdict != VerdictMiss || reason != ReasonNotCacheable {
		t.Errorf("lookup in a class that is not cacheable: %v", reason)
	}
	if _, reason := newSmallPolicy(nil).Offer(start, &Candidate{Request: Request{ClassIndex: 2, Object: "x"}, Issued: start / millisecond, Length: 9}); reason != ReasonNotCacheable {
		t.Errorf("offer in a class that is not cacheable: %v", reason)
	}
}

// A copy that was issued before a purge must not be cached if it arrives after the purge. A
// copy must not be served if the purge arrives during its write or read.
func TestPurgeDuringReadOrWriteForbidsTheCopy(t *testing.T) {
	request := pageRequest("x", 0)
	policy := newSmallPolicy(nil)
	policy.Purge(start+second, "x", 0, start+second)
	policy.Lookup(start, &request)
	policy.Lookup(start, &request)
	offer := func(issued int64) (Placement, Reason) {
		return policy.Offer(start+2*second, &Candidate{Request: request, Issued: issued / millisecond, Length: 100})
	}
	if _, reason := offer(start + 1*second); reason != ReasonPurged {
		t.Fatalf("issued before the purge: %v", reason)
	}
	placement, reason := offer(start + 1500*millisecond)
	if reason != ReasonOK {
		t.Fatal(reason)
	}
	policy.Purge(start+2*second, "x", 0, start+2*second)
	if policy.WriteNeeded(placement.Ref) || policy.FinishWrite(placement.Ref, 100, true) {
		t.Fatal("a copy purged during its write is still to be written or indexed")
	}
	policy.TakeDrops()
	policy.Synced()
	policy.put(start+3*second, request, 1, 0)
	verdict, result := policy.Lookup(start+3*second, &request)
	if verdict != VerdictServe {
		t.Fatal(result.Reason)
	}
	policy.Purge(start+4*second, "", 0, start+4*second)
	if usable, _ := policy.FinishRead(start+4*second, result.Ref, ReadIntact); usable || policy.ReserveServe(start+4*second, result.Ref, 0, 1, false, false) {
		t.Fatal("a copy purged during its read may still be served")
	}
}

// After a start, copies held by caches may be covered by purges made before the start. They
// are revalidated until caches have dropped all such copies.
func TestCopiesIssuedBeforeTheStartAreRevalidated(t *testing.T) {
	policy := newSmallPolicy(nil)
	request := pageRequest("x", 0)
	policy.Lookup(start, &request)
	policy.Lookup(start, &request)
	placement, _ := policy.Offer(start+second, &Candidate{Request: request, Issued: (start - second) / millisecond, Length: 100})
	policy.FinishWrite(placement.Ref, 100, true)
	if verdict, reason := policy.peek(start+second, request); verdict != VerdictRevalidate || reason != ReasonUnvalidated {
		t.Fatalf("issued before the start: %v, %v", verdict, reason)
	}
	policy.Revalidated(start+2*second, placement.Ref, (start-second)/millisecond, 100)
	if verdict, _ := policy.peek(start+2*second, request); verdict != VerdictRevalidate {
		t.Fatal("served after revalidation by a cache that may still hold purged copies")
	}
	policy.Revalidated(start+9*second, placement.Ref, (start-second)/millisecond, 100)
	if verdict, reason := policy.peek(start+9*second, request); verdict != VerdictServe {
		t.Fatalf("revalidated by a cache that has dropped all purged copies: %v", reason)
	}
}

func TestRestoredPartsAreRevalidatedFirst(t *testing.T) {
	policy := newSmallPolicy(nil)
	request := pageRequest("x", 0)
	restored := CachedPart{
		Key: policy.partKey(&request), Object: policy.objectKey("x"), Issued: start / millisecond,
		Seq: 9, Length: 1500, Extents: []Extent{{7, 2}},
	}
	invalid := []CachedPart{
		{Length: 1500, Extents: []Extent{{7, 1}}},
		{Length: 500, Extents: []Extent{{200, 1}}},
		{Length: -1},
		{Length: 500, Extents: []Extent{{1, 1}}, ClassIndex: -1},
		{Length: 500, Extents: []Extent{{1, 1}}, ClassIndex: 2},
		{Length: 500, Extents: []Extent{{^uint32(0), 1}}},
	}
	for i := range invalid {
		if policy.Restore(&invalid[i]) {
			t.Errorf("invalid part %+v was restored", invalid[i])
		}
	}
	if !policy.Restore(&restored) {
		t.Fatalf("part %+v was not restored", restored)
	}
	overlapping := CachedPart{Key: 1, Length: 2500, Seq: 10, Extents: []Extent{{2, 2}, {8, 1}}}
	if policy.Restore(&overlapping) || policy.slots.freeSlots != 198 {
		t.Errorf("part with a slot of another part: restored, or slots not released (%d free, want 198)", policy.slots.freeSlots)
	}
	policy.Purge(start, "late", 0, start) // a purge received during recovery
	if policy.Restore(&CachedPart{
		Key: 2, Object: policy.objectKey("late"), Issued: start / millisecond, Length: 500, Seq: 11, Extents: []Extent{{20, 1}},
	}) {
		t.Error("a purged part was restored")
	}
	if verdict, reason := policy.peek(start+millisecond, request); verdict != VerdictRevalidate || reason != ReasonUnvalidated {
		t.Fatalf("verdict %v, %v", verdict, reason)
	}
	policy.Purge(start+second, "x", 0, start+second)
	if verdict, _ := policy.peek(start+second, request); verdict != VerdictMiss {
		t.Fatal("a restored part is still offered for revalidation after its purge")
	}
	if drops := policy.TakeDrops(); len(drops) != len(invalid)+3 || drops[len(drops)-1] != (Drop{restored.Key, 9}) {
		t.Fatalf("drops %+v", drops)
	}
}

func TestWritesKeepToTheirBudgetAndQueue(t *testing.T) {
	policy := newSmallPolicy(func(s *Settings) {
		s.WriteBytesPerSecond, s.Slots, s.MaxEntries, s.QueueBytes = 10_000, 4000, 4000, 1<<30
	})
	random := rand.New(rand.NewPCG(1, 1))
	var writeTimes []int64 // one for each extent
	for i := range 4000 {
		now := start + int64(i)*5*millisecond
		request := pageRequest(fmt.Sprint(i), 0)
		policy.Lookup(now, &request)
		policy.Lookup(now, &request)
		if placement, reason := policy.Offer(now, &Candidate{Request: request, Issued: now / millisecond, Length: 1 + random.IntN(3000)}); reason == ReasonOK {
			for range len(placement.Extents) {
				writeTimes = append(writeTimes, now)
			}
			policy.FinishWrite(placement.Ref, 1, true)
		}
	}
	maxWithin := func(duration int64) (most int) {
		for i, j := 0, 0; i < len(writeTimes); i++ {
			for writeTimes[i]-writeTimes[j] >= duration {
				j++
			}
			most = max(most, i-j+1)
		}
		return most
	}
	if n := maxWithin(second); n > 20 {
		t.Errorf("%d extents of a slot or more written within a second, at ten slots per second", n)
	}
	if n := maxWithin(10 * second); n > 110 || n < 20 {
		t.Errorf("%d extents written within ten seconds, at ten slots per second", n)
	}
	policy = newSmallPolicy(func(s *Settings) { s.QueueBytes = 3000 })
	for i := range 4 {
		request := pageRequest(fmt.Sprint(i), 0)
		policy.Lookup(start, &request)
		policy.Lookup(start, &request)
		if _, reason := policy.Offer(start, &Candidate{Request: request, Issued: start / millisecond, Length: 10}); (reason == ReasonQueueFull) != (i == 3) {
			t.Errorf("copy %d of one slot, with a queue of three: %v", i, reason)
		}
	}
}

func TestHealth(t *testing.T) {
	policy := newSmallPolicy(nil)
	if health, changed := policy.HandleEvent(start, EventNoSpace); health != HealthFull || !changed {
		t.Fatal(health)
	}
	if reason := policy.put(start+second, pageRequest("x", 0), 1, 2); reason != ReasonDiskOff {
		t.Fatalf("offer with a full disk: %v", reason)
	}
	if reason := policy.put(start+fullDiskRetryInterval, pageRequest("x", 0), 1, 2); reason != ReasonOK {
		t.Fatalf("writes to a full disk were not retried: %v", reason)
	}
	policy.HandleEvent(start, EventWriteFailed)
	if health, _ := policy.HandleEvent(start, EventRetryDue); health != HealthReadOnly {
		t.Fatalf("%v: writes were retried after a failed sync", health)
	}
	for i := range maxReadFailures {
		if health, _ := policy.HandleEvent(start+int64(i)*readFailureWindow/4, EventReadFailed); health != HealthReadOnly {
			t.Fatalf("%v after read failures spread over several windows", health)
		}
	}
	changes := 0
	for range 2 * maxReadFailures {
		if _, changed := policy.HandleEvent(start+10*readFailureWindow, EventReadFailed); changed {
			changes++
		}
	}
	if policy.Health() != HealthOff || changes != 1 {
		t.Fatalf("%v after %d changes", policy.Health(), changes)
	}
}

// After any sequence of operations each slot is either free or in exactly one chain, every
// entry is found by its key and all bounds are kept.
func TestIndexAndSlotMapAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }
		policy := newSmallPolicy(func(s *Settings) { s.Slots, s.MaxEntries = 70, 10+draw(30) })
		now := start
		var writing []Placement
		for range 60 {
			now += int64(draw(1000)) * millisecond
			request := Request{Object: fmt.Sprint(draw(20)), Part: int64(draw(2)), Group: uint8(draw(2)), Remaining: second}
			switch draw(8) {
			case 0:
				policy.Purge(now, request.Object, 0, now)
			case 1:
				policy.Purge(now, "", request.Group, now)
			case 2:
				policy.TakeDrops()
				policy.Synced()
			case 3:
				policy.HistoryGap(now)
			default:
				policy.peek(now, request)
				policy.peek(now, request)
				if placement, reason := policy.Offer(now, &Candidate{Request: request, Issued: now / millisecond, Length: 1 + draw(4000)}); reason == ReasonOK {
					writing = append(writing, placement)
				}
			}
			if len(writing) > draw(4) {
				policy.FinishWrite(writing[0].Ref, 1, draw(5) > 0)
				writing = writing[1:]
			}
			checkInvariants(t, policy)
		}
	})
}

func checkInvariants(t *rapid.T, policy *Policy) {
	owners := map[uint32]string{} // by slot
	addChain := func(first uint32, owner string) {
		for slot := first; slot != noIndex; slot = policy.slots.next[slot] {
			if owners[slot] != "" {
				t.Fatalf("slot %d belongs to %s and %s", slot, owners[slot], owner)
			}
			owners[slot] = owner
		}
	}
	entries, slots := 0, 0
	for i := policy.index.oldest; i != noIndex; i = policy.index.at(i).newer {
		e := policy.index.at(i)
		if entries++; policy.index.find(e.key) != i {
			t.Fatalf("entry %d is not found by its key", i)
		}
		addChain(e.firstSlot, fmt.Sprint("entry ", i))
		slots += policy.slotsOf(i)
	}
	for _, first := range append(append([]uint32{}, policy.pendingChains...), policy.syncingChains...) {
		addChain(first, "a dropped part")
	}
	if entries != policy.index.entries || slots != policy.index.usedSlots || len(owners)+policy.slots.freeSlots != policy.settings.Slots {
		t.Fatalf("%d entries in the list and %d counted, %d slots in chains and %d counted, %d slots owned and %d free of %d",
			entries, policy.index.entries, slots, policy.index.usedSlots, len(owners), policy.slots.freeSlots, policy.settings.Slots)
	}
	if entries > policy.settings.MaxEntries || policy.index.usedSlots > policy.settings.Slots-policy.reservedSlots() {
		t.Fatalf("bound exceeded: %d entries, %d slots", entries, policy.index.usedSlots)
	}
}

func TestRememberedPurgesAreBounded(t *testing.T) {
	policy := newSmallPolicy(nil)
	request := pageRequest("kept", 0)
	policy.put(start+millisecond, request, 1, 2)
	for i := range 3 * maxObjectPurges {
		policy.Purge(start+second, fmt.Sprint(i), 0, start+second)
	}
	if n := len(policy.purges.objects); n > maxObjectPurges {
		t.Fatalf("%d purges remembered, want %d at most", n, maxObjectPurges)
	}
	if verdict, _ := policy.peek(start+second, request); verdict != VerdictMiss {
		t.Fatal("served although a purge that is no longer remembered may cover it")
	}
	policy.put(start+3*second, request, 1, 0)
	if verdict, reason := policy.peek(start+3*second, request); verdict != VerdictServe {
		t.Fatalf("issued after the purges: %v", reason)
	}
}

func TestClockStepsAreDetected(t *testing.T) {
	var detector StepDetector
	wall, monotonic := start, int64(0)
	for range 100 { // slewed by 500 ppm, as time servers do
		wall, monotonic = wall+second+500, monotonic+second
		if detector.Stepped(wall, monotonic) {
			t.Fatal("slewing was reported as a step")
		}
	}
	for _, step := range []int64{-second, 3600 * second, -60 * millisecond} {
		wall += step
		if !detector.Stepped(wall, monotonic) || detector.Stepped(wall, monotonic) {
			t.Fatalf("a step of %d us was not reported exactly once", step)
		}
	}
}

func TestSketch(t *testing.T) {
	sketch := newSketch(1000)
	random := rand.New(rand.NewPCG(1, 1))
	for range 9000 { // fewer than the sample period, so that the sketch is not halved
		countRequest(sketch, random.Uint64(), 1000)
	}
	hot := uint64(77)
	for range 5 {
		countRequest(sketch, hot, 1000)
	}
	if n := sketch.Estimate(hot); n < 5 {
		t.Fatalf("estimate %d of 5 requests: it must never be too low", n)
	}
	overestimated := 0
	for range 1000 {
		if sketch.Estimate(random.Uint64()) > 1 {
			overestimated++
		}
	}
	if overestimated > 100 {
		t.Fatalf("%d of 1000 keys never seen are estimated at more than one request", overestimated)
	}
	sketch.Halve()
	if n := sketch.Estimate(hot); n < 2 || n > 4 {
		t.Fatalf("estimate %d after halving 5 requests", n)
	}
}
