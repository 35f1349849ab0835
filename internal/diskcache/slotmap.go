package diskcache

import "math/bits"

// Extent is a row of adjacent slots: the number of the first one, from 0, and how many.
type Extent struct{ Start, Count uint32 }

// slotMap says which slot of the disk belongs to which record, as a file allocation
// table does: a record is a chain of slots. It takes four bytes and a bit for each slot.
// Records are never moved.
type slotMap struct {
	next       []uint32 // the next slot of a chain; noIndex: its end
	used       []uint64 // a bit for each slot: in a record, or waiting for its drop to be synced
	freeSlots  int
	searchFrom uint32 // records that are written one after another lie side by side
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
	if rest := slots % bitsPerWord; rest != 0 { // what is past the end is never free
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

// allocate makes a chain of slots; false: there are not so many.
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

// nextFree finds the first free slot from searchFrom on, going round. One must be free.
func (m *slotMap) nextFree() uint32 {
	word := int(m.searchFrom / bitsPerWord)
	below := uint64(1)<<(m.searchFrom%bitsPerWord) - 1 // slots of the first word before searchFrom
	for {
		if taken := m.used[word] | below; taken != fullWord {
			return uint32(word*bitsPerWord + bits.TrailingZeros64(^taken))
		}
		word = (word + 1) % len(m.used)
		below = 0
	}
}

// claim takes the slots of the extents that a recovered record lies in; false: one of
// them is taken or does not exist, and nothing was claimed.
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

// claimExtent tells how many slots it could claim before one that is taken.
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

// chain links the slots of the extents in their order.
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

// free frees a chain.
func (m *slotMap) free(first uint32) {
	for slot := first; slot != noIndex; slot = m.next[slot] {
		m.markFree(slot)
	}
}

// extents walks a chain.
func (m *slotMap) extents(first uint32) (list []Extent) {
	for slot := first; slot != noIndex; slot = m.next[slot] {
		last := len(list) - 1
		if last >= 0 && list[last].Start+list[last].Count == slot {
			list[last].Count++
		} else {
			list = append(list, Extent{Start: slot, Count: 1})
		}
	}
	return list
}
