package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/discovery"
)

// serve runs the router until a signal arrives on term. A signal on hup reloads the
// configuration.
func (r *router) serve(term, hup <-chan os.Signal) error {
	r.logStart()
	if r.agent == nil { // else the agent opens them, once the previous generation has released them
		defer r.closeExclusive()
		if err := r.openExclusive(nil); err != nil {
			return err
		}
	}
	if err := growDescriptorTable(r.limits.MaxDescriptors); err != nil {
		r.log.WithError(err).Warn("descriptor table not grown")
	}
	listener, err := r.listen()
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	r.listener = listener
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	r.ctx = ctx
	r.watcher.Apply(r.config.initialUpdate)
	r.watchDiscovery()
	go r.runBackground(ctx)
	go r.downstream.MonitorStalls(ctx.Done())
	if r.agent != nil {
		defer r.closeExclusive()
	}
	if err := r.run(ctx, term, hup); err != nil {
		return err
	}
	r.shutDown()
	return nil
}

func (r *router) logStart() {
	r.log.WithFields(logrus.Fields{
		"listen":                   r.config.Listen,
		"discovery":                r.config.DiscoveryAddr,
		"zone":                     r.policy.Zone,
		"traffic_classes":          len(r.policy.Classes),
		"cores":                    r.config.Cores,
		"memory_mb":                r.config.MemoryMB,
		"max_clients":              r.limits.MaxClients,
		"max_upstream_connections": r.limits.MaxUpstreamConns,
		"version":                  version(),
	}).Info("starting")
}

// run serves until a signal or the supervisor ends the router.
func (r *router) run(ctx context.Context, term, hup <-chan os.Signal) error {
	if r.agent == nil {
		r.accept()
		return r.serveUntilSignal(term, hup)
	}
	if err := r.agent.Run(ctx, r.host, term, r.log); err != nil {
		return err
	}
	go r.agent.SendHeartbeats(ctx, r.host)
	return nil
}

func (r *router) serveUntilSignal(term, hup <-chan os.Signal) error {
	for {
		select {
		case err := <-r.served:
			return fmt.Errorf("listen: %w", err)
		case s := <-term:
			r.log.WithField("signal", s.String()).Info("shutting down, still accepting")
			return nil
		case <-hup:
			r.reload()
		}
	}
}

// shutDown answers the requests that the router has accepted and those that still arrive, and
// closes all connections.
func (r *router) shutDown() {
	if r.gateway != nil {
		r.gateway.Drain()
	}
	if r.membership != nil {
		r.membership.Leave()
	}
	if r.served != nil {
		r.stopAcceptingGradually()
	} else {
		_ = r.listener.Close()
		r.downstream.AwaitMigration(r.limits.ClientIdleTimeout)
	}
	clients := r.downstream.Drain(r.limits.DrainTimeout)
	r.upstream.Close()
	requests, _ := r.engine.Count()
	r.log.WithFields(logrus.Fields{"clients_left": clients, "requests_left": requests}).Info("stopped")
}

// stopAcceptingGradually serves connections that clients are still opening when the signal
// arrives, and requests that still arrive on open ones.
func (r *router) stopAcceptingGradually() {
	_ = r.listener.SetDeadline(time.Now().Add(r.limits.ShutdownAcceptTime))
	time.AfterFunc(r.limits.ShutdownAcceptTime, func() { r.downstream.SuspendClientLimit(true) })
	r.awaitServed()
	r.acceptBacklog()
	_ = r.listener.Close()
	r.downstream.SetMigrating(true) // each further response is the last on its connection
	time.Sleep(r.limits.ShutdownServeTime)
}

// reload reads the configuration again and applies the values that can change while the router
// runs.
func (r *router) reload() {
	updated, err := r.load()
	if err != nil {
		r.log.WithError(err).Error("new configuration refused, the old one stays")
		return
	}
	immutable := r.config.ImmutableChanges(updated.Config)
	immutable = append(immutable, r.config.operator.ImmutableChanges(updated.operator)...)
	for _, key := range immutable {
		r.log.WithField("key", key).Warn("new configuration: takes a restart, the old value stays")
	}
	r.reloadGatewayKeys()
	r.stopWatching()
	r.watcher.Apply(&discovery.Update{Events: updated.initialUpdate.Events})
	r.discoveryAddr = updated.DiscoveryAddr
	r.watchDiscovery()
	r.log.WithField("discovery", updated.DiscoveryAddr).Info("new configuration in force")
}

func (r *router) reloadGatewayKeys() {
	if r.gatewayKeys == nil {
		return
	}
	if err := r.gatewayKeys.Load(); err != nil {
		r.log.WithError(err).Error("gateway: new certificate refused, the old one stays")
		return
	}
	r.log.Info("gateway: certificate read again")
}
