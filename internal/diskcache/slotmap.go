package diskcache

import "math/bits"

// Extent is a run of Count adjacent slots that begins at slot Start. Slots are numbered
// from 0.
type Extent struct{ Start, Count uint32 }

// slotMap allocates the slots of the disk to records, as a file allocation table does: a
// record is a chain of slots. It takes four bytes and a bit for each slot. Records are
// never moved.
type slotMap struct {
	next       []uint32 // next slot of the chain; noIndex: end of the chain
	used       []uint64 // a bit for each slot: it belongs to a record, or to a dropped one whose drop is not synced
	freeSlots  int
	searchFrom uint32 // last allocated slot: records written in succession become adjacent
}

const (
	noIndex     = ^uint32(0)
	bitsPerWord = 64
	fullWord    = ^uint64(0)
)

func newSlotMap(slots int) *slotMap {
	m := &slotMap{
		next:      make([]uint32, slots),
		used:      make([]uint64, (slots+bitsPerWord-1)/bitsPerWord),
		freeSlots: slots,
	}
	if rest := slots % bitsPerWord; rest != 0 { // bits past the last slot count as used
		m.used[slots/bitsPerWord] = fullWord << rest
	}
	return m
}

func (m *slotMap) isUsed(slot uint32) bool {
	return m.used[slot/bitsPerWord]>>(slot%bitsPerWord)&1 == 1
}

func (m *slotMap) markUsed(slot uint32) {
	m.used[slot/bitsPerWord] |= 1 << (slot % bitsPerWord)
	m.freeSlots--
}

func (m *slotMap) markFree(slot uint32) {
	m.used[slot/bitsPerWord] &^= 1 << (slot % bitsPerWord)
	m.freeSlots++
}

// allocate returns the first slot of a new chain of count slots. It returns false if fewer
// slots are free.
func (m *slotMap) allocate(count int) (first uint32, ok bool) {
	if count <= 0 || count > m.freeSlots {
		return noIndex, false
	}
	first, last := noIndex, noIndex
	for range count {
		slot := m.nextFree()
		m.markUsed(slot)
		if last == noIndex {
			first = slot
		} else {
			m.next[last] = slot
		}
		m.next[slot] = noIndex
		last = slot
		m.searchFrom = slot
	}
	return first, true
}

// nextFree returns the first free slot from searchFrom on, wrapping around at the end. At
// least one slot must be free.
func (m *slotMap) nextFree() uint32 {
	word := int(m.searchFrom / bitsPerWord)
	skipped := uint64(1)<<(m.searchFrom%bitsPerWord) - 1 // slots before searchFrom in its word
	for {
		if unavailable := m.used[word] | skipped; unavailable != fullWord {
			return uint32(word*bitsPerWord + bits.TrailingZeros64(^unavailable))
		}
		word = (word + 1) % len(m.used)
		skipped = 0
	}
}

// claim marks the extents of a recovered record as used and chains them. If a slot is in
// use or does not exist, it claims nothing and returns false.
func (m *slotMap) claim(extents []Extent) (first uint32, ok bool) {
	if len(extents) == 0 {
		return noIndex, false
	}
	for i, extent := range extents {
		claimed, ok := m.claimExtent(extent)
		if !ok {
			m.release(extents[:i])
			m.release([]Extent{{extent.Start, claimed}})
			return noIndex, false
		}
	}
	m.chain(extents)
	return extents[0].Start, true
}

// claimExtent marks the slots of an extent as used and stops at a slot in use. It returns
// the number of slots that it marked and whether these are all.
func (m *slotMap) claimExtent(extent Extent) (claimed uint32, ok bool) {
	if extent.Count == 0 || uint64(extent.Start)+uint64(extent.Count) > uint64(len(m.next)) {
		return 0, false
	}
	for slot := extent.Start; slot < extent.Start+extent.Count; slot++ {
		if m.isUsed(slot) {
			return slot - extent.Start, false
		}
		m.markUsed(slot)
	}
	return extent.Count, true
}

// chain links the slots of the extents in order.
func (m *slotMap) chain(extents []Extent) {
	last := noIndex
	for _, extent := range extents {
		for slot := extent.Start; slot < extent.Start+extent.Count; slot++ {
			if last != noIndex {
				m.next[last] = slot
			}
			m.next[slot] = noIndex
			last = slot
		}
	}
}

func (m *slotMap) release(extents []Extent) {
	for _, extent := range extents {
		for slot := extent.Start; slot < extent.Start+extent.Count; slot++ {
			m.markFree(slot)
		}
	}
}

// free marks all slots of a chain as free.
func (m *slotMap) free(first uint32) {
	for slot := first; slot != noIndex; slot = m.next[slot] {
		m.markFree(slot)
	}
}

// extents returns the slots of a chain as extents.
func (m *slotMap) extents(first uint32) (extents []Extent) {
	for slot := first; slot != noIndex; slot = m.next[slot] {
		last := len(extents) - 1
		if last >= 0 && extents[last].Start+extents[last].Count == slot {
			extents[last].Count++
		} else {
			extents = append(extents, Extent{Start: slot, Count: 1})
		}
	}
	return extents
}
