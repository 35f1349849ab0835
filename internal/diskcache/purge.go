package diskcache

const (
	microsPerMilli = 1000

	// maxClockSkew is the maximum difference, in microseconds, between the clock of the
	// origin, which dates copies, and the clock that dates purges. A copy issued at
	// most that long after a purge is not used.
	maxClockSkew       = 100_000
	maxClockSkewMillis = maxClockSkew / microsPerMilli

	maxObjectPurges    = 1 << 14 // remembered purges of single objects
	targetObjectPurges = maxObjectPurges / 2
)

// purgeHistory holds the purges that may cover copies still to arrive. The latest purge of
// a group is kept permanently. The purge of an object is kept until no cache holds an older
// copy. If there are too many of these, they are replaced by one purge of everything up
// to the latest of them, which is safe and bounded.
type purgeHistory struct {
	groups  [256]int64       // Unix milliseconds of the last purge, by group
	objects map[uint64]int64 // Unix milliseconds of the last purge, by the hash of the object
	floor   int64            // Unix milliseconds; no copy issued earlier is used
}

// covers reports whether a purge makes the copy unusable.
func (h *purgeHistory) covers(e *entry) bool {
	purgedAt := max(h.groups[e.group], h.floor)
	if object, purged := h.objects[e.object]; purged {
		purgedAt = max(purgedAt, object)
	}
	return purgedAt > 0 && e.issued <= purgedAt+maxClockSkewMillis
}

// prune removes the purges of objects that were made before the given Unix milliseconds.
func (h *purgeHistory) prune(before int64) {
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

// Purge applies a purge of an object, or of a group if object is empty, made at purgedAt in
// Unix microseconds. Covered copies of an object are dropped at once, those of a group when
// they are looked up.
func (p *Policy) Purge(now int64, object string, group uint8, purgedAt int64) {
	purgedMillis := (purgedAt + microsPerMilli - 1) / microsPerMilli
	if object == "" {
		p.purges.groups[group] = max(p.purges.groups[group], purgedMillis)
		return
	}
	key := p.objectKey(object)
	p.purges.objects[key] = max(p.purges.objects[key], purgedMillis)
	p.dropPurged(key)
	if len(p.purges.objects) >= maxObjectPurges {
		p.prunePurges(now)
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

// prunePurges removes the purges that cover no copy still to arrive. If too many remain, it
// replaces them by the floor.
func (p *Policy) prunePurges(now int64) {
	cutoff := now - p.settings.PurgeTime - 2*p.settings.MaxRequestTime - maxClockSkew
	p.purges.prune(cutoff / microsPerMilli)
	if len(p.purges.objects) > targetObjectPurges {
		p.purges.raiseFloor()
	}
}

// purgesUnknown reports whether purges may have been missed because discovery has been
// unreachable for too long.
func (p *Policy) purgesUnknown(now int64) bool {
	return p.discoveryLostAt != 0 && now-p.discoveryLostAt >= p.settings.DiscoveryLossLimit
}

// purgesComplete reports whether no unknown purge can cover a copy that was issued at
// issuedMillis and is received from a cache now. This holds if the copy was issued after
// purges became known, or if caches have dropped all copies covered by earlier purges.
func (p *Policy) purgesComplete(now, issuedMillis int64) bool {
	if p.purgesUnknown(now) {
		return false
	}
	issuedSinceKnown := issuedMillis*microsPerMilli > p.purgesKnownSince+maxClockSkew
	earlierPurgesDone := now >= p.purgesKnownSince+p.settings.PurgeTime+p.settings.MaxRequestTime
	return issuedSinceKnown || earlierPurgesDone
}

// HistoryGap records that purges may have been missed or that the clock has stepped. All
// copies cached so far must be revalidated before they are served.
func (p *Policy) HistoryGap(now int64) {
	p.Counts.HistoryGaps++
	p.purgesKnownSince = now
	p.bandwidth.busyUntil = min(p.bandwidth.busyUntil, now)
	p.writeBudget.filledAt = now
	p.epoch++
	if p.epoch == 0 { // wrapped around: no older copy may carry the new epoch
		p.resetEpochs()
	}
}

func (p *Policy) resetEpochs() {
	for i := range p.index.allocated {
		p.index.at(uint32(i)).epoch = 0
	}
	p.epoch = 1
}

// SetDiscoveryLost records whether discovery is unreachable. Once it has been unreachable
// for Settings.DiscoveryLossLimit, purges count as missed until it is reachable again. The
// purges made meanwhile are received then; they are numbered, so that none is missing.
func (p *Policy) SetDiscoveryLost(now int64, lost bool) {
	switch {
	case !lost:
		p.discoveryLostAt = 0
	case p.discoveryLostAt == 0:
		p.discoveryLostAt = max(now, 1)
	}
}

// Sweep prunes purges that cover no copy any more and allows writes to a full disk again
// when their retry is due. It is to be called every few seconds.
func (p *Policy) Sweep(now int64) {
	if len(p.purges.objects) > targetObjectPurges/2 {
		p.prunePurges(now)
	}
	p.retryFullDisk(now)
}
