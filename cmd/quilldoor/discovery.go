package main

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/clock"
	"quilldoor/internal/discovery"
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
)

// watchDiscovery starts to watch discovery at its current address.
func (r *router) watchDiscovery() {
	r.stopWatching = startWatcher(r.ctx, r.watcher, r.discoveryAddr)
}

// startWatcher starts a watcher and returns a function that stops it. The function returns
// once the watcher has ended, so that two watchers never apply the same event.
func startWatcher(ctx context.Context, watcher *discovery.Watcher, addr string) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		watcher.Run(ctx, addr)
	}()
	return func() {
		cancel()
		<-done
	}
}

// EndpointsChanged applies an endpoint list or changes of it from discovery, with the later
// states that other routers of the site have announced.
func (r *router) EndpointsChanged(scope policy.UpdateScope, list []engine.Endpoint) {
	if r.gossip != nil {
		list = r.gossip.mergeLocal(scope, list)
	}
	r.applyEndpoints(scope, list)
}

// applyEndpoints applies changes of the endpoint list from discovery or from other routers
// of the site.
func (r *router) applyEndpoints(scope policy.UpdateScope, list []engine.Endpoint) {
	r.syncClock()
	r.upstream.Drain(r.events.UpdateEndpoints(clock.Now(), scope, list))
	for _, endpoint := range list {
		r.log.WithFields(logrus.Fields{
			"endpoint": endpoint.ID, "address": endpoint.Address, "zone": endpoint.Zone, "kind": endpoint.Kind,
			"state": endpoint.State, "started_ms": endpoint.StartedAt / microsPerMilli,
		}).Debug("endpoint listed")
	}
	_, endpoints := r.engine.Count()
	r.log.WithFields(logrus.Fields{
		"scope": scope, "changes": len(list), "endpoints": endpoints,
	}).Info("endpoint list changed")
	if r.downstream.MarkReady() {
		r.log.Info("ready")
	}
}

// Purge applies a purge from discovery and records it for the other routers of the site. It
// was made at the time at, in Unix microseconds.
func (r *router) Purge(object string, group, at int64) {
	if r.gossip != nil {
		r.gossip.recordPurge(object, group, at)
	}
	r.applyPurge(object, group, at)
}

// applyPurge applies a purge from discovery or from a router of this site, and records it
// for the gateway's peers and for components that are opened later.
func (r *router) applyPurge(object string, group, at int64) {
	r.purges.add(object, group, at)
	r.purgeCopies(object, group, at)
}

// purgeCopies invalidates this router's older copies. Unlike applyPurge it does not record
// the purge for peers of other sites, since it may come from one of them.
func (r *router) purgeCopies(object string, group, at int64) {
	r.syncClock()
	r.events.Purge(clock.Now(), object, group, at)
	if cache := r.diskCache.Load(); cache != nil {
		cache.Purge(object, group, at)
	}
	r.log.WithFields(logrus.Fields{"object": object, "group": group, "age_ms": (clock.System() - at) / microsPerMilli}).Debug("purge")
}

// DiscoverySlow handles responses that are late by a delay.
func (r *router) DiscoverySlow(delay time.Duration) {
	r.log.WithField("delay_ms", delay.Milliseconds()).Warn("discovery slow, changes arrive late")
}

// DiscoveryLost handles the first failed poll in a row.
func (r *router) DiscoveryLost(err error) {
	r.log.WithError(err).Warn("discovery lost, the last endpoint list stays")
}

// DiscoveryRestored handles the first response after DiscoveryLost, or the first timely ones
// after DiscoverySlow.
func (r *router) DiscoveryRestored() {
	r.log.Info("discovery restored")
}

// DiscoveryOverdue handles a change of the time since which events may be unknown. A disk cache
// that is opened later starts from the latest one.
func (r *router) DiscoveryOverdue(since time.Time) {
	r.overdueSince = since
	if cache := r.diskCache.Load(); cache != nil {
		cache.SetDiscoveryOverdue(since)
	}
}

// DiscoveryGap handles missed events, which may have been purges: copies on disk are
// revalidated.
func (r *router) DiscoveryGap() {
	if cache := r.diskCache.Load(); cache != nil {
		r.log.Warn("discovery events missed, copies on disk are revalidated")
		cache.HistoryGap()
	}
}
