package diskcache

// CachedPart is a part as recorded in the index on disk.
type CachedPart struct {
	Key, Object uint64 // hashes that identify the part and its object
	Issued      int64  // when the origin issued the copy, Unix milliseconds
	Seq         uint64 // sequence number of the record; later records have higher ones
	Length      int    // bytes on disk, record header included
	ClassIndex  int    // index in Settings.Classes; negative: the class is not configured
	Group       uint8
	Extents     []Extent
}

// Restore adds a part found by recovery and replaces an earlier one with the same key.
// Purges made while the router was down are unknown, so the part must be revalidated before
// it is served. If the part can't be cached, Restore returns false, and a drop for the
// index on disk becomes pending.
func (p *Policy) Restore(part *CachedPart) bool {
	p.seq = max(p.seq, part.Seq)
	restored := entry{
		key:    part.Key,
		object: part.Object,
		issued: part.Issued,
		seq:    part.Seq,
		length: uint32(max(part.Length, 0)),
		class:  uint8(part.ClassIndex),
		group:  part.Group,
		state:  entryReadable,
	}
	if !p.restorable(part, &restored) || !p.claim(part, &restored) {
		p.pendingDrops = append(p.pendingDrops, Drop{part.Key, part.Seq})
		return false
	}
	p.index.add(restored)
	p.index.usedSlots += slotCount(part.Extents)
	return true
}

func (p *Policy) restorable(part *CachedPart, restored *entry) bool {
	return part.Length > 0 &&
		slotCount(part.Extents) == p.slotsFor(part.Length) &&
		part.ClassIndex >= 0 && p.settings.Classes[part.ClassIndex].Cacheable &&
		!p.purges.covers(restored)
}

// claim marks the part's slots as used. It first removes an earlier part with the same key,
// and returns false if the existing part is the later one.
func (p *Policy) claim(part *CachedPart, restored *entry) bool {
	if previous := p.index.find(part.Key); previous != noIndex {
		if p.index.at(previous).seq >= part.Seq {
			return false
		}
		p.removeRestored(previous)
	}
	if p.index.entries >= p.index.maxEntries {
		return false
	}
	var claimed bool
	restored.firstSlot, claimed = p.slots.claim(part.Extents)
	return claimed
}

func slotCount(extents []Extent) int {
	count := 0
	for _, extent := range extents {
		count += int(extent.Count)
	}
	return count
}

// RemoveRestored removes a restored part that a later frame of the index on disk drops.
func (p *Policy) RemoveRestored(drop Drop) {
	if i := p.index.find(drop.Key); i != noIndex && p.index.at(i).seq == drop.Seq {
		p.removeRestored(i)
	}
}

// removeRestored removes an entry and frees its slots at once, since the index on disk
// already records its drop or a later part with its key.
func (p *Policy) removeRestored(i uint32) {
	p.index.usedSlots -= p.slotsOf(i)
	p.slots.free(p.index.at(i).firstSlot)
	p.index.remove(i)
}

// Scan calls visit for the readable parts among the next chunkSize entries. The caller
// begins with from = 0 and passes the returned next until that is negative.
func (p *Policy) Scan(from int, visit func(CachedPart)) (next int) {
	to := min(from+chunkSize, p.index.allocated)
	for i := from; i < to; i++ {
		e := p.index.at(uint32(i))
		if e.state != entryReadable {
			continue
		}
		visit(CachedPart{
			Key: e.key, Object: e.object, Issued: e.issued, Seq: e.seq, Length: int(e.length),
			ClassIndex: int(e.class), Group: e.group, Extents: p.slots.extents(e.firstSlot),
		})
	}
	if to >= p.index.allocated {
		return -1
	}
	return to
}
