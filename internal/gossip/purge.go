package gossip

import (
	"cmp"
	"math"
	"slices"
)

// maxPurges bounds the purges that are held; beyond it a new purge evicts the oldest one.
const maxPurges = 4096

// Purge is the purge of an object, or of a group where Object is "". Copies that were cached before At, in Unix
// microseconds, must not be served.
type Purge struct {
	Object string
	Group  int64
	At     int64
}

// purgeKey identifies the object or group that a purge covers.
type purgeKey struct {
	object string
	group  int64
}

func comparePurgeKeys(a, b purgeKey) int {
	return cmp.Or(cmp.Compare(a.object, b.object), cmp.Compare(a.group, b.group))
}

// ApplyLocalPurge records a purge that the local source announces.
func (r *Replica) ApplyLocalPurge(now int64, p Purge) {
	r.changedAt = now
	r.applyPurge(p)
	r.rebuildDigests()
}

// applyReportedPurge records a purge that another router reports. It reports whether the purge is to be applied.
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

// applyPurge records a purge. It returns false if the purge held for the same key is as late or later.
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

// sortedPurgeKeys returns the keys of the purges that match, the key of the latest purge first.
func (r *Replica) sortedPurgeKeys(match func(purgeKey) bool) (keys []purgeKey) {
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
