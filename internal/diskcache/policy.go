package diskcache

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"quilldoor/internal/tinylfu"
)

// Policy makes the decisions of the disk cache and holds their state. Its methods must
// not be called concurrently.
type Policy struct {
	settings    Settings
	sketch      *tinylfu.Sketch
	index       *index
	slots       *slotMap
	bandwidth   linkModel
	writeBudget tokenBucket
	purges      purgeHistory
	Counts      Counts

	seq              uint64 // of the last record
	epoch            uint8  // carried by entries whose purge history has no gap
	purgesKnownSince int64  // all purges made from then on are known
	discoveryLostAt  int64  // 0: discovery is reachable

	health            Health
	retryAt           int64 // when writes to a full disk are retried
	readFailures      int   // in the current window
	readFailuresSince int64 // start of the window

	queuedBytes   int64 // of admitted records whose write has not ended
	activeReads   int
	pendingDrops  []Drop   // to be written to the index on disk
	pendingChains []uint32 // first slots of the parts in pendingDrops
	syncingChains []uint32 // first slots of parts whose drop is being synced
}

// Ref identifies a cached part. It becomes invalid when the part is removed.
type Ref struct {
	index uint32
	seq   uint64
}

// Seq returns the sequence number that the record was written under.
func (r Ref) Seq() uint64 { return r.seq }

// Drop is the removal of a part from the index on disk. Key and Seq are those of its
// CachedPart.
type Drop struct{ Key, Seq uint64 }

// New returns an empty, healthy disk cache. Purges made before now are unknown: copies
// issued before now are revalidated until caches have dropped the copies that those
// purges cover.
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

// partKey returns the hash that identifies a part. The seed keeps clients from choosing
// names whose hashes collide. Parts whose hashes still collide are told apart by the
// names in their records.
func (p *Policy) partKey(request *Request) uint64 {
	digest := xxhash.NewWithSeed(p.settings.Seed)
	digest.WriteString(p.settings.Classes[request.ClassIndex].Name)
	digest.Write([]byte{0})
	digest.WriteString(request.Object)
	var suffix [9]byte
	binary.LittleEndian.PutUint64(suffix[:], uint64(request.Part))
	suffix[8] = request.Group // a client that sends a wrong group must not evade a purge of the right one
	digest.Write(suffix[:])
	return digest.Sum64()
}

func (p *Policy) objectKey(name string) uint64 {
	digest := xxhash.NewWithSeed(p.settings.Seed)
	digest.WriteString(name)
	return digest.Sum64()
}

// frequencyKey returns the key under which the sketch counts requests.
func (p *Policy) frequencyKey(part, object uint64) uint64 {
	if p.settings.Variant.EstimateWholeObject {
		return object
	}
	return part
}

// find returns the entry that a Ref identifies, or nil if it was removed.
func (p *Policy) find(ref Ref) *entry {
	if int(ref.index) >= p.index.allocated {
		return nil
	}
	if e := p.index.at(ref.index); e.state != entryFree && e.seq == ref.seq {
		return e
	}
	return nil
}

// slotsFor returns the number of slots that a record of length bytes takes.
func (p *Policy) slotsFor(length int) int {
	return (length + p.settings.SlotBytes - 1) / p.settings.SlotBytes
}

// slotsOf returns the number of slots that entry i takes.
func (p *Policy) slotsOf(i uint32) int { return p.slotsFor(int(p.index.at(i).length)) }

// Size is the use of the disk cache's space, queues and memory.
type Size struct {
	Parts, MaxParts  int
	Bytes, MaxBytes  int64 // of slots
	QueuedBytes      int64 // waiting to be written
	ActiveReads      int   // not yet ended by FinishRead
	MemoryBytes      int64 // of index, slot map and sketch
	UnsyncedChains   int   // dropped parts whose slots wait for a sync
	RememberedPurges int   // of single objects
}

// Size returns the current use of space, queues and memory.
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
		bucketBytes = 8  // a 32-bit index in each of the two bucket tables
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

// AdvanceSeq makes new records use sequence numbers above last, such as the highest one
// found by recovery.
func (p *Policy) AdvanceSeq(last uint64) { p.seq = max(p.seq, last) }
