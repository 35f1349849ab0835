package main

import (
	"context"
	"errors"
	"net"
	"runtime/debug"
	"time"

	"quilldoor/internal/engine"
	"quilldoor/internal/gateway"
	"quilldoor/internal/handoff"
	"quilldoor/internal/membership"
	"quilldoor/internal/policy"
	"quilldoor/internal/upgrade"
)

// What makes a wrong variant of the program; tests of changes and rollouts set it.
var (
	wrongly   func(when string, r *router)
	mishears  func([]engine.Endpoint) // changes what is heard of the list of servers
	forgetful bool                    // purges go unheard
	lags      func(h *engine.Attempt, ended func())
)

// acquire takes what one process of a router owns at a time: the disk tier's folder,
// the gateway, its place among the members, the files that it writes.
func (r *router) acquire(b *membership.HandoffState) error {
	own := r.setup.operator
	if own.DiskCache != nil {
		if err := r.openShelf(own.DiskCache); err != nil {
			return err
		}
	}
	if own.Gateway != nil {
		if err := r.openGateway(own.Gateway); err != nil {
			return err
		}
	}
	if own.Membership != nil {
		if err := r.openMembers(own.Membership, b); err != nil {
			return err
		}
	}
	ctx, stop := context.WithCancel(context.Background())
	r.stop = stop
	if own.Metrics != nil {
		r.writers.Go(func() { r.publish(ctx, own.Metrics) })
	}
	if g := r.gate; g != nil && own.Gateway.StatusFile != "" {
		r.writers.Go(func() { r.tellStatus(ctx, g, own.Gateway.StatusFile) })
	}
	return nil
}

// release ends all of that, and what is across with it.
func (r *router) release() {
	if r.stop != nil {
		r.stop()
		r.writers.Wait()
		r.stop = nil
	}
	if r.members != nil {
		r.members.Close()
		r.members = nil
	}
	if r.gate != nil {
		r.gate.Close()
		r.gate = nil
	}
	if own := r.shelf.Swap(nil); own != nil {
		r.front.SetDiskCache(nil)
		own.Close()
	}
}

// passOn lets it go for another generation, without a word to anybody. What is
// across to other sites comes back to this process.
func (r *router) passOn() (b *membership.HandoffState) {
	r.stop()
	r.writers.Wait()
	r.stop = nil
	if r.members != nil {
		b = r.members.Handoff()
		r.members, r.peers = nil, nil
	}
	if g := r.gate; g != nil {
		r.front.SetGateway(nil)
		g.Drain()
		g.StopAccepting()
		r.gate, r.keys, r.host = nil, nil, nil
		go closeIdle(g, r.limit.MaxRequestTimeout)
	}
	if own := r.shelf.Swap(nil); own != nil {
		r.front.SetDiskCache(nil)
		own.Close()
	}
	return b
}

func closeIdle(g *gateway.Gateway, within time.Duration) {
	const every = 20 * time.Millisecond
	for until := time.Now().Add(within); time.Now().Before(until) && !g.Idle(); {
		time.Sleep(every)
	}
	g.Close()
}

// listen opens the clients' socket, or takes the one that a keeper has handed down.
func (r *router) listen() (*net.TCPListener, error) {
	var l net.Listener
	var err error
	if r.kept == nil {
		l, err = net.Listen("tcp", r.setup.Listen)
	} else {
		l, err = r.kept.Listener("listen")
	}
	if err != nil {
		return nil, err
	}
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil, errors.New("no TCP socket")
	}
	return tcp, nil
}

// owner is the router as a generation.
type owner struct {
	*router
	ctx  context.Context
	load func() (*setup, error)
}

// Acquire takes the place of another generation, or begins from nothing.
func (o *owner) Acquire(s *handoff.State, mine, hold bool) error {
	r := o.router
	r.unfollow()
	defer r.follow(o.ctx)
	if s == nil {
		s = &handoff.State{}
	}
	if mine && s.Membership != nil {
		s.Membership.Reclaim()
	}
	if hold {
		r.holdTill = clock() + r.set.Contract.OverloadWindow
	} else {
		r.holdTill = 0
	}
	if err := r.acquire(s.Membership); err != nil {
		return err
	}
	list := make([]engine.Endpoint, len(s.Servers))
	for i, x := range s.Servers {
		list[i] = engine.Endpoint{Address: x.Endpoint, Endpoint: policy.Endpoint{
			ID: x.Server, Zone: x.Zone, Kind: x.Kind, Cell: x.Cell,
			State: x.State, Weight: x.Weight, StartedAt: x.Born,
		}}
	}
	r.follower.Resume(s.Revision, list)
	if r.host != nil {
		for _, p := range s.Purges {
			r.host.purges.add(p.Object, p.Group, p.At)
		}
	}
	if s.Learned != nil && !mine {
		if err := r.core.Restore(s.Learned); err != nil { // it serves without, as after a start from nothing
			r.log.WithError(err).Warn("change: what was learned is of another text, it begins anew")
		}
	}
	r.core.HoldSlowStart(clock(), r.holdTill)
	r.accept()
	if wrongly != nil {
		wrongly("own", r)
	}
	return nil
}

// Release accepts nothing more, and spends nothing on cold servers: the budget goes
// with what is known of them.
func (o *owner) Release() *handoff.State {
	const never = 1 << 62
	r := o.router
	r.listener.SetDeadline(time.Now())
	r.front.SuspendClientLimit(true)
	_ = <-r.served // its end was asked for
	r.served = nil
	r.front.SetMigrating(true)
	r.core.HoldSlowStart(clock(), never)
	r.unfollow()
	defer r.follow(o.ctx)
	s := &handoff.State{Learned: r.core.Snapshot()}
	s.Learned.SlowStartHoldUntil = r.holdTill
	if r.host != nil {
		for _, p := range r.host.purges.known() {
			s.Purges = append(s.Purges, handoff.Purge{Object: p.object, Group: p.group, At: p.at})
		}
	}
	s.Membership = r.passOn()
	rev, list := r.follower.Snapshot()
	s.Revision = rev
	for _, x := range list {
		s.Servers = append(s.Servers, handoff.Server{
			Server: x.ID, Zone: x.Zone, Kind: x.Kind, Cell: x.Cell, State: x.State,
			Weight: x.Weight, Born: x.StartedAt, Endpoint: x.Address,
		})
	}
	return s
}

// SetLimits sets this generation's part of the machine.
func (o *owner) SetLimits(u upgrade.Resources) {
	l := o.setup.LimitsFor(u.MemoryMB, u.Descriptors)
	debug.SetMemoryLimit(l.MemoryBytes)
	o.bodies.SetLimit(l.MaxBufferedBytes)
	o.front.SetMaxClients(l.MaxClients)
	o.up.SetMaxConns(l.MaxUpstreamConns)
	o.log.WithField("memory_mb", u.MemoryMB).WithField("sockets", u.Descriptors).Info("change: part of the machine")
}

func (o *owner) SetOtherAttempts(outs map[string][3]float64) {
	o.core.SetOtherGeneration(clock(), outs)
}

// SendToPeer sends a keeper's letter, if this generation is the one among the members.
func (o *owner) SendToPeer(to string, body []byte) {
	if o.members != nil {
		o.members.SendPayload(to, body)
	}
}

func (o *owner) Reload() { o.reload(o.ctx, o.load) }

func (o *owner) Ready() bool {
	if wrongly != nil {
		wrongly("ready", o.router)
	}
	return o.front.IsReady()
}

func (o *owner) Heartbeat() *handoff.Message {
	if wrongly != nil {
		wrongly("beat", o.router)
	}
	txns, _ := o.core.Count()
	return &handoff.Message{Requests: upgrade.RequestCounts(o.front.RequestCounts()), OutstandingAttempts: o.core.InFlight(), OpenRequests: txns, Activity: o.acts.Take()}
}
