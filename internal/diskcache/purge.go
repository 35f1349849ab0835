package diskcache

// purges remembers which purges still bind copies that may come. A purge of a
// group binds for good, one of an object until no cache holds an older copy:
// what is kept of the object goes at once. Where too many objects are remembered
// they become one purge of everything up to the latest: safe, and bounded.
type purges struct {
	groups  [256]int64       // Unix milliseconds of the last purge
	objects map[uint64]int64 // by hash
	floor   int64            // nothing given out before is used
}

const (
	// purgeSkew is how far the clocks of the origin, which dates copies, and of
	// who dates purges may lie apart: copies dated less than that behind a purge
	// are not used. They cost one more fetch each.
	purgeSkew   = 100_000
	purgesMost  = 1 << 14 // objects remembered: 16 bytes each, some 400 kB with the map's own
	skewMS      = purgeSkew / 1000
	sweepPurges = purgesMost / 2
)

// binds tells whether a purge bars the copy.
func (p *purges) binds(e *entry) bool {
	at := max(p.groups[e.group], p.floor)
	if o, told := p.objects[e.object]; told {
		at = max(at, o)
	}
	return at > 0 && e.issued <= at+skewMS
}

// Purge takes the purge of an object, or of a group where that is "", made at
// the given time. A purge from ahead of the clock is taken as told.
func (t *Tier) Purge(now int64, object string, group uint8, at int64) {
	ms := (at + 999) / 1000
	if object == "" {
		t.purges.groups[group] = max(t.purges.groups[group], ms)
		return
	}
	h := t.object(object)
	t.purges.objects[h] = max(t.purges.objects[h], ms)
	for i := t.table.objects[h&t.table.mask]; i != none; {
		e := t.table.at(i)
		next := e.objNext
		if e.object == h && t.purges.binds(e) {
			t.drop(i)
			t.Counts.Purged++
		}
		i = next
	}
	if len(t.purges.objects) >= purgesMost {
		t.forget(now)
	}
}

// forget drops purges that can bind nothing that still comes; if that is not
// enough, the rest becomes the floor.
func (t *Tier) forget(now int64) {
	over := (now - t.set.PurgeTime - 2*t.set.MaxRequestTime - purgeSkew) / 1000
	for h, ms := range t.purges.objects {
		if ms < over {
			delete(t.purges.objects, h)
		}
	}
	if len(t.purges.objects) <= sweepPurges {
		return
	}
	floor := int64(0)
	for _, ms := range t.purges.objects {
		floor = max(floor, ms)
	}
	t.purges.floor = max(t.purges.floor, floor)
	clear(t.purges.objects)
}

// HistoryGap says that the history of copies has one: purges may have been missed, or
// the clock has jumped. Nothing kept so far is served before it was proven.
func (t *Tier) HistoryGap(now int64) {
	t.Counts.HistoryGaps++
	t.since = now
	t.link.busy = min(t.link.busy, now)
	t.budget.at = now
	if t.epoch++; t.epoch == 0 { // once in 255 gaps all are looked at
		for i := range t.table.used {
			t.table.at(uint32(i)).epoch = 0
		}
		t.epoch = 1
	}
}

// SetDiscoveryLost tells whether the notice board can be reached. Lost for long, purges
// count as told that never arrived; back, they arrive numbered and none is missed.
func (t *Tier) SetDiscoveryLost(now int64, lost bool) {
	switch {
	case !lost:
		t.lostAt = 0
	case t.lostAt == 0:
		t.lostAt = max(now, 1)
	}
}

// Sweep forgets what binds no more; it is called every few seconds.
func (t *Tier) Sweep(now int64) {
	if len(t.purges.objects) > sweepPurges/2 {
		t.forget(now)
	}
	if t.health == HealthFull && now >= t.dueAt {
		t.HandleEvent(now, EventRetryDue)
	}
}
