package main

import (
	"slices"
	"sync"

	"quilldoor/internal/clock"
)

// purgeLog holds the purges that this process knows from its site and that caches may not have
// applied yet: for other routers, which may not have received them, and for components of this
// process that are opened later. It is safe for concurrent use.
type purgeLog struct {
	mu        sync.Mutex
	retention int64 // microseconds
	purges    []purgeEvent
}

type purgeEvent struct {
	object string // "": the purge covers the group
	group  int64
	at     int64 // Unix microseconds
}

// maxLoggedPurges is the capacity of a purgeLog. Beyond it the oldest purges are dropped, which
// peers have received from their own discovery.
const maxLoggedPurges = 4096

// add adds a purge, made at the time at, and drops the expired ones. It reports whether the purge
// is new.
func (l *purgeLog) add(object string, group, at int64) (added bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	event := purgeEvent{object, group, at}
	if slices.Contains(l.purges, event) {
		return false
	}
	oldestKept := clock.System() - l.retention
	for len(l.purges) > 0 && (l.purges[0].at < oldestKept || len(l.purges) >= maxLoggedPurges) {
		l.purges = l.purges[1:]
	}
	l.purges = append(l.purges, event)
	return true
}

func (l *purgeLog) all() []purgeEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.purges)
}

// latest returns the times of the latest purges of an object and of a group; 0: none.
func (l *purgeLog) latest(object string, group int64) (objectPurgedAt, groupPurgedAt int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, purge := range l.purges {
		switch {
		case purge.object != "" && purge.object == object:
			objectPurgedAt = max(objectPurgedAt, purge.at)
		case purge.object == "" && purge.group == group:
			groupPurgedAt = max(groupPurgedAt, purge.at)
		}
	}
	return objectPurgedAt, groupPurgedAt
}
