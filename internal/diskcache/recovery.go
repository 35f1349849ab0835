package diskcache

// CachedPart is a part as the index on disk knows it.
type CachedPart struct {
	Key, Object uint64 // hashes of the part's name and its object's
	Issued      int64  // when the origin gave the copy out, Unix milliseconds
	Seq         uint64 // number of its record: the later record has the higher one
	Length      int    // bytes on disk, record header included
	ClassIndex  int    // place in Settings.Classes
	Group       uint8
	Extents     []Extent
}

// Restore takes a part that recovery found, in place of an earlier one of its key. What
// was purged while the router was down is unknown, so that the part has to be
// revalidated before it is served. False: it can't be cached, and the index on disk is
// told to forget it.
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

// claim takes the part's slots, and takes out an earlier part of its key.
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

// RemoveRestored takes out a restored part that a later frame of the index drops.
func (p *Policy) RemoveRestored(drop Drop) {
	if i := p.index.find(drop.Key); i != noIndex && p.index.at(i).seq == drop.Seq {
		p.removeRestored(i)
	}
}

// removeRestored frees the slots at once: the index on disk has forgotten them already.
func (p *Policy) removeRestored(i uint32) {
	p.index.usedSlots -= p.slotsOf(i)
	p.slots.free(p.index.at(i).firstSlot)
	p.index.remove(i)
}

// Scan calls visit for every part that can be read, some thousand at a time: it begins
// at 0 and goes on from what it returned, until that is negative.
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
