package diskcache

// drop removes an entry. Its slots become free only when its drop is durable in the index
// on disk, so that no slot that this index refers to is overwritten.
func (p *Policy) drop(i uint32) {
	e := p.index.at(i)
	p.index.usedSlots -= p.slotsOf(i)
	if p.health == HealthOn || p.health == HealthFull { // otherwise writing has stopped
		p.pendingDrops = append(p.pendingDrops, Drop{e.key, e.seq})
		p.pendingChains = append(p.pendingChains, e.firstSlot)
	}
	p.index.remove(i)
}

// WriteNeeded reports whether a copy that Offer admitted is still to be written. A purge
// may have removed it since.
func (p *Policy) WriteNeeded(ref Ref) bool { return p.find(ref) != nil }

// FinishWrite ends the write of a copy that Offer admitted. Length is that of its
// Candidate, and written says whether the record was written. It reports whether the
// record is readable from now on; if not, the index on disk must not refer to it.
func (p *Policy) FinishWrite(ref Ref, length int, written bool) bool {
	bytes := int64(p.slotsFor(length) * p.settings.SlotBytes)
	p.queuedBytes -= bytes
	if written {
		p.Counts.BytesWritten += bytes
	}
	e := p.find(ref)
	if e == nil {
		return false
	}
	if !written {
		p.drop(ref.index)
		return false
	}
	e.state = entryReadable
	return true
}

// TakeDrops returns the drops to be written to the index on disk next. It must be called
// after the last FinishWrite of a batch. Synced must follow once the batch is durable.
func (p *Policy) TakeDrops() []Drop {
	drops := p.pendingDrops
	p.pendingDrops = nil
	p.syncingChains = append(p.syncingChains, p.pendingChains...)
	p.pendingChains = nil
	return drops
}

// Synced frees the slots of the parts whose drops TakeDrops returned.
func (p *Policy) Synced() {
	for _, first := range p.syncingChains {
		p.slots.free(first)
	}
	p.syncingChains = nil
}
