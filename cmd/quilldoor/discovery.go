package main

import (
	"context"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/discovery"
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
)

// watchDiscovery starts to watch discovery at the router's present address.
func (r *router) watchDiscovery() {
	r.stopWatching = startWatcher(r.ctx, r.watcher, r.discoveryAddr)
}

// startWatcher runs a watcher until the function it returns is called, which waits for
// its end: two never run at once, so that no event is applied twice.
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

// EndpointsChanged takes changes of the endpoint list from discovery.
func (r *router) EndpointsChanged(scope policy.UpdateScope, list []engine.Endpoint) {
	if r.gossip != nil {
		list = r.gossip.mergeLocal(scope, list)
	}
	r.applyEndpoints(scope, list)
}

// applyEndpoints applies changes that discovery or other routers have told.
func (r *router) applyEndpoints(scope policy.UpdateScope, list []engine.Endpoint) {
	r.upstream.Drain(r.events.UpdateEndpoints(clock(), scope, list))
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

// Purge takes a purge from discovery, made at the given Unix microseconds.
func (r *router) Purge(object string, group, at int64) {
	if r.gossip != nil {
		r.gossip.recordPurge(object, group, at)
	}
	r.applyPurge(object, group, at)
}

// applyPurge takes a purge from discovery, or from a router of this site.
func (r *router) applyPurge(object string, group, at int64) {
	if r.gatewayHost != nil {
		r.gatewayHost.purges.add(object, group, at)
	}
	r.purgeCopies(object, group, at)
}

// purgeCopies forbids older copies here. Unlike applyPurge it does not tell peers of
// other sites, who may be where the purge comes from.
func (r *router) purgeCopies(object string, group, at int64) {
	r.events.Purge(clock(), object, group, at)
	if cache := r.diskCache.Load(); cache != nil {
		cache.Purge(object, group, at)
	}
	r.log.WithFields(logrus.Fields{"object": object, "group": group, "age_ms": (clock() - at) / microsPerMilli}).Debug("purge")
}

// DiscoveryLost tells of the first failed poll in a row.
func (r *router) DiscoveryLost(err error) {
	r.log.WithError(err).Warn("discovery lost, the last endpoint list stays")
	if cache := r.diskCache.Load(); cache != nil {
		cache.SetDiscoveryLost(true)
	}
}

// DiscoveryRestored tells that polls go through again.
func (r *router) DiscoveryRestored() {
	r.log.Info("discovery restored")
	if cache := r.diskCache.Load(); cache != nil {
		cache.SetDiscoveryLost(false)
	}
}

// DiscoveryGap tells that purges may have been missed.
func (r *router) DiscoveryGap() {
	if cache := r.diskCache.Load(); cache != nil {
		r.log.Warn("discovery events missed, copies on disk are revalidated")
		cache.HistoryGap()
	}
}
