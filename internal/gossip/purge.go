package gossip

import (
	"cmp"
	"math"
	"slices"
)

// maxPurges bounds the purges that are held; the oldest gives way to a new one.
const maxPurges = 4096

// Purge is the purge of an object, or of a group where Object is "". At is Unix microseconds: what was cached before
// is not to be served.
type Purge struct {
	Object string
	Group  int64
	At     int64
}

// purgeKey names what is purged.
type purgeKey struct {
	object string
	group  int64
}

func comparePurgeKeys(a, b purgeKey) int {
	return cmp.Or(cmp.Compare(a.object, b.object), cmp.Compare(a.group, b.group))
}

// ApplyLocalPurge takes a purge that the own source announces.
func (r *Replica) ApplyLocalPurge(now int64, p Purge) {
	r.changedAt = now
	r.applyPurge(p)
	r.rebuildDigests()
}

// applyReportedPurge reports whether a purge of another router is to be applied.
func (r *Replica) applyReportedPurge(wall int64, p Purge) bool {
	if p.At > wall+maxClockSkew || p.At < wall-r.settings.PurgeRetention {
		r.Counts.Rejected++
		return false
	}
	if !r.applyPurge(p) {
		return false
	}
	r.Counts.Purges++
	return true
}

// applyPurge reports whether a purge is later than the one held for its key.
func (r *Replica) applyPurge(p Purge) bool {
	key := purgeKey{p.Object, p.Group}
	heldAt, held := r.purges[key]
	if p.At <= heldAt {
		return false
	}
	if !held && len(r.purges) >= maxPurges {
		r.evictOldestPurge()
	}
	r.purges[key] = p.At
	return true
}

func (r *Replica) evictOldestPurge() {
	var oldest purgeKey
	oldestAt := int64(math.MaxInt64)
	for key, at := range r.purges {
		if at < oldestAt || at == oldestAt && comparePurgeKeys(key, oldest) < 0 {
			oldest, oldestAt = key, at
		}
	}
	delete(r.purges, oldest)
}

func (r *Replica) expirePurges(wall int64) {
	for key, at := range r.purges {
		if wall-at > r.settings.PurgeRetention {
			delete(r.purges, key)
		}
	}
}

// sortedPurges returns the keys of the purges that match, the latest purge first.
func (r *Replica) sortedPurges(match func(purgeKey) bool) (keys []purgeKey) {
	for key := range r.purges {
		if match(key) {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b purgeKey) int {
		return cmp.Or(cmp.Compare(r.purges[b], r.purges[a]), comparePurgeKeys(a, b))
	})
	return keys
}
