package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/discovery"
)

// serve runs the router until a signal comes on term. Those on hup make it load the
// configuration again.
func serve(config *startConfig, logger *logrus.Logger, term, hup <-chan os.Signal, load func() (*startConfig, error)) error {
	r, err := newRouter(config, logger)
	if err != nil {
		return err
	}
	r.logStart()
	if r.agent == nil { // else the agent opens it, once the generation before has let go
		defer r.closeExclusive()
		if err := r.openExclusive(nil); err != nil {
			return err
		}
	}
	if err := growDescriptorTable(config.Limits.MaxDescriptors); err != nil {
		r.log.WithError(err).Warn("descriptor table not grown")
	}
	if r.listener, err = r.listen(); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	r.watcher.Apply(config.initialUpdate)
	r.watchDiscovery(ctx)
	go r.runBackground(ctx)
	go r.downstream.MonitorStalls(ctx.Done())
	if r.agent != nil {
		defer r.closeExclusive()
	}
	if err := r.run(ctx, term, hup, load); err != nil {
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

// run serves until the router is to end.
func (r *router) run(ctx context.Context, term, hup <-chan os.Signal, load func() (*startConfig, error)) error {
	if r.agent == nil {
		r.accept()
		return r.serveUntilSignal(ctx, term, hup, load)
	}
	g := &generation{router: r, ctx: ctx, load: load}
	if err := r.agent.Run(ctx, g, term, r.log); err != nil {
		return err
	}
	go r.agent.SendHeartbeats(ctx, g)
	return nil
}

func (r *router) serveUntilSignal(ctx context.Context, term, hup <-chan os.Signal, load func() (*startConfig, error)) error {
	for {
		select {
		case err := <-r.served:
			return fmt.Errorf("listen: %w", err)
		case s := <-term:
			r.log.WithField("signal", s.String()).Info("shutting down, still accepting")
			return nil
		case <-hup:
			r.reload(ctx, load)
		}
	}
}

// shutDown answers what the router has taken, and ends.
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

// stopAcceptingGradually takes the connections that are under way towards the listener
// when the signal comes, and the requests that still come on open ones.
func (r *router) stopAcceptingGradually() {
	_ = r.listener.SetDeadline(time.Now().Add(r.limits.ShutdownAcceptTime))
	time.AfterFunc(r.limits.ShutdownAcceptTime, func() { r.downstream.SuspendClientLimit(true) })
	r.awaitServed()
	r.acceptBacklog()
	_ = r.listener.Close()
	r.downstream.SetMigrating(true) // each further response is the last on its connection
	time.Sleep(r.limits.ShutdownServeTime)
}

// reload reads the configuration again and takes over what can change while it runs.
func (r *router) reload(ctx context.Context, load func() (*startConfig, error)) {
	fresh, err := load()
	if err != nil {
		r.log.WithError(err).Error("new configuration refused, the old one stays")
		return
	}
	immutable := r.config.ImmutableChanges(fresh.Config)
	immutable = append(immutable, r.config.operator.ImmutableChanges(fresh.operator)...)
	for _, key := range immutable {
		r.log.WithField("key", key).Warn("new configuration: takes a restart, the old value stays")
	}
	r.reloadGatewayKeys()
	r.stopWatching()
	r.watcher.Apply(&discovery.Update{Events: fresh.initialUpdate.Events})
	r.discoveryAddr = fresh.DiscoveryAddr
	r.watchDiscovery(ctx)
	r.log.WithField("discovery", fresh.DiscoveryAddr).Info("new configuration in force")
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
