package diskcache

// Candidate is a part received in answer to a request, which may be written to disk.
type Candidate struct {
	Request
	Issued int64 // when the origin issued the copy, Unix milliseconds
	Length int   // bytes on disk, record header included
}

// Placement says where on disk an admitted copy is to be written.
type Placement struct {
	Ref     Ref
	Key     uint64   // hash that identifies the part
	Object  uint64   // hash that identifies the object
	Extents []Extent // in the order in which the record fills them
}

// minLargestRecords is the number of records of the largest size that fit on the disk.
const minLargestRecords = 16

// Offer decides whether a copy is written. With ReasonOK the caller must write the copy,
// unless WriteNeeded returns false by then, and must call FinishWrite in either case.
func (p *Policy) Offer(now int64, candidate *Candidate) (Placement, Reason) {
	placement, reason := p.offer(now, candidate)
	p.Counts.Offers[reason]++
	return placement, reason
}

func (p *Policy) offer(now int64, candidate *Candidate) (Placement, Reason) {
	class := &p.settings.Classes[candidate.ClassIndex]
	if !class.Cacheable {
		return Placement{}, ReasonNotCacheable
	}
	newEntry := p.entryFor(candidate)
	slots := p.slotsFor(candidate.Length)
	p.retryFullDisk(now)
	if reason := p.checkCopy(now, &newEntry, class, slots); reason != ReasonOK {
		return Placement{}, reason
	}
	previous := p.index.find(newEntry.key)
	if previous != noIndex && p.cachedCopySuffices(now, &newEntry, p.index.at(previous), class) {
		return Placement{}, ReasonAlreadyCached
	}
	requests := p.sketch.Estimate(p.frequencyKey(newEntry.key, newEntry.object))
	if reason := p.checkWriteLimits(now, requests, slots); reason != ReasonOK {
		return Placement{}, reason
	}
	victims, admitted := p.chooseVictims(requests, slots, previous)
	switch {
	case !admitted:
		return Placement{}, ReasonOutweighed
	case p.slots.freeSlots < slots:
		return Placement{}, ReasonNoSlots
	}
	p.evict(victims, previous)
	return p.place(now, &newEntry, slots), ReasonOK
}

func (p *Policy) entryFor(candidate *Candidate) entry {
	return entry{
		key:    p.partKey(&candidate.Request),
		object: p.objectKey(candidate.Object),
		issued: candidate.Issued,
		length: uint32(candidate.Length),
		class:  uint8(candidate.ClassIndex),
		group:  candidate.Group,
		state:  entryWriting,
	}
}

// checkCopy checks the disk's health and the size, purges and age of the copy.
func (p *Policy) checkCopy(now int64, newEntry *entry, class *TrafficClass, slots int) Reason {
	switch {
	case p.health != HealthOn:
		return ReasonDiskOff
	case slots > p.settings.Slots/minLargestRecords || slots <= 0:
		return ReasonTooLarge
	case p.purges.covers(newEntry):
		return ReasonPurged
	case !withinGrace(now, newEntry, class):
		return ReasonTooOld
	}
	return ReasonOK
}

// cachedCopySuffices reports whether the copy cached under the same key makes the new one
// redundant.
func (p *Policy) cachedCopySuffices(now int64, newEntry, cached *entry, class *TrafficClass) bool {
	if cached.state == entryWriting || p.freshness(now, cached, class) == ReasonOK {
		return true
	}
	return cached.issued >= newEntry.issued && cached.epoch == p.epoch
}

// checkWriteLimits checks the estimated number of requests, the write budget and the queue.
func (p *Policy) checkWriteLimits(now int64, requests uint64, slots int) Reason {
	variant := &p.settings.Variant
	bytes := int64(slots * p.settings.SlotBytes)
	switch {
	case requests < 2 && !variant.AdmitOnFirstRequest && !variant.AdmitAll:
		return ReasonRequestedOnce
	case !p.writeBudget.allows(now, bytes):
		return ReasonOverBudget
	case p.queuedBytes+bytes > p.settings.QueueBytes:
		return ReasonQueueFull
	}
	return ReasonOK
}

func (p *Policy) evict(victims []uint32, previous uint32) {
	for _, victim := range victims {
		p.drop(victim)
		p.Counts.Evicted++
	}
	if previous != noIndex {
		p.drop(previous)
	}
}

// place adds the entry to the index, allocates its slots and charges the write budget and
// the queue.
func (p *Policy) place(now int64, newEntry *entry, slots int) Placement {
	newEntry.firstSlot, _ = p.slots.allocate(slots)
	p.seq++
	newEntry.seq = p.seq
	if p.purgesComplete(now, newEntry.issued) {
		newEntry.epoch = p.epoch
	}
	i := p.index.add(*newEntry)
	p.index.usedSlots += slots
	bytes := int64(slots * p.settings.SlotBytes)
	p.writeBudget.tokens -= bytes
	p.queuedBytes += bytes
	return Placement{
		Ref:     Ref{i, newEntry.seq},
		Key:     newEntry.key,
		Object:  newEntry.object,
		Extents: p.slots.extents(newEntry.firstSlot),
	}
}

// chooseVictims selects the entries to evict for a candidate with the given requests and
// slots: the least recently used ones, until there is room. The candidate is admitted only
// if its requests times its slots exceed the sum over all victims. This is TinyLFU's
// comparison of candidate and victim, by bytes. The previous copy of the same part is
// replaced and weighs nothing.
func (p *Policy) chooseVictims(requests uint64, slots int, previous uint32) (victims []uint32, admitted bool) {
	const maxVictims = 64 // a candidate that would evict more is not worth the search
	available := p.settings.Slots - p.reservedSlots() - p.index.usedSlots
	full := p.index.entries >= p.index.maxEntries
	if previous != noIndex {
		available += p.slotsOf(previous)
		full = false
	}
	candidateWeight := p.weight(requests, slots)
	victimsWeight := uint64(0)
	for i := p.index.oldest; available < slots || full; i = p.index.at(i).newer {
		if i == noIndex || len(victims) >= maxVictims {
			return nil, false
		}
		entry := p.index.at(i)
		if i == previous || entry.state == entryWriting {
			continue
		}
		size := p.slotsOf(i)
		victims = append(victims, i)
		available += size
		full = false
		if p.freeToEvict(entry) {
			continue
		}
		estimate := p.sketch.Estimate(p.frequencyKey(entry.key, entry.object))
		victimsWeight += p.weight(estimate, size)
		if victimsWeight >= candidateWeight {
			return nil, false
		}
	}
	return victims, true
}

// weight returns the value by which parts are compared: requests times slots, or with
// WeighByRequests the requests alone.
func (p *Policy) weight(requests uint64, slots int) uint64 {
	if p.settings.Variant.WeighByRequests {
		return requests
	}
	return requests * uint64(slots)
}

// freeToEvict reports whether an entry counts nothing against a candidate.
func (p *Policy) freeToEvict(e *entry) bool {
	variant := &p.settings.Variant
	return p.purges.covers(e) || variant.AdmitAll || variant.AdmitOnSecondRequest
}

// reservedSlots returns the number of slots that no entry may use, so that writes find
// free slots while the drops of evicted parts wait to be synced. It covers all that can be
// written during two sync intervals.
func (p *Policy) reservedSlots() int {
	const maxReserveDivisor = 8 // an eighth of the slots at most
	bytes := p.settings.WriteBytesPerSecond * (2*p.settings.SyncInterval + second) / second
	return min(int(bytes/int64(p.settings.SlotBytes))+1, p.settings.Slots/maxReserveDivisor)
}
