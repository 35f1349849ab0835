package main

import (
	"slices"
	"sync"
)

// purgeLog remembers purges that caches may not have done yet, for peers that may not
// have heard of them.
type purgeLog struct {
	mu        sync.Mutex
	retention int64 // microseconds
	list      []purgeEvent
}

type purgeEvent struct {
	object string // "": of the group
	group  int64
	at     int64 // Unix microseconds
}

// maxLoggedPurges are remembered; beyond that the oldest are forgotten, which peers have
// from their own discovery.
const maxLoggedPurges = 4096

func (l *purgeLog) add(object string, group, at int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	expired := clock() - l.retention
	for len(l.list) > 0 && (l.list[0].at < expired || len(l.list) >= maxLoggedPurges) {
		l.list = l.list[1:]
	}
	l.list = append(l.list, purgeEvent{object, group, at})
}

func (l *purgeLog) all() []purgeEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.list)
}

// latest gives the times of the latest purges of an object and of a group; 0: none.
func (l *purgeLog) latest(object string, group int64) (ofObject, ofGroup int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, purge := range l.list {
		switch {
		case purge.object != "" && purge.object == object:
			ofObject = max(ofObject, purge.at)
		case purge.object == "" && purge.group == group:
			ofGroup = max(ofGroup, purge.at)
		}
	}
	return ofObject, ofGroup
}
