package discovery

import (
	"maps"
	"slices"

	"quilldoor/internal/config"
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
)

// Handler takes the events, in order, on the goroutine that runs the Watcher.
type Handler interface {
	// EndpointsChanged takes the first list (ScopeInitial), a whole one
	// (ScopeSnapshot) or changes of it (ScopeDiff).
	EndpointsChanged(scope policy.UpdateScope, list []engine.Endpoint)
	// Purge takes the purge of an object, or of a group where object is "", made
	// at a time in microseconds of Unix time.
	Purge(object string, group, at int64)
	DiscoveryLost(err error) // the first failed poll in a row
	DiscoveryRestored()      // the first poll that succeeds after it, before its events
	DiscoveryGap()           // events were missed, or are numbered anew; after those of the update that shows it
}

// Watcher knows how far the events were followed. It is not safe for concurrent
// use.
type Watcher struct {
	limits    *config.Limits
	handler   Handler
	revision  int64                      // of the last event
	listed    bool                       // a whole list has come
	endpoints map[string]engine.Endpoint // the list as the service has it
	gapAt     int64                      // the last revision that was reported as a gap without an event
	address   string
	conn      *pollConn // nil: none is open

	numberedAnew bool // the service has begun its numbers anew, and its first event is still to come
}

// New makes a watcher that knows nothing yet.
func New(limits *config.Limits, handler Handler) *Watcher {
	return &Watcher{limits: limits, handler: handler, endpoints: map[string]engine.Endpoint{}}
}

// Apply hands the events that are new in an update to the handler: those whose revision
// is above the last one. A service whose revision is lower has begun its numbers anew:
// its events are followed from the first one on, which the next poll brings if this
// update does not.
func (w *Watcher) Apply(update *Update) {
	if update.Revision > 0 && update.Revision < w.revision {
		w.revision = 0
		w.gapAt = 0
		w.numberedAnew = true
		w.handler.DiscoveryGap()
		if len(update.Events) > 0 && update.Events[0].Revision > 1 {
			return // it answers the poll behind the old numbers
		}
	}
	if w.numberedAnew {
		w.applyNumberedAnew(update)
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
	// The service's revision without its event is reported once for each revision.
	if update.Revision > 0 && update.Revision != w.revision && w.listed && update.Revision != w.gapAt {
		w.gapAt = update.Revision
		gap = true
	}
	w.revision = max(w.revision, update.Revision)
	if gap {
		w.handler.DiscoveryGap()
	}
}

// applyNumberedAnew takes the history of a service that has begun its numbers anew. The
// handler gets the list that it comes to, at once: on the way there endpoints that drain
// would be active again.
func (w *Watcher) applyNumberedAnew(update *Update) {
	if len(update.Events) == 0 {
		return
	}
	w.numberedAnew = false
	for _, event := range update.Events {
		w.revision = event.Revision
		if event.Endpoints != nil {
			w.updateList(event.Endpoints, event.Endpoints.Whole)
		}
		if event.Purge != nil {
			w.applyPurge(event.Purge)
		}
	}
	w.revision = max(w.revision, update.Revision)
	w.listed = true
	_, list := w.Snapshot()
	w.handler.EndpointsChanged(policy.ScopeSnapshot, list)
}

func (w *Watcher) applyEndpoints(change *endpointChange) {
	scope := policy.ScopeDiff
	switch {
	case !w.listed:
		scope = policy.ScopeInitial
	case change.Whole:
		scope = policy.ScopeSnapshot
	}
	w.listed = true
	w.handler.EndpointsChanged(scope, w.updateList(change, scope != policy.ScopeDiff))
}

// updateList takes a change into the list, or in place of it, and returns its entries.
func (w *Watcher) updateList(change *endpointChange, replace bool) (list []engine.Endpoint) {
	if replace {
		clear(w.endpoints)
	}
	for _, entry := range change.Entries {
		endpoint := entry.engineEndpoint()
		list = append(list, endpoint)
		w.endpoints[endpoint.ID] = endpoint
		if endpoint.State == policy.EndpointGone {
			delete(w.endpoints, endpoint.ID)
		}
	}
	return list
}

func (w *Watcher) applyPurge(purge *purge) {
	var object string
	var group int64
	if purge.namesObject() {
		object = *purge.Object
	} else {
		group = *purge.Group
	}
	w.handler.Purge(object, group, purge.UnixMillis*1000)
}

// Snapshot returns the revision of the last event and the endpoint list, sorted
// by id, for the other generation of this router. It is called while Run is not
// running.
func (w *Watcher) Snapshot() (revision int64, list []engine.Endpoint) {
	for _, id := range slices.Sorted(maps.Keys(w.endpoints)) {
		list = append(list, w.endpoints[id])
	}
	return w.revision, list
}

// Resume goes on behind the revision up to which the other generation of this
// router has followed the events, with its list, unless this watcher has come
// further already. The handler gets the whole list in any case.
func (w *Watcher) Resume(revision int64, list []engine.Endpoint) {
	if revision >= w.revision && len(list) > 0 {
		w.revision = revision
		w.listed = true
		w.gapAt = 0
		w.numberedAnew = false
		clear(w.endpoints)
		for _, endpoint := range list {
			w.endpoints[endpoint.ID] = endpoint
		}
	}
	if _, list = w.Snapshot(); len(list) > 0 {
		w.handler.EndpointsChanged(policy.ScopeSnapshot, list)
	}
}
