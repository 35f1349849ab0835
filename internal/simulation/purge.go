package simulation

import (
	"slices"

	"quilldoor/internal/eventlog"
)

// purgeSpread is the share of the time for a complete purge within which all servers have carried it out.
const purgeSpread = 0.9

// purgedAt is when an object was purged last, by itself or with its group; 0: never.
func (w *Simulation) purgedAt(object, group int64) int64 {
	at := w.groupPurges[group%groupCount]
	if objectPurge, known := w.objectPurges[object]; known {
		at = max(at, objectPurge)
	}
	return at
}

// purge purges an object or, if object is wholeGroup, a group. Each server drops its copies a random time later;
// routers are notified.
func (w *Simulation) purge(object, group int64) {
	now := w.now
	notice := DiscoveryEvent{Purge: true, Group: group, At: now}
	if object >= 0 {
		w.objectPurges[object] = now
		notice.Object = w.catalogue.name(object)
		notice.Group = 0
	} else {
		w.groupPurges[group] = now
	}
	w.record(Entry{Kind: eventlog.KindPurged, Object: notice.Object, Group: notice.Group, Until: now})
	for _, servers := range slices.Concat(w.caches, w.parents) {
		for _, server := range servers {
			delay := w.random.Float64() * purgeSpread * w.scenario.Fleet.PurgeCompleteMS * millisecond
			w.schedule(int64(delay), func() { server.store.purge(object, group, now) })
		}
	}
	w.announce(notice)
}
