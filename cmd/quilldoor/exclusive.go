package main

import (
	"context"
	"time"

	"quilldoor/internal/gateway"
	"quilldoor/internal/membership"
)

// openExclusive opens what one process of a router owns at a time: the disk cache's
// folder, the gateway, the membership, the files that it writes.
func (r *router) openExclusive(state *membership.HandoffState) error {
	operator := r.config.operator
	if operator.DiskCache != nil {
		if err := r.openDiskCache(operator.DiskCache); err != nil {
			return err
		}
	}
	if operator.Gateway != nil {
		if err := r.openGateway(operator.Gateway); err != nil {
			return err
		}
	}
	if operator.Membership != nil {
		if err := r.openMembership(operator.Membership, state); err != nil {
			return err
		}
	}
	r.startWriters()
	return nil
}

func (r *router) startWriters() {
	operator := r.config.operator
	ctx, stop := context.WithCancel(context.Background())
	r.stopWriters = stop
	if operator.Metrics != nil {
		r.writers.Go(func() { r.writeMetrics(ctx, operator.Metrics) })
	}
	if g := r.gateway; g != nil && operator.Gateway.StatusFile != "" {
		r.writers.Go(func() { r.writeGatewayStatus(ctx, g, operator.Gateway.StatusFile) })
	}
}

func (r *router) endWriters() {
	if r.stopWriters != nil {
		r.stopWriters()
		r.writers.Wait()
		r.stopWriters = nil
	}
}

func (r *router) closeDiskCache() {
	if cache := r.diskCache.Swap(nil); cache != nil {
		r.downstream.SetDiskCache(nil)
		cache.Close()
	}
}

// closeExclusive closes what openExclusive opened. Requests that are in flight at other
// sites end with the gateway.
func (r *router) closeExclusive() {
	r.endWriters()
	if r.membership != nil {
		r.membership.Close()
		r.membership = nil
	}
	if r.gateway != nil {
		r.gateway.Close()
		r.gateway = nil
	}
	r.closeDiskCache()
}

// handOffExclusive releases what openExclusive opened to another generation: members and
// peers notice nothing. Requests that are in flight at other sites come back to this
// process.
func (r *router) handOffExclusive() (state *membership.HandoffState) {
	r.endWriters()
	if r.membership != nil {
		state = r.membership.Handoff()
		r.membership, r.gossip = nil, nil
	}
	if g := r.gateway; g != nil {
		r.downstream.SetGateway(nil)
		g.Drain()
		g.StopAccepting()
		r.gateway, r.gatewayKeys, r.gatewayHost = nil, nil, nil
		go closeWhenIdle(g, r.limits.MaxRequestTimeout)
	}
	r.closeDiskCache()
	return state
}

// closeWhenIdle closes a gateway once its requests have ended, at the latest after the
// timeout.
func closeWhenIdle(g *gateway.Gateway, timeout time.Duration) {
	const pollInterval = 20 * time.Millisecond
	for until := time.Now().Add(timeout); time.Now().Before(until) && !g.Idle(); {
		time.Sleep(pollInterval)
	}
	g.Close()
}
