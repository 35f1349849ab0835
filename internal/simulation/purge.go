package simulation

import (
	"slices"

	"quilldoor/internal/eventlog"
)

// purgedAt is when an object was purged last, by itself or with its group.
func (w *World) purgedAt(object, group int64) int64 {
	at := w.groups[group%groupCount]
	if o, ever := w.purged[object]; ever {
		at = max(at, o)
	}
	return at
}

// purge is an editor's: servers drop what it names within their time.
func (w *World) purge(object, group int64) {
	at := w.now
	n := Notice{Purge: true, Group: group, At: at}
	if object >= 0 {
		w.purged[object] = at
		n.Object, n.Group = w.cat.name(object), 0
	} else {
		w.groups[group] = at
	}
	w.note(Entry{Kind: eventlog.KindPurged, Object: n.Object, Group: n.Group, Until: at})
	for _, l := range slices.Concat(w.caches, w.parents) {
		for _, s := range l {
			w.after(int64(w.dice.Float64()*0.9*w.set.Fleet.PurgeCompleteMS*1000), func() { s.store.purge(object, group, at) })
		}
	}
	w.announce(n)
}
