package diskcache

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"quilldoor/internal/tinylfu"
)

// Policy is the state of the disk cache's decisions. Its methods must not be called
// concurrently.
type Policy struct {
	settings    Settings
	sketch      *tinylfu.Sketch
	index       *index
	slots       *slotMap
	bandwidth   linkModel
	writeBudget tokenBucket
	purges      purgeHistory
	Counts      Counts

	seq              uint64
	epoch            uint8 // of copies whose purge history has no gap
	purgesKnownSince int64 // purges made from then on are known
	discoveryLostAt  int64 // 0: discovery is reachable

	health            Health
	retryAt           int64 // on a full disk
	readFailures      int   // in the current window
	readFailuresSince int64

	queuedBytes   int64 // handed to the disk and not written yet
	activeReads   int
	pendingDrops  []Drop   // to be written to the index on disk
	pendingChains []uint32 // first slots of the parts in pendingDrops
	syncingChains []uint32 // first slots of parts whose drop is being synced
}

// Ref names a cached part. It names nothing any more once the part has given way.
type Ref struct {
	index uint32
	seq   uint64
}

// Seq is the number under which the record was written.
func (r Ref) Seq() uint64 { return r.seq }

// Drop is a part that the index on disk is to forget, by its Key and Seq as in CachedPart.
type Drop struct{ Key, Seq uint64 }

// New makes an empty, healthy disk cache. Purges made before now are not known, so that
// copies issued before now are revalidated until caches have dropped what those covered.
func New(now int64, settings Settings) *Policy {
	parts := min(settings.Slots, settings.MaxEntries)
	return &Policy{
		settings:  settings,
		sketch:    newSketch(parts),
		index:     newIndex(parts),
		slots:     newSlotMap(settings.Slots),
		bandwidth: linkModel{flowRate: settings.FlowBytesPerSecond, linkRate: settings.LinkBytesPerSecond},
		writeBudget: tokenBucket{
			rate: settings.WriteBytesPerSecond, tokens: settings.WriteBytesPerSecond, filledAt: now,
		},
		purges:           purgeHistory{objects: map[uint64]int64{}},
		epoch:            1,
		purgesKnownSince: now,
		health:           HealthOn,
	}
}

// partKey names a part. The seed keeps clients from choosing names that collide; parts
// that do are told apart by the names in their records.
func (p *Policy) partKey(request *Request) uint64 {
	digest := xxhash.NewWithSeed(p.settings.Seed)
	digest.WriteString(p.settings.Classes[request.ClassIndex].Name)
	digest.Write([]byte{0})
	digest.WriteString(request.Object)
	var suffix [9]byte
	binary.LittleEndian.PutUint64(suffix[:], uint64(request.Part))
	suffix[8] = request.Group // a client that names another group must not evade a purge of the true one
	digest.Write(suffix[:])
	return digest.Sum64()
}

func (p *Policy) objectKey(name string) uint64 {
	digest := xxhash.NewWithSeed(p.settings.Seed)
	digest.WriteString(name)
	return digest.Sum64()
}

// frequencyKey is the key under which requests are counted.
func (p *Policy) frequencyKey(part, object uint64) uint64 {
	if p.settings.Variant.EstimateWholeObject {
		return object
	}
	return part
}

// find gives the entry that a Ref names; nil: it has given way.
func (p *Policy) find(ref Ref) *entry {
	if int(ref.index) >= p.index.allocated {
		return nil
	}
	if e := p.index.at(ref.index); e.state != entryFree && e.seq == ref.seq {
		return e
	}
	return nil
}

// slotsFor is the number of slots that a record of so many bytes takes.
func (p *Policy) slotsFor(length int) int {
	return (length + p.settings.SlotBytes - 1) / p.settings.SlotBytes
}

// slotsOf is the number of slots that an entry takes.
func (p *Policy) slotsOf(i uint32) int { return p.slotsFor(int(p.index.at(i).length)) }

// Size is how full the disk cache is.
type Size struct {
	Parts, MaxParts  int
	Bytes, MaxBytes  int64 // of slots
	QueuedBytes      int64 // that wait to be written
	ActiveReads      int   // that FinishRead has not ended
	MemoryBytes      int64 // of index, slot map and sketch
	UnsyncedChains   int   // parts whose slots wait for a sync
	RememberedPurges int
}

// Size tells how full the disk cache is.
func (p *Policy) Size() Size {
	slotBytes := int64(p.settings.SlotBytes)
	return Size{
		Parts:            p.index.entries,
		MaxParts:         p.index.maxEntries,
		Bytes:            int64(p.index.usedSlots) * slotBytes,
		MaxBytes:         int64(p.settings.Slots) * slotBytes,
		QueuedBytes:      p.queuedBytes,
		ActiveReads:      p.activeReads,
		MemoryBytes:      p.memoryBytes(),
		UnsyncedChains:   len(p.pendingChains) + len(p.syncingChains),
		RememberedPurges: len(p.purges.objects),
	}
}

func (p *Policy) memoryBytes() int64 {
	const (
		bucketBytes = 8  // a place in each of the two bucket tables
		slotBits    = 33 // a 32-bit link and a bit
		bitsPerByte = 8
		entryBytes  = 64
	)
	entries := int64(len(p.index.chunks)) * chunkSize * entryBytes
	buckets := int64(p.index.mask+1) * bucketBytes
	slots := int64(p.settings.Slots) * slotBits / bitsPerByte
	sketch := int64(p.sketch.Counters()) * sketchBytesPerCounter
	return entries + buckets + slots + sketch
}

// AdvanceSeq makes the numbers (Seq) of new records follow one that was given before, such
// as the last one that recovery has found.
func (p *Policy) AdvanceSeq(last uint64) { p.seq = max(p.seq, last) }
