package main

import (
	"runtime/debug"
	"time"

	"quilldoor/internal/clock"
	"quilldoor/internal/engine"
	"quilldoor/internal/handoff"
	"quilldoor/internal/policy"
	"quilldoor/internal/upgrade"
)

// generation is the router as one of a supervisor's processes, which takes over from another
// process of the same router and hands over to another one. It implements
// upgradeagent.Host.
type generation struct{ *router }

// Acquire takes over from another generation, or starts cold if state is nil. With stateIsOwn
// the state is the one that this process released earlier, and the process serves again. With
// budgetsMaybeSpent another process may have spent this router's slow-start budgets.
func (g *generation) Acquire(state *handoff.State, stateIsOwn, budgetsMaybeSpent bool) error {
	g.stopWatching()
	defer g.watchDiscovery()
	if state == nil {
		state = &handoff.State{}
	}
	if stateIsOwn && state.Membership != nil {
		state.Membership.SkipSuccessorNumbers()
	}
	g.slowStartHoldUntil = 0
	if budgetsMaybeSpent {
		g.slowStartHoldUntil = clock.Now() + g.policy.Contract.OverloadWindow
	}
	g.adoptPurges(state.Purges)
	g.engine.AddExecutedIDs(state.Executed)
	if err := g.openExclusive(state.Membership); err != nil {
		return err
	}
	g.watcher.Resume(state.Revision, fromHandoff(state.Endpoints))
	if state.Learned != nil && !stateIsOwn {
		g.restore(state.Learned)
	}
	g.engine.HoldSlowStart(clock.Now(), g.slowStartHoldUntil)
	g.accept()
	return nil
}

// adoptPurges applies the purges that another generation knows and this one doesn't. It precedes
// openExclusive, which passes all known purges to what it opens.
func (g *generation) adoptPurges(purges []handoff.Purge) {
	for _, purge := range purges {
		if g.purges.add(purge.Object, purge.Group, purge.At) {
			g.purgeCopies(purge.Object, purge.Group, purge.At)
		}
	}
}

// restore restores the state that another generation has learned.
func (g *generation) restore(snapshot *policy.Snapshot) {
	if err := g.engine.Restore(snapshot); err != nil { // the router serves without it, as after a cold start
		g.log.WithError(err).Warn("upgrade: snapshot has another shape, starting without it")
	}
}

// Release stops accepting clients and returns the state that another generation continues
// from. This process sends no further attempts to endpoints in slow start, since their
// budgets are handed over with the snapshot.
func (g *generation) Release() *handoff.State {
	const never = 1 << 62 // microseconds
	g.stopAccepting()
	g.engine.HoldSlowStart(clock.Now(), never)
	g.stopWatching()
	defer g.watchDiscovery()
	learned := g.engine.Snapshot()
	learned.SlowStartHoldUntil = g.slowStartHoldUntil
	membershipState := g.handOffExclusive()
	revision, list := g.watcher.Snapshot()
	return &handoff.State{
		Learned:    learned,
		Purges:     g.purgesToHandOff(),
		Executed:   g.engine.ExecutedIDs(),
		Membership: membershipState,
		Revision:   revision,
		Endpoints:  toHandoff(list),
	}
}

// stopAccepting leaves new connections to the other process that shares the listening socket,
// and asks the clients of open connections to reconnect.
func (g *generation) stopAccepting() {
	_ = g.listener.SetDeadline(time.Now())
	g.downstream.SuspendClientLimit(true)
	g.awaitServed()
	g.served = nil
	g.downstream.SetMigrating(true)
}

func (g *generation) purgesToHandOff() (purges []handoff.Purge) {
	for _, purge := range g.purges.all() {
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

// SetOtherAttempts sets the attempts that other generations have in flight, by endpoint and
// kind. Concurrency limits apply to the attempts of all generations together.
func (g *generation) SetOtherAttempts(inFlight map[string]policy.AttemptCounts) {
	g.engine.SetOtherGeneration(clock.Now(), inFlight)
}

// SendToPeer sends the supervisor's message to another router of the site, if this generation
// holds the membership.
func (g *generation) SendToPeer(to string, body []byte) {
	if g.membership != nil {
		g.membership.SendPayload(to, body)
	}
}

// Reload reads the configuration again.
func (g *generation) Reload() { g.reload() }

// Ready reports whether a complete endpoint list has been applied.
func (g *generation) Ready() bool { return g.downstream.IsReady() }

// Heartbeat returns a message to the supervisor with this generation's counts.
func (g *generation) Heartbeat() *handoff.Message {
	requests, _ := g.engine.Count()
	return &handoff.Message{
		Requests:            upgrade.RequestCounts(g.downstream.RequestCounts()),
		OutstandingAttempts: g.engine.InFlight(),
		OpenRequests:        requests,
		Activity:            g.activity.Take(),
	}
}
