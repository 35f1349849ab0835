package simulation

import (
	"slices"

	"quilldoor/internal/eventlog"
)

// purgedAt is when an object was purged last, by itself or with its group.
func (w *World) purgedAt(object, group int64) int64 {
	at := w.groupPurges[group%groupCount]
	if objectPurge, known := w.objectPurges[object]; known {
		at = max(at, objectPurge)
	}
	return at
}

// purge is an editor's: servers drop what it names within their time.
func (w *World) purge(object, group int64) {
	now := w.now
	notice := Notice{Purge: true, Group: group, At: now}
	if object >= 0 {
		w.objectPurges[object] = now
		notice.Object, notice.Group = w.catalogue.name(object), 0
	} else {
		w.groupPurges[group] = now
	}
	w.record(Entry{Kind: eventlog.KindPurged, Object: notice.Object, Group: notice.Group, Until: now})
	for _, servers := range slices.Concat(w.caches, w.parents) {
		for _, server := range servers {
			w.schedule(int64(w.random.Float64()*0.9*w.scenario.Fleet.PurgeCompleteMS*1000), func() { server.store.purge(object, group, now) })
		}
	}
	w.announce(notice)
}
