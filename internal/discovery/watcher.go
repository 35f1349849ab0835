package discovery

import (
	"maps"
	"net"
	"slices"
	"sync/atomic"
	"time"

	"quilldoor/internal/config"
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
)

const microsPerMilli = 1000

// Handler receives the events, in order, on the goroutine that calls the Watcher.
type Handler interface {
	// EndpointsChanged receives the first list (ScopeInitial), a complete list
	// that replaces the previous one (ScopeSnapshot), or only the endpoints that
	// changed (ScopeDiff).
	EndpointsChanged(scope policy.UpdateScope, list []engine.Endpoint)
	// Purge receives the purge of an object, or of a group if object is "". It was
	// made at the time at, in Unix microseconds.
	Purge(object string, group, at int64)
	// DiscoverySlow reports that responses are late by a delay beyond the time for
	// which the service may hold a poll, and again when the delay has doubled.
	// Events arrive late meanwhile.
	DiscoverySlow(delay time.Duration)
	// DiscoveryLost receives the error of the first failed poll in a row, or that
	// no response has arrived for long.
	DiscoveryLost(err error)
	// DiscoveryRestored reports the first response after DiscoveryLost, or the
	// first timely ones after DiscoverySlow, before the response's events.
	DiscoveryRestored()
	// DiscoveryOverdue receives the time since which events may be unknown, when it
	// changes: the oldest unanswered poll should have been answered, or its
	// connection has failed. The time may be in the future. Zero: no poll is
	// unanswered.
	DiscoveryOverdue(since time.Time)
	// DiscoveryGap reports that events were missed, or that the service has
	// restarted its revision numbers. The report of missed events follows the
	// events of the update that shows the gap. The report of a restart precedes
	// all events with new numbers.
	DiscoveryGap()
}

// Watcher polls the discovery service and passes new events to a Handler. It is not
// safe for concurrent use.
type Watcher struct {
	limits      *config.Limits
	handler     Handler
	revision    int64                      // of the last event
	hasList     bool                       // a list was received
	endpoints   map[string]engine.Endpoint // the service's list, by id
	gapRevision int64                      // the last revision that was reported as a gap because its event was missing
	numbering   int                        // how often the service has restarted its revision numbers
	renumbered  bool                       // no event since the last restart of the revision numbers was received

	dial          dialFunc
	schedule      schedule
	lastSequence  int // of the polls
	receivedBytes atomic.Int64
	health        health
	reportedDelay time.Duration // of a slow service
	overdueSince  time.Time     // as reported
	status        atomic.Pointer[Status]
}

// New returns a watcher at revision 0, with an empty list.
func New(limits *config.Limits, handler Handler) *Watcher {
	w := &Watcher{
		limits:    limits,
		handler:   handler,
		endpoints: map[string]engine.Endpoint{},
		dial:      (&net.Dialer{}).DialContext,
		schedule:  newSchedule(limits),
	}
	w.updateStatus()
	return w
}

// Apply passes the new events of an update to the handler: those whose revision is above
// that of the last event. The update is a response to a poll with the revision of the last
// event, or the initial list of a configuration. An update with a lower revision means that the service has
// restarted its revision numbers. Its events then apply from the first one on. If the
// update doesn't have the first event, the next poll requests it.
func (w *Watcher) Apply(update *Update) {
	if update.Revision > 0 && update.Revision < w.revision {
		w.revision = 0
		w.gapRevision = 0
		w.renumbered = true
		w.numbering++
		w.schedule.overtakeAll()
		w.handler.DiscoveryGap()
		if len(update.Events) > 0 && update.Events[0].Revision > 1 {
			return // they respond to a poll with the old revision, so the first events are missing
		}
	}
	if w.renumbered {
		w.applyRenumbered(update)
		return
	}
	gap := false
	for _, event := range update.Events {
		if event.Revision <= w.revision {
			continue
		}
		gap = gap || w.revision > 0 && event.Revision > w.revision+1
		w.revision = event.Revision
		if event.Endpoints != nil {
			w.applyEndpoints(event.Endpoints)
		}
		if event.Purge != nil {
			w.applyPurge(event.Purge)
		}
	}
	// An update may lack the event of its own revision. This gap is reported once for
	// each revision.
	if update.Revision > 0 && update.Revision != w.revision && w.hasList && update.Revision != w.gapRevision {
		w.gapRevision = update.Revision
		gap = true
	}
	w.revision = max(w.revision, update.Revision)
	if gap {
		w.handler.DiscoveryGap()
	}
}

// applyRenumbered applies the events of a service that has restarted its revision numbers.
// The handler receives only the resulting list, as one snapshot. Applied one by one, the
// older events would make draining endpoints active again for a moment.
func (w *Watcher) applyRenumbered(update *Update) {
	if len(update.Events) == 0 {
		return
	}
	w.renumbered = false
	for _, event := range update.Events {
		w.revision = event.Revision
		if event.Endpoints != nil {
			w.updateList(event.Endpoints, event.Endpoints.Complete)
		}
		if event.Purge != nil {
			w.applyPurge(event.Purge)
		}
	}
	w.revision = max(w.revision, update.Revision)
	w.hasList = true
	_, list := w.Snapshot()
	w.handler.EndpointsChanged(policy.ScopeSnapshot, list)
}

// applyEndpoints applies a change to the list and passes it to the handler. The first one
// counts as a complete list.
func (w *Watcher) applyEndpoints(change *endpointChange) {
	scope := policy.ScopeDiff
	switch {
	case !w.hasList:
		scope = policy.ScopeInitial
	case change.Complete:
		scope = policy.ScopeSnapshot
	}
	w.hasList = true
	w.handler.EndpointsChanged(scope, w.updateList(change, scope != policy.ScopeDiff))
}

// updateList merges a change into the list, or replaces the list, and returns the
// entries of the change.
func (w *Watcher) updateList(change *endpointChange, replace bool) (list []engine.Endpoint) {
	if replace {
		clear(w.endpoints)
	}
	for _, entry := range change.Entries {
		endpoint := entry.engineEndpoint()
		list = append(list, endpoint)
		w.endpoints[endpoint.ID] = endpoint
		if endpoint.State == policy.EndpointRemoved {
			delete(w.endpoints, endpoint.ID)
		}
	}
	return list
}

// applyPurges passes the purges of an update to the handler.
func (w *Watcher) applyPurges(update *Update) {
	for _, event := range update.Events {
		if event.Purge != nil {
			w.applyPurge(event.Purge)
		}
	}
}

// applyPurge passes a purge to the handler.
func (w *Watcher) applyPurge(purge *purge) {
	var object string
	var group int64
	if purge.namesObject() {
		object = *purge.Object
	} else {
		group = *purge.Group
	}
	w.handler.Purge(object, group, purge.UnixMillis*microsPerMilli)
}

// Snapshot returns the revision of the last event and the endpoint list, sorted
// by id, for the other generation of this router. It must not be called while Run
// is running.
func (w *Watcher) Snapshot() (revision int64, list []engine.Endpoint) {
	for _, id := range slices.Sorted(maps.Keys(w.endpoints)) {
		list = append(list, w.endpoints[id])
	}
	return w.revision, list
}

// Resume continues after the revision of a Snapshot from the other generation of
// this router, with the snapshot's list. It ignores an empty list, and a revision
// lower than the watcher's own. In any case the handler receives the resulting
// list, unless it is empty.
func (w *Watcher) Resume(revision int64, list []engine.Endpoint) {
	if revision >= w.revision && len(list) > 0 {
		w.revision = revision
		w.hasList = true
		w.gapRevision = 0
		w.renumbered = false
		clear(w.endpoints)
		for _, endpoint := range list {
			w.endpoints[endpoint.ID] = endpoint
		}
	}
	if _, list = w.Snapshot(); len(list) > 0 {
		w.handler.EndpointsChanged(policy.ScopeSnapshot, list)
	}
}
