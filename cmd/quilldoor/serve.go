package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/config"
	"quilldoor/internal/discovery"
	"quilldoor/internal/diskcache"
	"quilldoor/internal/diskcache/diskrunner"
	"quilldoor/internal/diskcache/diskstore"
	"quilldoor/internal/downstream"
	"quilldoor/internal/engine"
	"quilldoor/internal/gateway"
	"quilldoor/internal/invariant"
	"quilldoor/internal/membership/transport"
	"quilldoor/internal/operatorconfig"
	"quilldoor/internal/policy"
	"quilldoor/internal/upgradeagent"
	"quilldoor/internal/upstream"
)

// router holds the parts together and tells them of each other's news.
type router struct {
	log    *logrus.Entry
	setup  *setup
	set    policy.Settings
	core   *engine.Engine
	up     *upstream.Pool
	front  *downstream.Server
	bodies *bufferpool.Pool
	limit  *config.Limits
	kick   chan struct{}

	follower *discovery.Watcher
	unfollow func()
	boardAt  string // address of the board that is followed
	listener *net.TCPListener
	served   chan error          // of the front; nil: it accepts nobody
	kept     *upgradeagent.Agent // nil: nobody keeps this router
	holdTill int64               // cold servers get nothing before
	acts     *invariant.Recorder // for the keeper; nil: nobody keeps this router

	// What one process owns at a time (own.go). Changed while the board is not followed.
	shelf   atomic.Pointer[diskrunner.Cache] // nil: off
	gate    *gateway.Gateway
	keys    *gateway.Keys
	members *transport.Agent // nil: off
	peers   *peers           // what is decided by it; nil: off
	host    *host
	stop    context.CancelFunc // of what is written to files
	writers sync.WaitGroup
}

func clock() int64 { return time.Now().UnixMicro() }

// setup is all that a router starts with.
type setup struct {
	*config.Config
	known    *discovery.Update
	operator *operatorconfig.Config
	digest   uint64 // of the settings, where a keeper keeps the router
}

// serve runs the router until a signal comes on term. Those on hup make it load
// the configuration again.
func serve(c *setup, logger *logrus.Logger, term, hup <-chan os.Signal, load func() (*setup, error)) error {
	runtime.GOMAXPROCS(max(int(c.Cores), 1))
	debug.SetMemoryLimit(c.Limits.MemoryBytes)
	r := &router{
		log: logger.WithField("router", c.Name), setup: c, set: c.Settings.PolicySettings(), limit: c.Limits, kick: make(chan struct{}, 1),
		boardAt: c.DiscoveryAddr,
	}
	var err error
	if r.kept, err = upgradeagent.Inherit(os.Getenv); err != nil {
		return err
	}
	if wrongly != nil {
		wrongly("start", r)
	}
	r.core = engine.New(&r.set, c.Seed, func() {
		select {
		case r.kick <- struct{}{}:
		default:
		}
	})
	r.bodies = bufferpool.NewPool(c.Limits.MaxBufferedBytes)
	ended := func(h *engine.Attempt, o engine.Result) { r.core.AttemptEnded(clock(), h, o) }
	if lags != nil {
		ended = func(h *engine.Attempt, o engine.Result) { lags(h, func() { r.core.AttemptEnded(clock(), h, o) }) }
	}
	r.up = upstream.New(c.Limits, r.bodies, ended, r.log)
	r.front = downstream.New(r.core, r.up, r.bodies, c.Limits)
	r.front.SetClientRate(c.ClientBytesPerSecond)
	if r.kept != nil {
		r.acts = invariant.NewRecorder()
		r.front.SetRecorder(r.acts)
	}
	r.log.WithFields(logrus.Fields{
		"listen": c.Listen, "board": c.DiscoveryAddr, "zone": r.set.Zone,
		"rules": len(r.set.Classes), "cores": c.Cores, "memory_mb": c.MemoryMB, "clients_most": c.Limits.MaxClients,
		"upstream_most": c.Limits.MaxUpstreamConns, "version": version(),
	}).Info("starting")
	if r.kept == nil {
		defer r.release()
		if err := r.acquire(nil); err != nil {
			return err
		}
	}
	if err := reserve(c.Limits.MaxDescriptors); err != nil {
		r.log.WithError(err).Warn("descriptor table not grown")
	}
	if r.listener, err = r.listen(); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	r.follower = discovery.New(c.Limits, r)
	r.follower.Apply(c.known)
	r.follow(ctx)
	go r.attend(ctx)
	go r.front.MonitorStalls(ctx.Done())
	if r.kept != nil {
		defer r.release()
		o := &owner{r, ctx, load}
		if err := r.kept.Run(ctx, o, term, r.log); err != nil {
			return err
		}
		go r.kept.SendHeartbeats(ctx, o)
	} else {
		r.accept()
		if err := r.wait(ctx, term, hup, load); err != nil {
			return err
		}
	}
	if r.gate != nil {
		r.gate.Drain()
	}
	if r.members != nil {
		r.members.Leave()
	}
	if r.served != nil {
		// What is under way towards the listener when the signal comes is still taken.
		r.listener.SetDeadline(time.Now().Add(c.Limits.ShutdownAcceptTime))
		time.AfterFunc(c.Limits.ShutdownAcceptTime, func() { r.front.SuspendClientLimit(true) })
		_ = <-r.served // its end was asked for
		r.takeBacklog()
		r.listener.Close()
		r.front.SetMigrating(true) // requests still come on open connections: each is the last on its own
		time.Sleep(c.Limits.ShutdownServeTime)
	} else {
		r.listener.Close()
		r.front.AwaitMigration(c.Limits.ClientIdleTimeout)
	}
	left := r.front.Drain(c.Limits.DrainTimeout)
	r.up.Close()
	txns, _ := r.core.Count()
	r.log.WithFields(logrus.Fields{"clients_left": left, "txns_left": txns}).Info("stopped")
	return nil
}

// wait serves until a signal says to end.
func (r *router) wait(ctx context.Context, term, hup <-chan os.Signal, load func() (*setup, error)) error {
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

// reload reads the configuration again and takes what can change while it runs.
func (r *router) reload(ctx context.Context, load func() (*setup, error)) {
	fresh, err := load()
	if err != nil {
		r.log.WithError(err).Error("new configuration refused, the old one stays")
		return
	}
	for _, key := range append(r.setup.ImmutableChanges(fresh.Config), r.setup.operator.ImmutableChanges(fresh.operator)...) {
		r.log.WithField("key", key).Warn("new configuration: takes a restart, the old value stays")
	}
	if r.keys != nil {
		if err := r.keys.Load(); err != nil {
			r.log.WithError(err).Error("gateway: new certificate refused, the old one stays")
		} else {
			r.log.Info("gateway: certificate read again")
		}
	}
	r.unfollow()
	r.follower.Apply(&discovery.Update{Events: fresh.known.Events})
	r.boardAt = fresh.DiscoveryAddr
	r.follow(ctx)
	r.log.WithField("board", fresh.DiscoveryAddr).Info("new configuration in force")
}

// accept lets clients in.
func (r *router) accept() {
	r.listener.SetDeadline(time.Time{})
	r.front.SuspendClientLimit(false)
	r.front.SetMigrating(false)
	r.served = make(chan error, 1)
	go func(done chan<- error) { done <- r.front.Serve(r.listener) }(r.served)
}

// takeBacklog accepts what the machine has accepted already: a listener takes nothing
// more once its deadline has passed, however late it got to run.
func (r *router) takeBacklog() {
	const soon = 5 * time.Millisecond // what is there is accepted without a wait
	r.listener.SetDeadline(time.Now().Add(soon))
	if err := r.front.Serve(r.listener); err != nil {
		r.log.WithError(err).Warn("backlog of new connections lost")
	}
}

// follow goes on following the board.
func (r *router) follow(ctx context.Context) { r.unfollow = follow(ctx, r.follower, r.boardAt) }

// follow runs the follower at an address until the function it returns is called,
// which waits for its end: two never run at once, and no event is applied twice.
func follow(ctx context.Context, f *discovery.Watcher, addr string) (end func()) {
	ctx, stop := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx, addr)
	}()
	return func() {
		stop()
		<-done
	}
}

// reserve grows the table of descriptors to its bound while nothing waits for
// it. The kernel waits for all cores when it grows the table of a process with
// threads, on busy ones for seconds, and a socket that needs the new place holds
// up the whole runtime meanwhile.
func reserve(sockets int) error {
	var most unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &most); err != nil {
		return err
	}
	top, err := unix.FcntlInt(2, unix.F_DUPFD_CLOEXEC, min(sockets, int(most.Cur))-1)
	if err != nil {
		return err
	}
	return unix.Close(top)
}

// attend does what time brings: the module's timers, hops' time-outs, probes,
// idle connections.
func (r *router) attend(ctx context.Context) {
	const sweepEvery, statusEvery = time.Second, 10 * time.Second
	probes, swept, told := 0, time.Now(), time.Now()
	var lag time.Duration // how late a timer came at most since the last status
	for {
		next, errands := r.core.Run(clock())
		for _, o := range errands {
			switch o.Kind {
			case engine.CommandHealthCheck:
				probes++
				r.probe(o.Endpoint, "p"+strconv.Itoa(probes))
			case engine.CommandLog:
				r.logDecision(&o)
			case engine.CommandDrop:
				o.Attempt.Drop(o.Silent)
			}
		}
		if now := time.Now(); now.Sub(swept) >= sweepEvery {
			swept = now
			r.up.Sweep(now)
			if now.Sub(told) >= statusEvery {
				told = now
				r.status(lag)
				lag = 0
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-r.kick:
		case <-time.After(time.Until(time.UnixMicro(next))):
			lag = max(lag, time.Since(time.UnixMicro(next)))
		}
	}
}

// status tells how full the router is.
func (r *router) status(lag time.Duration) {
	m := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/gc/cycles/total:gc-cycles"}}
	metrics.Read(m)
	txns, servers := r.core.Count()
	clients, late := r.front.CollectStats()
	r.log.WithFields(logrus.Fields{
		"txns": txns, "servers": servers, "clients": clients, "late_answers": late,
		"upstream": r.up.ConnCount(), "goroutines": runtime.NumGoroutine(), "memory_mb": m[0].Value.Uint64() >> 20,
		"collections": m[1].Value.Uint64(), "timer_late_ms_most": lag.Milliseconds(),
	}).Info("status")
	if own := r.shelf.Load(); own != nil {
		r.log.WithFields(own.Status()).Info("disk tier status")
	}
}

// logDecision writes what the policy reports to the log.
func (r *router) logDecision(c *engine.Command) {
	entry := r.log.WithField("endpoint", c.EndpointID)
	if c.Backoff > 0 {
		entry = entry.WithField("backoff_ms", c.Backoff/1000)
	}
	entry.Info(c.Text)
}

// probe sends one, and counts it as timed out if a connection's time passes.
func (r *router) probe(s *engine.Endpoint, tag string) {
	sent := clock()
	r.up.CheckHealth(s, tag, func(ok bool) {
		outcome := policy.OutcomeDone
		if !ok {
			outcome = policy.OutcomeConnectionRefused
		}
		r.core.HealthChecked(clock(), s.ID, outcome, clock()-sent)
	})
	time.AfterFunc(r.limit.ConnectTimeout, func() {
		if r.up.CancelHealthCheck(s, tag) {
			r.core.HealthChecked(clock(), s.ID, policy.OutcomeTimeout, clock()-sent)
		}
	})
}

// EndpointsChanged takes changes of the list of servers from the board.
func (r *router) EndpointsChanged(scope policy.UpdateScope, list []engine.Endpoint) {
	if r.peers != nil {
		list = r.peers.board(scope, list)
	}
	r.listed(scope, list)
}

// listed applies changes of the list.
func (r *router) listed(scope policy.UpdateScope, list []engine.Endpoint) {
	if mishears != nil {
		mishears(list)
	}
	r.up.Drain(r.core.UpdateEndpoints(clock(), scope, list))
	for _, s := range list {
		r.log.WithFields(logrus.Fields{
			"server": s.ID, "endpoint": s.Address, "zone": s.Zone, "kind": s.Kind,
			"state": s.State, "born_ms": s.StartedAt / 1000,
		}).Debug("listed")
	}
	_, servers := r.core.Count()
	r.log.WithFields(logrus.Fields{"scope": scope, "changes": len(list), "servers": servers}).Info("list changed")
	if r.front.MarkReady() {
		r.log.Info("ready")
	}
}

// Purge takes a purge from the board.
func (r *router) Purge(object string, group, at int64) {
	if r.peers != nil {
		r.peers.purged(object, group, at)
	}
	r.taken(object, group, at)
}

// taken takes a purge from the board, or from a router of this site.
func (r *router) taken(object string, group, at int64) {
	if r.host != nil {
		r.host.purges.add(object, group, at)
	}
	r.purge(object, group, at)
}

// purge tells the parts of a purge, from the board or from a peer.
func (r *router) purge(object string, group, at int64) {
	if forgetful {
		return
	}
	r.core.Purge(clock(), object, group, at)
	if own := r.shelf.Load(); own != nil {
		own.Purge(object, group, at)
	}
	r.log.WithFields(logrus.Fields{"object": object, "group": group, "age_ms": (clock() - at) / 1000}).Debug("purge")
}

// DiscoveryLost tells of the first failed poll in a row.
func (r *router) DiscoveryLost(err error) {
	r.log.WithError(err).Warn("notice board lost, the last list stays")
	if own := r.shelf.Load(); own != nil {
		own.SetDiscoveryLost(true)
	}
}

// DiscoveryRestored tells that polls go through again.
func (r *router) DiscoveryRestored() {
	r.log.Info("notice board back")
	if own := r.shelf.Load(); own != nil {
		own.SetDiscoveryLost(false)
	}
}

// DiscoveryGap tells that purges may have been missed.
func (r *router) DiscoveryGap() {
	if own := r.shelf.Load(); own != nil {
		r.log.Warn("notice board: events are missing, copies on disk are proven again")
		own.HistoryGap()
	}
}

// openShelf starts the disk tier as the operator's file has it.
func (r *router) openShelf(d *operatorconfig.DiskCache) error {
	c, set := r.setup, &r.set
	var rules []diskcache.TrafficClass
	named := map[string]bool{}
	for _, k := range set.Classes {
		// An effect but a safe one, a write, or copies of no told age are never kept.
		able := k.Effect == policy.EffectIdempotent && !k.Write && k.FreshFor > 0
		chosen := slices.Contains(d.TrafficClasses, k.Name)
		if named[k.Name] = true; chosen && !able {
			return fmt.Errorf("disk.rules: %s writes, is not repeatable or has no fresh time", k.Name)
		}
		rules = append(rules, diskcache.TrafficClass{
			Name: k.Name, FreshTime: k.FreshFor, GraceTime: k.StaleGrace, SLA: k.LatencyObjective,
			Cacheable: able && (chosen || len(d.TrafficClasses) == 0),
		})
	}
	for _, name := range d.TrafficClasses {
		if !named[name] {
			return fmt.Errorf("disk.rules: %s is no remap rule", name)
		}
	}
	const mb, millis = 1 << 20, 1000
	own := diskrunner.Start(diskrunner.Config{
		FS: diskstore.Dir{Path: d.Path}, Path: d.Path, Superblock: diskstore.Superblock{SlotBytes: d.SlotKB << 10, Seed: rand.Uint64()},
		ReadTimeout: time.Duration(d.ReadWaitMS) * time.Millisecond,
		Settings: diskcache.Settings{
			Classes: rules, SlotBytes: d.SlotKB << 10, Slots: d.Slots(), MaxEntries: d.MaxEntries(),
			WriteBytesPerSecond: int64(d.WriteMBPerSecond) * mb,
			// Bodies that wait for the disk are the same that txns need: a quarter of them at most.
			QueueBytes:   min(int64(d.QueueMB)*mb, c.Limits.MaxBufferedBytes/4),
			SyncInterval: int64(d.SyncIntervalMS) * millis, MaxReads: d.MaxConcurrentReads, FlowBytesPerSecond: c.ClientBytesPerSecond, LinkBytesPerSecond: c.LinkBytesPerSecond,
			PurgeTime: set.Hierarchy.PurgeSettleTime, MaxRequestTime: c.Limits.MaxRequestTimeout.Microseconds(),
			DiscoveryLossLimit: blindFrom.Microseconds(),
		},
	}, r.bodies, r.log)
	r.shelf.Store(own)
	r.front.SetDiskCache(own)
	return nil
}

// blindFrom is how long the notice board may be lost before copies are proven
// one by one: a few polls. What it has to tell counts as told after seconds.
const blindFrom = 2 * time.Second
