package diskcache

// drop takes an entry out. Its slots are free once the index on disk has forgotten it
// durably, so that nothing which the index names is overwritten.
func (p *Policy) drop(i uint32) {
	e := p.index.at(i)
	p.index.usedSlots -= p.slotsOf(i)
	if p.health == HealthOn || p.health == HealthFull { // else nothing is written any more
		p.pendingDrops = append(p.pendingDrops, Drop{e.key, e.seq})
		p.pendingChains = append(p.pendingChains, e.firstSlot)
	}
	p.index.remove(i)
}

// WriteNeeded tells whether a copy that Offer admitted is still to be written: a purge may
// have come since.
func (p *Policy) WriteNeeded(ref Ref) bool { return p.find(ref) != nil }

// FinishWrite ends what Offer began: a record of so many bytes was written, or not. A
// written one can be read from now on. False: the index on disk must not name it.
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

// TakeDrops takes what the index on disk is to forget next. It must be called after the
// last FinishWrite of a batch; Synced follows once all of that is durable.
func (p *Policy) TakeDrops() []Drop {
	drops := p.pendingDrops
	p.pendingDrops = nil
	p.syncingChains = append(p.syncingChains, p.pendingChains...)
	p.pendingChains = nil
	return drops
}

// Synced frees the slots of what TakeDrops took.
func (p *Policy) Synced() {
	for _, first := range p.syncingChains {
		p.slots.free(first)
	}
	p.syncingChains = nil
}
