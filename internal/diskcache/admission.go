package diskcache

// Candidate is a part that a request was answered with.
type Candidate struct {
	Request
	Issued int64 // when the origin gave the copy out, Unix milliseconds
	Length int   // bytes on disk, record header included
}

// Placement is where a copy is to be written.
type Placement struct {
	Ref     Ref
	Key     uint64   // hash of the part's name
	Object  uint64   // hash of the object's name
	Extents []Extent // in the order in which the record fills them
}

// minLargestRecords is how many records of the largest size fit onto the disk.
const minLargestRecords = 16

// Offer decides whether a copy is written. With ReasonOK it must be, and FinishWrite
// tells how that ended.
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
	newcomer := p.newEntry(candidate)
	slots := p.slotsFor(candidate.Length)
	p.retryFullDisk(now)
	if reason := p.mayBeCached(now, &newcomer, class, slots); reason != ReasonOK {
		return Placement{}, reason
	}
	previous := p.index.find(newcomer.key)
	if previous != noIndex && p.noBetter(now, &newcomer, p.index.at(previous), class) {
		return Placement{}, ReasonAlreadyCached
	}
	requests := p.sketch.Estimate(p.frequencyKey(newcomer.key, newcomer.object))
	if reason := p.mayBeWritten(now, requests, slots); reason != ReasonOK {
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
	return p.place(now, &newcomer, slots), ReasonOK
}

func (p *Policy) newEntry(candidate *Candidate) entry {
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

// mayBeCached checks the disk's health and the copy itself.
func (p *Policy) mayBeCached(now int64, newcomer *entry, class *TrafficClass, slots int) Reason {
	switch {
	case p.health != HealthOn:
		return ReasonDiskOff
	case slots > p.settings.Slots/minLargestRecords || slots <= 0:
		return ReasonTooLarge
	case p.purges.covers(newcomer):
		return ReasonPurged
	case !withinGrace(now, newcomer, class):
		return ReasonTooOld
	}
	return ReasonOK
}

// noBetter tells whether a newcomer adds nothing to the copy that is cached under its key.
func (p *Policy) noBetter(now int64, newcomer, cached *entry, class *TrafficClass) bool {
	if cached.state == entryWriting || p.freshness(now, cached, class) == ReasonOK {
		return true
	}
	return cached.issued >= newcomer.issued && cached.epoch == p.epoch
}

// mayBeWritten checks the estimated number of requests, the write budget and the queue.
func (p *Policy) mayBeWritten(now int64, requests uint64, slots int) Reason {
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

// place enters the newcomer and takes its slots, its part of the write budget and of the queue.
func (p *Policy) place(now int64, newcomer *entry, slots int) Placement {
	newcomer.firstSlot, _ = p.slots.allocate(slots)
	p.seq++
	newcomer.seq = p.seq
	if p.purgesComplete(now, newcomer.issued) {
		newcomer.epoch = p.epoch
	}
	i := p.index.add(*newcomer)
	p.index.usedSlots += slots
	bytes := int64(slots * p.settings.SlotBytes)
	p.writeBudget.tokens -= bytes
	p.queuedBytes += bytes
	return Placement{
		Ref:     Ref{i, newcomer.seq},
		Key:     newcomer.key,
		Object:  newcomer.object,
		Extents: p.slots.extents(newcomer.firstSlot),
	}
}

// chooseVictims names what gives way to a newcomer with so many requests and slots: from
// the least recently used on, as many as it needs room for. The newcomer is admitted
// only where its requests times its slots exceed those of all victims together: TinyLFU's
// comparison with the victim, by bytes. The previous copy of the same part gives way in
// any case.
func (p *Policy) chooseVictims(requests uint64, slots int, previous uint32) (victims []uint32, admitted bool) {
	const maxVictims = 64 // a newcomer that would evict more is not worth the search
	available := p.settings.Slots - p.reservedSlots() - p.index.usedSlots
	full := p.index.entries >= p.index.maxEntries
	if previous != noIndex {
		available += p.slotsOf(previous)
		full = false
	}
	newcomerWeight := p.weight(requests, slots)
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
		if p.weighsNothing(entry) {
			continue
		}
		estimate := p.sketch.Estimate(p.frequencyKey(entry.key, entry.object))
		victimsWeight += p.weight(estimate, size)
		if victimsWeight >= newcomerWeight {
			return nil, false
		}
	}
	return victims, true
}

// weight compares parts: requests times slots.
func (p *Policy) weight(requests uint64, slots int) uint64 {
	if p.settings.Variant.WeighByRequests {
		return requests
	}
	return requests * uint64(slots)
}

func (p *Policy) weighsNothing(e *entry) bool {
	variant := &p.settings.Variant
	return p.purges.covers(e) || variant.AdmitAll || variant.AdmitOnSecondRequest
}

// reservedSlots stay free for parts that were dropped and whose drop waits to be
// synced: all that can be written during two sync intervals.
func (p *Policy) reservedSlots() int {
	const reserveOneIn = 8 // slots of the disk at most
	bytes := p.settings.WriteBytesPerSecond * (2*p.settings.SyncInterval + second) / second
	return min(int(bytes/int64(p.settings.SlotBytes))+1, p.settings.Slots/reserveOneIn)
}
