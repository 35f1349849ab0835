package main

import (
	"runtime/debug"
	"time"

	"quilldoor/internal/engine"
	"quilldoor/internal/handoff"
	"quilldoor/internal/policy"
	"quilldoor/internal/upgrade"
)

// generation is the router as its supervisor sees it: a process that takes the place of
// another one of the same router, and gives it back. It is the agent's host.
type generation struct{ *router }

// Acquire takes the place of another generation, or begins from nothing where state is
// nil. With own the state is this process's, which gets its place back; with
// budgetsMaybeSpent the earlier process may have spent this router's slow-start budgets.
func (g *generation) Acquire(state *handoff.State, own, budgetsMaybeSpent bool) error {
	g.stopWatching()
	defer g.watchDiscovery()
	if state == nil {
		state = &handoff.State{}
	}
	if own && state.Membership != nil {
		state.Membership.Reclaim()
	}
	g.slowStartHoldUntil = 0
	if budgetsMaybeSpent {
		g.slowStartHoldUntil = clock() + g.policy.Contract.OverloadWindow
	}
	if err := g.openExclusive(state.Membership); err != nil {
		return err
	}
	g.watcher.Resume(state.Revision, fromHandoff(state.Endpoints))
	if g.gatewayHost != nil {
		for _, purge := range state.Purges {
			g.gatewayHost.purges.add(purge.Object, purge.Group, purge.At)
		}
	}
	if state.Learned != nil && !own {
		g.restore(state.Learned)
	}
	g.engine.HoldSlowStart(clock(), g.slowStartHoldUntil)
	g.accept()
	return nil
}

func (g *generation) restore(snapshot *policy.Snapshot) {
	if err := g.engine.Restore(snapshot); err != nil { // it serves without, as after a start from nothing
		g.log.WithError(err).Warn("upgrade: snapshot has another shape, starting without it")
	}
}

// Release stops accepting and hands over what another generation goes on with. From now
// on this process sends nothing to warming endpoints: their budgets go with the snapshot.
func (g *generation) Release() *handoff.State {
	const never = 1 << 62
	g.stopAccepting()
	g.engine.HoldSlowStart(clock(), never)
	g.stopWatching()
	defer g.watchDiscovery()
	learned := g.engine.Snapshot()
	learned.SlowStartHoldUntil = g.slowStartHoldUntil
	purges := g.purgesToHandOff() // before the gateway, which knows them, is handed off
	member := g.handOffExclusive()
	revision, list := g.watcher.Snapshot()
	return &handoff.State{
		Learned:    learned,
		Purges:     purges,
		Membership: member,
		Revision:   revision,
		Endpoints:  toHandoff(list),
	}
}

// stopAccepting leaves new connections to another process, which shares the socket, and
// asks clients of open ones to connect again.
func (g *generation) stopAccepting() {
	_ = g.listener.SetDeadline(time.Now())
	g.downstream.SuspendClientLimit(true)
	g.awaitServed()
	g.served = nil
	g.downstream.SetMigrating(true)
}

func (g *generation) purgesToHandOff() (purges []handoff.Purge) {
	if g.gatewayHost == nil {
		return nil
	}
	for _, purge := range g.gatewayHost.purges.all() {
		purges = append(purges, handoff.Purge{Object: purge.object, Group: purge.group, At: purge.at})
	}
	return purges
}

func fromHandoff(list []handoff.Endpoint) []engine.Endpoint {
	endpoints := make([]engine.Endpoint, len(list))
	for i, endpoint := range list {
		endpoints[i] = engine.Endpoint{
			Address: endpoint.Address,
			Endpoint: policy.Endpoint{
				ID:        endpoint.ID,
				Zone:      endpoint.Zone,
				Kind:      endpoint.Kind,
				Cell:      endpoint.Cell,
				State:     endpoint.State,
				Weight:    endpoint.Weight,
				StartedAt: endpoint.StartedAt,
			},
		}
	}
	return endpoints
}

func toHandoff(list []engine.Endpoint) (endpoints []handoff.Endpoint) {
	for _, endpoint := range list {
		endpoints = append(endpoints, handoff.Endpoint{
			ID:        endpoint.ID,
			Zone:      endpoint.Zone,
			Kind:      endpoint.Kind,
			Cell:      endpoint.Cell,
			State:     endpoint.State,
			Weight:    endpoint.Weight,
			StartedAt: endpoint.StartedAt,
			Address:   endpoint.Address,
		})
	}
	return endpoints
}

// SetLimits sets this generation's share of the machine.
func (g *generation) SetLimits(share upgrade.Resources) {
	limits := g.config.LimitsFor(share.MemoryMB, share.Descriptors)
	debug.SetMemoryLimit(limits.MemoryBytes)
	g.buffers.SetLimit(limits.MaxBufferedBytes)
	g.downstream.SetMaxClients(limits.MaxClients)
	g.upstream.SetMaxConns(limits.MaxUpstreamConns)
	g.log.WithField("memory_mb", share.MemoryMB).WithField("descriptors", share.Descriptors).Info("upgrade: limits set")
}

// SetOtherAttempts takes the attempts that the other generation has in flight, by
// endpoint and kind: concurrency limits are for both together.
func (g *generation) SetOtherAttempts(inFlight map[string]policy.AttemptCounts) {
	g.engine.SetOtherGeneration(clock(), inFlight)
}

// SendToPeer sends a supervisor's message, if this generation is the member.
func (g *generation) SendToPeer(to string, body []byte) {
	if g.membership != nil {
		g.membership.SendPayload(to, body)
	}
}

// Reload reads the configuration again.
func (g *generation) Reload() { g.reload() }

// Ready tells whether a whole endpoint list is known.
func (g *generation) Ready() bool { return g.downstream.IsReady() }

// Heartbeat tells the supervisor what this generation does.
func (g *generation) Heartbeat() *handoff.Message {
	requests, _ := g.engine.Count()
	return &handoff.Message{
		Requests:            upgrade.RequestCounts(g.downstream.RequestCounts()),
		OutstandingAttempts: g.engine.InFlight(),
		OpenRequests:        requests,
		Activity:            g.activity.Take(),
	}
}
