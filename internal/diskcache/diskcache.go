// Package diskcache decides what a second tier of copies on disk does: what is kept,
// what gives way, where a part lies, what a purge makes unusable, what may be
// served after a restart, how much is written. It does no I/O, reads no clock
// and starts no goroutine; its caller hands in the time (Unix microseconds) and
// holds a lock around it. docs/disk-tier.md tells why it decides so.
package diskcache

import (
	"github.com/cespare/xxhash/v2"

	"quilldoor/internal/tinylfu"
)

const second = int64(1_000_000)

// TrafficClass is a remap rule as the tier needs it. Times are microseconds.
type TrafficClass struct {
	Name                      string
	FreshTime, GraceTime, SLA int64
	Cacheable                 bool // repeatable, no write, with a fresh time, and wanted by the operator
}

// Settings are the tier's figures. Sizes are bytes, times microseconds.
type Settings struct {
	Classes             []TrafficClass
	SlotBytes           int // bytes of a slot
	Slots               int // on the disk
	MaxEntries          int // parts known at the most
	WriteBytesPerSecond int64
	QueueBytes          int64 // bytes that may wait to be written
	SyncInterval        int64
	MaxReads            int // at once, waiting ones included
	FlowBytesPerSecond  int64
	LinkBytesPerSecond  int64 // the router's own; bytes a second, 0: not told
	PurgeTime           int64 // after a purge, until caches have dropped what it names
	MaxRequestTime      int64 // an answer may come so long after it was asked for
	DiscoveryLossLimit  int64 // the board lost for so long: purges may be missed
	Seed                uint64

	Variant Variant
}

// Variant holds what docs/disk-tier.md weighs by measurement. The zero value is
// what the router uses.
type Variant struct {
	AdmitAll             bool // no estimate: a plain LRU, the baseline
	AdmitOnFirstRequest  bool // write also what is wanted for the first time
	WeighByRequests      bool // victims are outweighed by their number of wants, not by wants times bytes
	AdmitOnSecondRequest bool // written from the second want on, whatever gives way
	EstimateWholeObject  bool // the estimate is that of the object, not of the part
}

// Ref names a kept part. It holds no longer once the part has given way.
type Ref struct {
	index uint32
	seq   uint64
}

// Seq is the number under which the record was written.
func (r Ref) Seq() uint64 { return r.seq }

// Request is a read txn that the tier may answer.
type Request struct {
	ClassIndex int // place in Settings.Rules
	Object     string
	Part       int64
	Group      uint8
	Remaining  int64 // until its time limit
}

// Verdict says what may be done with a part.
type Verdict uint8

// Verdicts.
const (
	VerdictMiss       Verdict = iota // the module decides as ever
	VerdictServe                     // read it and answer
	VerdictRevalidate                // read it, and ask with its tag whether it still holds
)

// Reason says why a verdict or a refusal is as it is.
type Reason uint8

// Reasons; they are the counters' names too.
const (
	ReasonOK Reason = iota
	ReasonNotCacheable
	ReasonNotCached
	ReasonNotWritten
	ReasonTooOld
	ReasonFromFuture
	ReasonUnvalidated
	ReasonPurgesUnknown
	ReasonPurged
	ReasonLinkBusy
	ReasonDiskBusy
	ReasonDiskOff
	ReasonRequestedOnce
	ReasonOutweighed
	ReasonAlreadyCached
	ReasonOverBudget
	ReasonQueueFull
	ReasonNoSlots
	ReasonTooLarge
	ReasonGone
	reasons
)

var reasonNames = [reasons]string{
	"good", "not_keepable", "not_held", "not_written", "too_old", "from_ahead", "unvouched",
	"blind", "purged", "link_busy", "disk_busy", "disk_off", "wanted_once", "outweighed", "held_already", "over_budget",
	"queue_full", "no_slots", "too_large", "gone",
}

func (r Reason) String() string { return reasonNames[r] }

// ReasonCount is how many there are.
const ReasonCount = int(reasons)

// Counts are totals since the start.
type Counts struct {
	Lookups      [reasons]int64 // by the reason of their verdict
	Offers       [reasons]int64
	Served       int64
	ServedStale  int64
	Revalidated  int64
	NotModified  int64 // served as 304
	BytesServed  int64
	BytesWritten int64 // written, heads and empty ends of slots included
	Evicted      int64
	Purged       int64
	ReadFaults   int64
	HistoryGaps  int64
}

// Tier is the state.
type Tier struct {
	set    Settings
	sketch *tinylfu.Sketch
	table  *table
	slots  *slots
	link   link
	budget budget
	purges purges
	Counts Counts

	seq    uint64
	epoch  uint8 // of copies whose history is known without a gap
	since  int64 // from then on purges are heard of
	lostAt int64 // the board is lost; 0: it is not

	health     Health
	dueAt      int64
	faults     int
	faultsFrom int64

	queued    int64 // bytes handed to the disk and not written yet
	reading   int
	dropped   []Drop   // to be written to the index
	condemned []uint32 // chains whose drop is in dropped
	syncing   []uint32 // chains whose drop is being synced
}

// Drop is a part that the disk's index is to forget.
type Drop struct{ Key, Seq uint64 }

// New makes an empty tier. It is on, but nothing is vouched for that was given
// out before now, until caches have dropped what was purged before now.
func New(now int64, set Settings) *Tier {
	items := min(set.Slots, set.MaxEntries)
	return &Tier{
		set: set, sketch: newSketch(items), table: newTable(items), slots: newSlots(set.Slots),
		link: link{flow: set.FlowBytesPerSecond, whole: set.LinkBytesPerSecond}, budget: budget{rate: set.WriteBytesPerSecond, left: set.WriteBytesPerSecond, at: now},
		purges: purges{objects: map[uint64]int64{}}, epoch: 1, since: now, health: HealthOn,
	}
}

// key names a part, object an object; the seed keeps clients from choosing names
// that fall together. Parts that do are told apart by the names in their heads.
func (t *Tier) key(a *Request) uint64 {
	d := xxhash.NewWithSeed(t.set.Seed)
	d.WriteString(t.set.Classes[a.ClassIndex].Name)
	d.Write([]byte{0})
	d.WriteString(a.Object)
	var part [9]byte
	for i := range 8 {
		part[i] = byte(a.Part >> (8 * i))
	}
	part[8] = a.Group // a client that names another group must not get round a purge of the true one
	d.Write(part[:])
	return d.Sum64()
}

func (t *Tier) object(name string) uint64 {
	d := xxhash.NewWithSeed(t.set.Seed)
	d.WriteString(name)
	return d.Sum64()
}

// weighs is the name under which wants are counted.
func (t *Tier) weighs(key, object uint64) uint64 {
	if t.set.Variant.EstimateWholeObject {
		return object
	}
	return key
}

// Lookup counts a want and says what may be done. With Serve and Prove the read
// that follows must be ended by Read, and Slots and Length tell where it lies.
func (t *Tier) Lookup(now int64, a *Request) (Verdict, LookupResult) {
	v, f := t.look(now, a)
	t.Counts.Lookups[f.Reason]++
	return v, f
}

// LookupResult is a part that may be read.
type LookupResult struct {
	Reason       Reason
	Ref          Ref
	Extents      []Extent
	Length       int
	StaleIfError bool // it may stand in where the module has no answer
}

func (t *Tier) look(now int64, a *Request) (Verdict, LookupResult) {
	rule := &t.set.Classes[a.ClassIndex]
	if !rule.Cacheable {
		return VerdictMiss, LookupResult{Reason: ReasonNotCacheable}
	}
	key, object := t.key(a), t.object(a.Object)
	countRequest(t.sketch, t.weighs(key, object), t.table.live)
	if t.health == HealthOff {
		return VerdictMiss, LookupResult{Reason: ReasonDiskOff}
	}
	i := t.table.find(key)
	if i == none {
		return VerdictMiss, LookupResult{Reason: ReasonNotCached}
	}
	e := t.table.at(i)
	t.table.touch(i)
	if t.purges.binds(e) {
		t.drop(i)
		t.Counts.Purged++
		return VerdictMiss, LookupResult{Reason: ReasonPurged}
	}
	switch {
	case e.state != kept:
		return VerdictMiss, LookupResult{Reason: ReasonNotWritten}
	case t.reading >= t.set.MaxReads:
		return VerdictMiss, LookupResult{Reason: ReasonDiskBusy}
	}
	reason := t.holds(now, e, rule)
	verdict := VerdictRevalidate
	if reason == ReasonOK {
		verdict = VerdictServe
		// On a full link the copy would come late; a cache has a link of its own.
		if over := t.link.over(now, int64(e.length)); over-now > min(rule.SLA, a.Remaining) {
			return VerdictMiss, LookupResult{Reason: ReasonLinkBusy}
		}
	}
	t.reading++
	return verdict, LookupResult{
		Reason: reason, Ref: Ref{i, e.seq}, Length: int(e.length), Extents: t.slots.runs(e.slot),
		StaleIfError: reason == ReasonTooOld && now-e.issued*1000 <= rule.FreshTime+rule.GraceTime,
	}
}

// holds says whether a copy may be served as it is. A copy from ahead of the
// clock has an age that nobody knows.
func (t *Tier) holds(now int64, e *entry, rule *TrafficClass) Reason {
	const ahead = 1 * second // clocks of one installation agree better
	age := now - e.issued*1000
	switch {
	case e.epoch != t.epoch:
		return ReasonUnvalidated
	case t.blind(now):
		return ReasonPurgesUnknown
	case age < -ahead:
		return ReasonFromFuture
	case age > rule.FreshTime:
		return ReasonTooOld
	}
	return ReasonOK
}

func (t *Tier) blind(now int64) bool {
	return t.lostAt != 0 && now-t.lostAt >= t.set.DiscoveryLossLimit
}

// ReadOutcome is how a read ended.
type ReadOutcome uint8

// Ends of reads.
const (
	ReadIntact  ReadOutcome = iota // whole, and what the Ref names
	ReadCorrupt                    // torn, flipped, cut or not to be read
	ReadUnused                     // no room for it, or of another name by the same hash
)

// FinishRead ends a read that Look allowed. It tells whether the copy may still be
// used (meanwhile a purge may have come, or the part given way), and the state
// of health if a fault has changed that.
func (t *Tier) FinishRead(now int64, ref Ref, end ReadOutcome) (usable, changed bool) {
	t.reading--
	e := t.entry(ref)
	if e == nil || t.purges.binds(e) || end == ReadUnused {
		return false, false
	}
	if end == ReadCorrupt {
		t.drop(ref.index)
		_, changed = t.HandleEvent(now, EventReadFailed)
		return false, changed
	}
	return true, false
}

func (t *Tier) entry(ref Ref) *entry {
	if int(ref.index) >= t.table.used {
		return nil
	}
	if e := t.table.at(ref.index); e.state != vacant && e.seq == ref.seq {
		return e
	}
	return nil
}

// ReserveServe tells, at the moment an answer is to be written, whether a copy may
// be served as it is (or, with standIn, in place of no answer), and takes the
// link's time for it. Bytes are the body's; a 304 takes a twentieth.
func (t *Tier) ReserveServe(now int64, ref Ref, rule int, bytes int64, same, standIn bool) bool {
	e := t.entry(ref)
	if e == nil || t.purges.binds(e) {
		return false
	}
	r := &t.set.Classes[rule]
	reason := t.holds(now, e, r)
	if reason != ReasonOK && !(standIn && reason == ReasonTooOld && now-e.issued*1000 <= r.FreshTime+r.GraceTime) {
		return false
	}
	t.Counts.Served++
	if standIn {
		t.Counts.ServedStale++
	}
	t.sent(now, bytes, same)
	return true
}

func (t *Tier) sent(now, bytes int64, same bool) {
	if same {
		t.Counts.NotModified++
		bytes /= 20
	}
	t.Counts.BytesServed += bytes
	t.link.take(now, bytes)
}

// Revalidated says that a cache server has found the copy's tag to be that of the
// copy which it would serve, given out by the origin at issued (milliseconds):
// the same bytes, so the same copy. Bytes are those sent to the client from here.
func (t *Tier) Revalidated(now int64, ref Ref, issued int64, bytes int64) {
	t.Counts.Revalidated++
	t.sent(now, bytes, false)
	e := t.entry(ref)
	if e == nil {
		return
	}
	e.issued = max(e.issued, issued)
	if t.vouched(now, issued) {
		// A copy that a cache gave out under an older issue is no worse than ours.
		e.issued, e.epoch = issued, t.epoch
	}
}

// vouched tells whether all purges that can bind a copy given out at issued, and
// had from a cache now, are known or done: either it was given out since purges
// are heard of, or caches have dropped what was purged before.
func (t *Tier) vouched(now, issued int64) bool {
	return !t.blind(now) && (issued*1000 > t.since+purgeSkew || now >= t.since+t.set.PurgeTime+t.set.MaxRequestTime)
}

// Candidate is a part that a txn was completed with.
type Candidate struct {
	Request
	Issued int64 // Unix milliseconds
	Length int   // bytes on disk, head included
}

// Placement is where the copy is to be written.
type Placement struct {
	Ref     Ref
	Key     uint64
	Object  uint64
	Extents []Extent
}

// Offer decides whether a copy is written. With Good it must be, and Written
// tells how it went.
func (t *Tier) Offer(now int64, c *Candidate) (Placement, Reason) {
	p, reason := t.offer(now, c)
	t.Counts.Offers[reason]++
	return p, reason
}

func (t *Tier) offer(now int64, c *Candidate) (Placement, Reason) {
	rule := &t.set.Classes[c.ClassIndex]
	key, object := t.key(&c.Request), t.object(c.Object)
	e := entry{
		key: key, object: object, issued: c.Issued, length: uint32(c.Length), rule: uint8(c.ClassIndex),
		group: c.Group, state: writing,
	}
	need := (c.Length + t.set.SlotBytes - 1) / t.set.SlotBytes
	size := int64(need * t.set.SlotBytes)
	switch {
	case !rule.Cacheable:
		return Placement{}, ReasonNotCacheable
	case t.health == HealthFull && now >= t.dueAt:
		t.HandleEvent(now, EventRetryDue)
	}
	switch {
	case t.health != HealthOn:
		return Placement{}, ReasonDiskOff
	case need > t.set.Slots/leastParts || c.Length <= 0:
		return Placement{}, ReasonTooLarge
	case t.purges.binds(&e):
		return Placement{}, ReasonPurged
	case now-c.Issued*1000 > rule.FreshTime+rule.GraceTime:
		return Placement{}, ReasonTooOld
	}
	old := t.table.find(key)
	if old != none {
		switch o := t.table.at(old); {
		case o.state == writing || t.holds(now, o, rule) == ReasonOK || o.issued >= c.Issued && o.epoch == t.epoch:
			return Placement{}, ReasonAlreadyCached
		}
	}
	wants := t.sketch.Estimate(t.weighs(key, object))
	switch {
	case wants < 2 && !t.set.Variant.AdmitOnFirstRequest && !t.set.Variant.AdmitAll:
		return Placement{}, ReasonRequestedOnce
	case !t.budget.has(now, size):
		return Placement{}, ReasonOverBudget
	case t.queued+size > t.set.QueueBytes:
		return Placement{}, ReasonQueueFull
	}
	victims, ok := t.outweighs(wants, need, old)
	switch {
	case !ok:
		return Placement{}, ReasonOutweighed
	case t.slots.free < need:
		return Placement{}, ReasonNoSlots // all that was freed waits for the next sync
	}
	for _, v := range victims {
		t.drop(v)
		t.Counts.Evicted++
	}
	if old != none {
		t.drop(old)
	}
	e.slot, _ = t.slots.take(need)
	t.seq++
	if e.seq = t.seq; t.vouched(now, c.Issued) {
		e.epoch = t.epoch
	}
	i := t.table.add(e)
	t.table.liveSlot += need
	t.budget.left -= size
	t.queued += size
	return Placement{Ref: Ref{i, e.seq}, Key: key, Object: object, Extents: t.slots.runs(e.slot)}, ReasonOK
}

// leastParts is how many of the largest record the disk holds at the least.
const leastParts = 16

// outweighs names what gives way to a newcomer of so many wants and slots: from
// the oldest on, as many as it needs room for. It is let in only where its wants
// times its bytes beat those of all of them together: the paper's comparison
// with the victim, by bytes. The old entry gives way in any case.
func (t *Tier) outweighs(wants uint64, need int, old uint32) (victims []uint32, ok bool) {
	const victimsMost = 64 // a newcomer that would push out more is no gain worth the search
	room := t.set.Slots - t.reserve() - t.table.liveSlot
	full := t.table.live >= t.table.most
	if old != none {
		room += t.chain(old)
		full = false
	}
	own, theirs := wants*uint64(need), uint64(0)
	if t.set.Variant.WeighByRequests {
		own = wants
	}
	for i := t.table.oldest; room < need || full; i = t.table.at(i).newer {
		if i == none || len(victims) >= victimsMost {
			return nil, false
		}
		e := t.table.at(i)
		if i == old || e.state == writing {
			continue
		}
		size := t.chain(i)
		victims, room, full = append(victims, i), room+size, false
		if t.purges.binds(e) || t.set.Variant.AdmitAll || t.set.Variant.AdmitOnSecondRequest {
			continue // it weighs nothing
		}
		w := t.sketch.Estimate(t.weighs(e.key, e.object))
		if !t.set.Variant.WeighByRequests {
			w *= uint64(size)
		}
		if theirs += w; theirs >= own {
			return nil, false
		}
	}
	return victims, true
}

// chain is the number of slots that an entry takes.
func (t *Tier) chain(i uint32) int {
	return (int(t.table.at(i).length) + t.set.SlotBytes - 1) / t.set.SlotBytes
}

// reserve is what stays free for what is freed and waits for its drop to be
// synced: all that can be written in two rounds of syncs.
func (t *Tier) reserve() int {
	bytes := t.set.WriteBytesPerSecond * (2*t.set.SyncInterval + second) / second
	return min(int(bytes/int64(t.set.SlotBytes))+1, t.set.Slots/8)
}

// drop takes an entry out. Its slots are free once the index has forgotten it
// for good, so that what the index names was never written over.
func (t *Tier) drop(i uint32) {
	e := t.table.at(i)
	t.table.liveSlot -= t.chain(i)
	if t.health == HealthOn || t.health == HealthFull {
		t.dropped = append(t.dropped, Drop{e.key, e.seq})
		t.condemned = append(t.condemned, e.slot)
	} // else nothing is written any more, and no slot is taken again
	t.table.remove(i)
}

// WriteNeeded tells whether a copy that Offer took is still to be written: a purge
// may have come since.
func (t *Tier) WriteNeeded(ref Ref) bool { return t.entry(ref) != nil }

// FinishWrite ends what Offer began: a copy of so many bytes was written, or not. It
// can be read from now on. False: the index must not name it.
func (t *Tier) FinishWrite(ref Ref, length int, ok bool) bool {
	size := int64((length + t.set.SlotBytes - 1) / t.set.SlotBytes * t.set.SlotBytes)
	t.queued -= size
	if ok {
		t.Counts.BytesWritten += size
	}
	e := t.entry(ref)
	switch {
	case e == nil:
		return false
	case !ok:
		t.drop(ref.index)
		return false
	}
	e.state = kept
	return true
}

// TakeDrops takes what the index is to forget next. It must be asked after the last
// Written of a batch; Synced follows once all of that is on the disk.
func (t *Tier) TakeDrops() []Drop {
	d := t.dropped
	t.dropped = nil
	t.syncing = append(t.syncing, t.condemned...)
	t.condemned = nil
	return d
}

// Synced frees the slots of what Drops took.
func (t *Tier) Synced() {
	for _, first := range t.syncing {
		t.slots.give(first)
	}
	t.syncing = nil
}

// CachedPart is a part as the index on the disk knows it.
type CachedPart struct {
	Key, Object uint64
	Issued      int64
	Seq         uint64
	Length      int
	ClassIndex  int // place in Settings.Rules
	Group       uint8
	Extents     []Extent
}

// Restore takes a part that recovery found, in place of an earlier one of its key.
// Nobody knows what was purged while the router was down, so that it has to be
// proven before it is served. False: it can't be kept, and the index is told to
// forget it.
func (t *Tier) Restore(k *CachedPart) bool {
	t.seq = max(t.seq, k.Seq)
	n := 0
	for _, r := range k.Extents {
		n += int(r.Count)
	}
	e := entry{
		key: k.Key, object: k.Object, issued: k.Issued, seq: k.Seq, length: uint32(max(k.Length, 0)),
		rule: uint8(k.ClassIndex), group: k.Group, state: kept,
	}
	ok := k.Length > 0 && n == (k.Length+t.set.SlotBytes-1)/t.set.SlotBytes && k.ClassIndex >= 0 && t.set.Classes[k.ClassIndex].Cacheable &&
		!t.purges.binds(&e)
	if old := t.table.find(k.Key); ok && old != none {
		if ok = t.table.at(old).seq < k.Seq; ok {
			t.uninstall(old)
		}
	}
	if ok = ok && t.table.live < t.table.most; ok {
		e.slot, ok = t.slots.claim(k.Extents)
	}
	if !ok {
		t.dropped = append(t.dropped, Drop{k.Key, k.Seq})
		return false
	}
	t.table.add(e)
	t.table.liveSlot += n
	return true
}

// RemoveRestored takes out a part that was installed and that the index tells to drop
// further on.
func (t *Tier) RemoveRestored(d Drop) {
	if i := t.table.find(d.Key); i != none && t.table.at(i).seq == d.Seq {
		t.uninstall(i)
	}
}

// uninstall frees the slots at once: the index has forgotten them already.
func (t *Tier) uninstall(i uint32) {
	t.table.liveSlot -= t.chain(i)
	t.slots.give(t.table.at(i).slot)
	t.table.remove(i)
}

// Scan tells of every part that can be read, some thousand at a time: it begins
// at 0 and goes on from what it returned, until that is negative.
func (t *Tier) Scan(from int, tell func(CachedPart)) (next int) {
	to := min(from+chunkSize, t.table.used)
	for i := from; i < to; i++ {
		if e := t.table.at(uint32(i)); e.state == kept {
			tell(CachedPart{e.key, e.object, e.issued, e.seq, int(e.length), int(e.rule), e.group, t.slots.runs(e.slot)})
		}
	}
	if to >= t.table.used {
		return -1
	}
	return to
}

// Size is how full the tier is.
type Size struct {
	Parts, MaxParts                  int
	Bytes, MaxBytes                  int64 // of slots
	QueuedBytes                      int64
	ActiveReads                      int
	MemoryBytes                      int64 // bytes of table, slots and sketch
	UnsyncedChains, RememberedPurges int   // chains that wait for a sync, purges remembered
}

// Size tells how full the tier is.
func (t *Tier) Size() Size {
	buckets, width := int64(t.table.mask+1), int64(t.sketch.Counters())
	return Size{
		Parts: t.table.live, MaxParts: t.table.most, Bytes: int64(t.table.liveSlot) * int64(t.set.SlotBytes),
		MaxBytes: int64(t.set.Slots) * int64(t.set.SlotBytes), QueuedBytes: t.queued, ActiveReads: t.reading,
		MemoryBytes:    int64(len(t.table.chunks))*chunkSize*64 + buckets*8 + int64(t.set.Slots)*33/8 + width*sketchBytesPerCounter,
		UnsyncedChains: len(t.condemned) + len(t.syncing), RememberedPurges: len(t.purges.objects),
	}
}

// AdvanceSeq makes the numbers of new records go on behind one that was given before.
func (t *Tier) AdvanceSeq(top uint64) { t.seq = max(t.seq, top) }
