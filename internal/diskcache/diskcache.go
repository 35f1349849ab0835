// Package diskcache decides what a second tier of copies on disk does: what is kept,
// what gives way, where a part lies, what a purge makes unusable, what may be
// served after a restart, how much is written. It does no I/O, reads no clock
// and starts no goroutine; its caller hands in the time (Unix microseconds) and
// holds a lock around it. docs/disk-tier.md tells why it decides so.
package diskcache

import (
	"github.com/cespare/xxhash/v2"
)

const second = int64(1_000_000)

// Rule is a remap rule as the tier needs it. Times are microseconds.
type Rule struct {
	Name              string
	Fresh, Grace, SLA int64
	Keep              bool // repeatable, no write, with a fresh time, and wanted by the operator
}

// Settings are the tier's figures. Sizes are bytes, times microseconds.
type Settings struct {
	Rules     []Rule
	Slot      int // bytes of a slot
	Slots     int // on the disk
	Entries   int // parts known at the most
	WritePerS int64
	Queue     int64 // bytes that may wait to be written
	SyncEvery int64
	Reads     int // at once, waiting ones included
	Flow      int64
	Link      int64 // the router's own; bytes a second, 0: not told
	Cleared   int64 // after a purge, until caches have dropped what it names
	LongestTx int64 // an answer may come so long after it was asked for
	BlindFrom int64 // the board lost for so long: purges may be missed
	Seed      uint64

	Choice Choice
}

// Choice holds what docs/disk-tier.md weighs by measurement. The zero value is
// what the router uses.
type Choice struct {
	AdmitAll  bool // no estimate: a plain LRU, the baseline
	Once      bool // write also what is wanted for the first time
	CountEach bool // victims are outweighed by their number of wants, not by wants times bytes
	NoVictims bool // written from the second want on, whatever gives way
	Whole     bool // the estimate is that of the object, not of the part
}

// Ref names a kept part. It holds no longer once the part has given way.
type Ref struct {
	index uint32
	seq   uint64
}

// Seq is the number under which the record was written.
func (r Ref) Seq() uint64 { return r.seq }

// Ask is a read txn that the tier may answer.
type Ask struct {
	Rule   int // place in Settings.Rules
	Object string
	Part   int64
	Group  uint8
	Left   int64 // until its time limit
}

// Verdict says what may be done with a part.
type Verdict uint8

// Verdicts.
const (
	Miss  Verdict = iota // the module decides as ever
	Serve                // read it and answer
	Prove                // read it, and ask with its tag whether it still holds
)

// Reason says why a verdict or a refusal is as it is.
type Reason uint8

// Reasons; they are the counters' names too.
const (
	Good Reason = iota
	NotKeepable
	NotHeld
	NotWritten
	TooOld
	FromAhead
	Unvouched
	Blind
	Purged
	LinkBusy
	DiskBusy
	DiskOff
	WantedOnce
	Outweighed
	HeldAlready
	OverBudget
	QueueFull
	NoSlots
	TooLarge
	Gone
	reasons
)

var reasonNames = [reasons]string{"good", "not_keepable", "not_held", "not_written", "too_old", "from_ahead", "unvouched",
	"blind", "purged", "link_busy", "disk_busy", "disk_off", "wanted_once", "outweighed", "held_already", "over_budget",
	"queue_full", "no_slots", "too_large", "gone"}

func (r Reason) String() string { return reasonNames[r] }

// Reasons is how many there are.
const Reasons = int(reasons)

// Counts are totals since the start.
type Counts struct {
	Looks      [reasons]int64 // by the reason of their verdict
	Offers     [reasons]int64
	Served     int64
	StoodIn    int64
	Proven     int64
	Same       int64 // served as 304
	BytesOut   int64
	BytesIn    int64 // written, heads and empty ends of slots included
	Evicted    int64
	PurgedOut  int64
	ReadFaults int64
	Gaps       int64
}

// Tier is the state.
type Tier struct {
	set    Settings
	sketch *sketch
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
	items := min(set.Slots, set.Entries)
	return &Tier{set: set, sketch: newSketch(items), table: newTable(items), slots: newSlots(set.Slots),
		link: link{flow: set.Flow, whole: set.Link}, budget: budget{rate: set.WritePerS, left: set.WritePerS, at: now},
		purges: purges{objects: map[uint64]int64{}}, epoch: 1, since: now, health: On}
}

// key names a part, object an object; the seed keeps clients from choosing names
// that fall together. Parts that do are told apart by the names in their heads.
func (t *Tier) key(a *Ask) uint64 {
	d := xxhash.NewWithSeed(t.set.Seed)
	d.WriteString(t.set.Rules[a.Rule].Name)
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
	if t.set.Choice.Whole {
		return object
	}
	return key
}

// Look counts a want and says what may be done. With Serve and Prove the read
// that follows must be ended by Read, and Slots and Length tell where it lies.
func (t *Tier) Look(now int64, a *Ask) (Verdict, Found) {
	v, f := t.look(now, a)
	t.Counts.Looks[f.Reason]++
	return v, f
}

// Found is a part that may be read.
type Found struct {
	Reason  Reason
	Ref     Ref
	Runs    []Run
	Length  int
	StandIn bool // it may stand in where the module has no answer
}

func (t *Tier) look(now int64, a *Ask) (Verdict, Found) {
	rule := &t.set.Rules[a.Rule]
	if !rule.Keep {
		return Miss, Found{Reason: NotKeepable}
	}
	key, object := t.key(a), t.object(a.Object)
	t.sketch.count(t.weighs(key, object), t.table.live)
	if t.health == Off {
		return Miss, Found{Reason: DiskOff}
	}
	i := t.table.find(key)
	if i == none {
		return Miss, Found{Reason: NotHeld}
	}
	e := t.table.at(i)
	t.table.touch(i)
	if t.purges.binds(e) {
		t.drop(i)
		t.Counts.PurgedOut++
		return Miss, Found{Reason: Purged}
	}
	switch {
	case e.state != kept:
		return Miss, Found{Reason: NotWritten}
	case t.reading >= t.set.Reads:
		return Miss, Found{Reason: DiskBusy}
	}
	reason := t.holds(now, e, rule)
	verdict := Prove
	if reason == Good {
		verdict = Serve
		// On a full link the copy would come late; a cache has a link of its own.
		if over := t.link.over(now, int64(e.length)); over-now > min(rule.SLA, a.Left) {
			return Miss, Found{Reason: LinkBusy}
		}
	}
	t.reading++
	return verdict, Found{Reason: reason, Ref: Ref{i, e.seq}, Length: int(e.length), Runs: t.slots.runs(e.slot),
		StandIn: reason == TooOld && now-e.issued*1000 <= rule.Fresh+rule.Grace}
}

// holds says whether a copy may be served as it is. A copy from ahead of the
// clock has an age that nobody knows.
func (t *Tier) holds(now int64, e *entry, rule *Rule) Reason {
	const ahead = 1 * second // clocks of one installation agree better
	age := now - e.issued*1000
	switch {
	case e.epoch != t.epoch:
		return Unvouched
	case t.blind(now):
		return Blind
	case age < -ahead:
		return FromAhead
	case age > rule.Fresh:
		return TooOld
	}
	return Good
}

func (t *Tier) blind(now int64) bool { return t.lostAt != 0 && now-t.lostAt >= t.set.BlindFrom }

// ReadEnd is how a read ended.
type ReadEnd uint8

// Ends of reads.
const (
	Sound   ReadEnd = iota // whole, and what the Ref names
	Unsound                // torn, flipped, cut or not to be read
	Unused                 // no room for it, or of another name by the same hash
)

// Read ends a read that Look allowed. It tells whether the copy may still be
// used (meanwhile a purge may have come, or the part given way), and the state
// of health if a fault has changed that.
func (t *Tier) Read(now int64, ref Ref, end ReadEnd) (usable, changed bool) {
	t.reading--
	e := t.entry(ref)
	if e == nil || t.purges.binds(e) || end == Unused {
		return false, false
	}
	if end == Unsound {
		t.drop(ref.index)
		_, changed = t.Fault(now, ReadFault)
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

// StillServe tells, at the moment an answer is to be written, whether a copy may
// be served as it is (or, with standIn, in place of no answer), and takes the
// link's time for it. Bytes are the body's; a 304 takes a twentieth.
func (t *Tier) StillServe(now int64, ref Ref, rule int, bytes int64, same, standIn bool) bool {
	e := t.entry(ref)
	if e == nil || t.purges.binds(e) {
		return false
	}
	r := &t.set.Rules[rule]
	reason := t.holds(now, e, r)
	if reason != Good && !(standIn && reason == TooOld && now-e.issued*1000 <= r.Fresh+r.Grace) {
		return false
	}
	t.Counts.Served++
	if standIn {
		t.Counts.StoodIn++
	}
	t.sent(now, bytes, same)
	return true
}

func (t *Tier) sent(now, bytes int64, same bool) {
	if same {
		t.Counts.Same++
		bytes /= 20
	}
	t.Counts.BytesOut += bytes
	t.link.take(now, bytes)
}

// Proven says that a cache server has found the copy's tag to be that of the
// copy which it would serve, given out by the origin at issued (milliseconds):
// the same bytes, so the same copy. Bytes are those sent to the client from here.
func (t *Tier) Proven(now int64, ref Ref, issued int64, bytes int64) {
	t.Counts.Proven++
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
	return !t.blind(now) && (issued*1000 > t.since+purgeSkew || now >= t.since+t.set.Cleared+t.set.LongestTx)
}

// Copy is a part that a txn was completed with.
type Copy struct {
	Ask
	Issued int64 // Unix milliseconds
	Length int   // bytes on disk, head included
}

// Place is where the copy is to be written.
type Place struct {
	Ref    Ref
	Key    uint64
	Object uint64
	Runs   []Run
}

// Offer decides whether a copy is written. With Good it must be, and Written
// tells how it went.
func (t *Tier) Offer(now int64, c *Copy) (Place, Reason) {
	p, reason := t.offer(now, c)
	t.Counts.Offers[reason]++
	return p, reason
}

func (t *Tier) offer(now int64, c *Copy) (Place, Reason) {
	rule := &t.set.Rules[c.Rule]
	key, object := t.key(&c.Ask), t.object(c.Object)
	e := entry{key: key, object: object, issued: c.Issued, length: uint32(c.Length), rule: uint8(c.Rule),
		group: c.Group, state: writing}
	need := (c.Length + t.set.Slot - 1) / t.set.Slot
	size := int64(need * t.set.Slot)
	switch {
	case !rule.Keep:
		return Place{}, NotKeepable
	case t.health == Full && now >= t.dueAt:
		t.Fault(now, Due)
	}
	switch {
	case t.health != On:
		return Place{}, DiskOff
	case need > t.set.Slots/leastParts || c.Length <= 0:
		return Place{}, TooLarge
	case t.purges.binds(&e):
		return Place{}, Purged
	case now-c.Issued*1000 > rule.Fresh+rule.Grace:
		return Place{}, TooOld
	}
	old := t.table.find(key)
	if old != none {
		switch o := t.table.at(old); {
		case o.state == writing || t.holds(now, o, rule) == Good || o.issued >= c.Issued && o.epoch == t.epoch:
			return Place{}, HeldAlready
		}
	}
	wants := t.sketch.estimate(t.weighs(key, object))
	switch {
	case wants < 2 && !t.set.Choice.Once && !t.set.Choice.AdmitAll:
		return Place{}, WantedOnce
	case !t.budget.has(now, size):
		return Place{}, OverBudget
	case t.queued+size > t.set.Queue:
		return Place{}, QueueFull
	}
	victims, ok := t.outweighs(wants, need, old)
	switch {
	case !ok:
		return Place{}, Outweighed
	case t.slots.free < need:
		return Place{}, NoSlots // all that was freed waits for the next sync
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
	return Place{Ref: Ref{i, e.seq}, Key: key, Object: object, Runs: t.slots.runs(e.slot)}, Good
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
	if t.set.Choice.CountEach {
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
		if t.purges.binds(e) || t.set.Choice.AdmitAll || t.set.Choice.NoVictims {
			continue // it weighs nothing
		}
		w := t.sketch.estimate(t.weighs(e.key, e.object))
		if !t.set.Choice.CountEach {
			w *= uint64(size)
		}
		if theirs += w; theirs >= own {
			return nil, false
		}
	}
	return victims, true
}

// chain is the number of slots that an entry takes.
func (t *Tier) chain(i uint32) int { return (int(t.table.at(i).length) + t.set.Slot - 1) / t.set.Slot }

// reserve is what stays free for what is freed and waits for its drop to be
// synced: all that can be written in two rounds of syncs.
func (t *Tier) reserve() int {
	bytes := t.set.WritePerS * (2*t.set.SyncEvery + second) / second
	return min(int(bytes/int64(t.set.Slot))+1, t.set.Slots/8)
}

// drop takes an entry out. Its slots are free once the index has forgotten it
// for good, so that what the index names was never written over.
func (t *Tier) drop(i uint32) {
	e := t.table.at(i)
	t.table.liveSlot -= t.chain(i)
	if t.health == On || t.health == Full {
		t.dropped = append(t.dropped, Drop{e.key, e.seq})
		t.condemned = append(t.condemned, e.slot)
	} // else nothing is written any more, and no slot is taken again
	t.table.remove(i)
}

// Wanted tells whether a copy that Offer took is still to be written: a purge
// may have come since.
func (t *Tier) Wanted(ref Ref) bool { return t.entry(ref) != nil }

// Written ends what Offer began: a copy of so many bytes was written, or not. It
// can be read from now on. False: the index must not name it.
func (t *Tier) Written(ref Ref, length int, ok bool) bool {
	size := int64((length + t.set.Slot - 1) / t.set.Slot * t.set.Slot)
	t.queued -= size
	if ok {
		t.Counts.BytesIn += size
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

// Drops takes what the index is to forget next. It must be asked after the last
// Written of a batch; Synced follows once all of that is on the disk.
func (t *Tier) Drops() []Drop {
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

// Kept is a part as the index on the disk knows it.
type Kept struct {
	Key, Object uint64
	Issued      int64
	Seq         uint64
	Length      int
	Rule        int // place in Settings.Rules
	Group       uint8
	Runs        []Run
}

// Install takes a part that recovery found, in place of an earlier one of its key.
// Nobody knows what was purged while the router was down, so that it has to be
// proven before it is served. False: it can't be kept, and the index is told to
// forget it.
func (t *Tier) Install(k *Kept) bool {
	t.seq = max(t.seq, k.Seq)
	n := 0
	for _, r := range k.Runs {
		n += int(r.Count)
	}
	e := entry{key: k.Key, object: k.Object, issued: k.Issued, seq: k.Seq, length: uint32(max(k.Length, 0)),
		rule: uint8(k.Rule), group: k.Group, state: kept}
	ok := k.Length > 0 && n == (k.Length+t.set.Slot-1)/t.set.Slot && k.Rule >= 0 && t.set.Rules[k.Rule].Keep &&
		!t.purges.binds(&e)
	if old := t.table.find(k.Key); ok && old != none {
		if ok = t.table.at(old).seq < k.Seq; ok {
			t.uninstall(old)
		}
	}
	if ok = ok && t.table.live < t.table.most; ok {
		e.slot, ok = t.slots.claim(k.Runs)
	}
	if !ok {
		t.dropped = append(t.dropped, Drop{k.Key, k.Seq})
		return false
	}
	t.table.add(e)
	t.table.liveSlot += n
	return true
}

// Uninstall takes out a part that was installed and that the index tells to drop
// further on.
func (t *Tier) Uninstall(d Drop) {
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

// Each tells of every part that can be read, some thousand at a time: it begins
// at 0 and goes on from what it returned, until that is negative.
func (t *Tier) Each(from int, tell func(Kept)) (next int) {
	to := min(from+chunkSize, t.table.used)
	for i := from; i < to; i++ {
		if e := t.table.at(uint32(i)); e.state == kept {
			tell(Kept{e.key, e.object, e.issued, e.seq, int(e.length), int(e.rule), e.group, t.slots.runs(e.slot)})
		}
	}
	if to >= t.table.used {
		return -1
	}
	return to
}

// Size is how full the tier is.
type Size struct {
	Parts, PartsMost   int
	Bytes, BytesMost   int64 // of slots
	Queued             int64
	Reading            int
	Memory             int64 // bytes of table, slots and sketch
	Unsynced, Remember int   // chains that wait for a sync, purges remembered
}

// Size tells how full the tier is.
func (t *Tier) Size() Size {
	buckets, width := int64(t.table.mask+1), int64(t.sketch.mask+1)
	return Size{Parts: t.table.live, PartsMost: t.table.most, Bytes: int64(t.table.liveSlot) * int64(t.set.Slot),
		BytesMost: int64(t.set.Slots) * int64(t.set.Slot), Queued: t.queued, Reading: t.reading,
		Memory:   int64(len(t.table.chunks))*chunkSize*64 + buckets*8 + int64(t.set.Slots)*33/8 + width*4,
		Unsynced: len(t.condemned) + len(t.syncing), Remember: len(t.purges.objects)}
}

// Skip makes the numbers of new records go on behind one that was given before.
func (t *Tier) Skip(top uint64) { t.seq = max(t.seq, top) }
