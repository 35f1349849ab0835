package main

import (
	"context"
	"time"

	"quilldoor/internal/gateway"
	"quilldoor/internal/membership"
)

// openExclusive opens the resources that only one process of a router may own at a time: the
// disk cache's folder, the gateway, the membership and the files that the router writes. The
// state is the membership of the process before, or nil.
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

// startWriters starts to write the metrics file and the gateway's status file, as far as they
// are configured.
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

// endWriters stops the writers of startWriters and waits for their end.
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

// closeExclusive closes the resources that openExclusive opened. Closing the gateway ends
// requests that are in flight at other sites.
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

// handOffExclusive releases the resources that openExclusive opened, so that another
// generation can open them without an interruption for members and peers. This process still
// receives the responses to its requests that are in flight at other sites.
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

// closeWhenIdle closes a gateway once it has no request in flight, at the latest after the
// timeout.
func closeWhenIdle(g *gateway.Gateway, timeout time.Duration) {
	const pollInterval = 20 * time.Millisecond
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline) && !g.Idle(); {
		time.Sleep(pollInterval)
	}
	g.Close()
}
