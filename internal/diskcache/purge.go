package diskcache

const (
	microsPerMilli = 1000

	// maxClockSkew is how far the clocks of the origin, which dates copies, and of whoever
	// dates purges may differ, in microseconds. Copies dated less than that behind a purge
	// are not used.
	maxClockSkew       = 100_000
	maxClockSkewMillis = maxClockSkew / microsPerMilli

	maxObjectPurges    = 1 << 14 // purges of single objects that are remembered
	targetObjectPurges = maxObjectPurges / 2
)

// purgeHistory remembers the purges that still cover copies which may arrive. A purge of
// a group is remembered for good, one of an object until no cache has an older copy.
// Where too many are remembered, they become one purge of everything up to the latest,
// which is safe and bounded.
type purgeHistory struct {
	groups  [256]int64       // Unix milliseconds of the last purge
	objects map[uint64]int64 // by the object's hash
	floor   int64            // no copy issued before is used
}

// covers tells whether a purge forbids the copy.
func (h *purgeHistory) covers(e *entry) bool {
	purgedAt := max(h.groups[e.group], h.floor)
	if object, purged := h.objects[e.object]; purged {
		purgedAt = max(purgedAt, object)
	}
	return purgedAt > 0 && e.issued <= purgedAt+maxClockSkewMillis
}

// forget removes purges of objects that were made before the given Unix milliseconds.
func (h *purgeHistory) forget(before int64) {
	for object, purgedAt := range h.objects {
		if purgedAt < before {
			delete(h.objects, object)
		}
	}
}

// raiseFloor replaces all purges of objects by one of everything up to the latest.
func (h *purgeHistory) raiseFloor() {
	for _, purgedAt := range h.objects {
		h.floor = max(h.floor, purgedAt)
	}
	clear(h.objects)
}

// Purge takes the purge of an object, or of a group where object is "", made at the given
// time in Unix microseconds. Cached copies of the object that it covers are dropped at
// once, those of a group when they are looked up.
func (p *Policy) Purge(now int64, object string, group uint8, at int64) {
	atMillis := (at + microsPerMilli - 1) / microsPerMilli
	if object == "" {
		p.purges.groups[group] = max(p.purges.groups[group], atMillis)
		return
	}
	key := p.objectKey(object)
	p.purges.objects[key] = max(p.purges.objects[key], atMillis)
	p.dropPurged(key)
	if len(p.purges.objects) >= maxObjectPurges {
		p.forgetPurges(now)
	}
}

func (p *Policy) dropPurged(object uint64) {
	for i := p.index.objectBuckets[object&p.index.mask]; i != noIndex; {
		e := p.index.at(i)
		next := e.nextOfObject
		if e.object == object && p.purges.covers(e) {
			p.drop(i)
			p.Counts.Purged++
		}
		i = next
	}
}

// forgetPurges removes purges that cover nothing which can still arrive; if that is not
// enough, the rest becomes the floor.
func (p *Policy) forgetPurges(now int64) {
	settled := now - p.settings.PurgeTime - 2*p.settings.MaxRequestTime - maxClockSkew
	p.purges.forget(settled / microsPerMilli)
	if len(p.purges.objects) > targetObjectPurges {
		p.purges.raiseFloor()
	}
}

// purgesUnknown tells whether purges may have been missed because discovery has been
// unreachable for too long.
func (p *Policy) purgesUnknown(now int64) bool {
	return p.discoveryLostAt != 0 && now-p.discoveryLostAt >= p.settings.DiscoveryLossLimit
}

// purgesComplete tells whether all purges that can cover a copy issued at issuedMillis,
// and received from a cache now, are known or done: either it was issued since purges
// are known, or caches have dropped what was purged before.
func (p *Policy) purgesComplete(now, issuedMillis int64) bool {
	if p.purgesUnknown(now) {
		return false
	}
	issuedSince := issuedMillis*microsPerMilli > p.purgesKnownSince+maxClockSkew
	settled := now >= p.purgesKnownSince+p.settings.PurgeTime+p.settings.MaxRequestTime
	return issuedSince || settled
}

// HistoryGap says that purges may have been missed, or that the clock has jumped. No copy
// cached so far is served before it has been revalidated.
func (p *Policy) HistoryGap(now int64) {
	p.Counts.HistoryGaps++
	p.purgesKnownSince = now
	p.bandwidth.busyUntil = min(p.bandwidth.busyUntil, now)
	p.writeBudget.filledAt = now
	p.epoch++
	if p.epoch == 0 { // wrapped: no old copy may carry the new epoch
		p.resetEpochs()
	}
}

func (p *Policy) resetEpochs() {
	for i := range p.index.allocated {
		p.index.at(uint32(i)).epoch = 0
	}
	p.epoch = 1
}

// SetDiscoveryLost says whether discovery is unreachable. After
// Settings.DiscoveryLossLimit purges count as missed, until it is back: then they arrive
// numbered, and none is missing.
func (p *Policy) SetDiscoveryLost(now int64, lost bool) {
	switch {
	case !lost:
		p.discoveryLostAt = 0
	case p.discoveryLostAt == 0:
		p.discoveryLostAt = max(now, 1)
	}
}

// Sweep forgets purges that cover nothing any more and retries a full disk. It is to be
// called every few seconds.
func (p *Policy) Sweep(now int64) {
	if len(p.purges.objects) > targetObjectPurges/2 {
		p.forgetPurges(now)
	}
	p.retryFullDisk(now)
}
