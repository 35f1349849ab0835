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
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"quilldoor/internal/board"
	"quilldoor/internal/buffer"
	"quilldoor/internal/config"
	"quilldoor/internal/core"
	"quilldoor/internal/disk"
	"quilldoor/internal/front"
	"quilldoor/internal/gateway"
	"quilldoor/internal/memberlink"
	"quilldoor/internal/operator"
	"quilldoor/internal/shelf"
	"quilldoor/internal/tier"
	"quilldoor/internal/upstream"
	"quilldoor/logic"
)

// router holds the parts together and tells them of each other's news.
type router struct {
	log     *logrus.Entry
	core    *core.Core
	up      *upstream.Pool
	front   *front.Front
	shelf   *shelf.Shelf // nil: off
	gate    *gateway.Gateway
	keys    *gateway.Keys
	members *memberlink.Link // nil: off
	peers   *peers           // what is decided by it; nil: off
	host    *host
	limit   *config.Limits
	kick    chan struct{}
}

func clock() int64 { return time.Now().UnixMicro() }

// setup is all that a router starts with.
type setup struct {
	*config.Config
	known    *board.News
	operator *operator.Config
}

// serve runs the router until a signal comes on term. Those on hup make it load
// the configuration again.
func serve(c *setup, logger *logrus.Logger, term, hup <-chan os.Signal, load func() (*setup, error)) error {
	runtime.GOMAXPROCS(max(int(c.Cores), 1))
	debug.SetMemoryLimit(c.Limits.Memory)
	set := c.Settings.Logic()
	r := &router{log: logger.WithField("router", c.Name), limit: c.Limits, kick: make(chan struct{}, 1)}
	r.core = core.New(&set, c.Seed, func() {
		select {
		case r.kick <- struct{}{}:
		default:
		}
	})
	bodies := buffer.NewPool(c.Limits.Held)
	r.up = upstream.New(c.Limits, bodies, func(h *core.Hop, o core.Outcome) { r.core.Ended(clock(), h, o) }, r.log)
	r.front = front.New(r.core, r.up, bodies, c.Limits)
	r.log.WithFields(logrus.Fields{"listen": c.Listen, "board": c.Board, "zone": set.Zone,
		"rules": len(set.Rules), "cores": c.Cores, "memory_mb": c.MemoryMB, "clients_most": c.Limits.Clients,
		"upstream_most": c.Limits.Upstream, "version": version()}).Info("starting")

	if d := c.operator.Disk; d != nil {
		if err := r.openShelf(c, d, &set, bodies); err != nil {
			return err
		}
		defer r.shelf.Close()
	}
	if o := c.operator.Gateway; o != nil {
		if err := r.openGateway(c, o, bodies); err != nil {
			return err
		}
		defer r.gate.Close()
	}
	if o := c.operator.Members; o != nil {
		if err := r.openMembers(c, o); err != nil {
			return err
		}
		defer r.members.Close()
	}
	if err := reserve(c.Limits.Sockets); err != nil {
		r.log.WithError(err).Warn("descriptor table not grown")
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()

	follower := board.New(c.Limits, r)
	follower.Apply(c.known)
	unfollow := follow(ctx, follower, c.Board)
	go r.attend(ctx)
	go r.front.Attend(ctx.Done())
	if m := c.operator.Metrics; m != nil {
		go r.publish(ctx, m)
	}
	if o := c.operator.Gateway; o != nil && o.Status != "" {
		go r.tellStatus(ctx, o.Status)
	}
	served := make(chan error, 1)
	go func() { served <- r.front.Serve(l) }()

	for open := true; open; {
		select {
		case err := <-served:
			return fmt.Errorf("listen: %w", err)
		case s := <-term:
			r.log.WithField("signal", s.String()).Info("shutting down, still accepting")
			open = false
		case <-hup:
			fresh, err := load()
			if err != nil {
				r.log.WithError(err).Error("new configuration refused, the old one stays")
				continue
			}
			for _, key := range append(c.Fixed(fresh.Config), c.operator.Fixed(fresh.operator)...) {
				r.log.WithField("key", key).Warn("new configuration: takes a restart, the old value stays")
			}
			if r.keys != nil {
				if err := r.keys.Load(); err != nil {
					r.log.WithError(err).Error("gateway: new certificate refused, the old one stays")
				} else {
					r.log.Info("gateway: certificate read again")
				}
			}
			unfollow()
			follower.Apply(&board.News{Notices: fresh.known.Notices})
			unfollow = follow(ctx, follower, fresh.Board)
			r.log.WithField("board", fresh.Board).Info("new configuration in force")
		}
	}
	if r.gate != nil {
		r.gate.Drain()
	}
	if r.members != nil {
		r.members.Leave()
	}
	// What is under way towards the listener when the signal comes is still taken.
	l.(*net.TCPListener).SetDeadline(time.Now().Add(c.Limits.AcceptOn))
	time.AfterFunc(c.Limits.AcceptOn, func() { r.front.Crowd(true) })
	<-served
	l.Close()
	time.Sleep(c.Limits.ServeOn)
	left := r.front.Drain(c.Limits.LongestTxn + c.Limits.ReplySlack)
	r.up.Close()
	txns, _ := r.core.Count()
	r.log.WithFields(logrus.Fields{"clients_left": left, "txns_left": txns}).Info("stopped")
	return nil
}

// follow runs the follower at an address until the function it returns is called,
// which waits for its end: two never run at once, and no event is applied twice.
func follow(ctx context.Context, f *board.Follower, addr string) (end func()) {
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
			case core.Probe:
				probes++
				r.probe(o.Server, "p"+strconv.Itoa(probes))
			case core.Disconnect:
				r.up.Disconnect(o.Server)
			case core.Log:
				r.log.Info(o.Text)
			case core.Drop:
				o.Hop.Drop(o.Silent)
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
	clients, late := r.front.Count()
	r.log.WithFields(logrus.Fields{"txns": txns, "servers": servers, "clients": clients, "late_answers": late,
		"upstream": r.up.Count(), "goroutines": runtime.NumGoroutine(), "memory_mb": m[0].Value.Uint64() >> 20,
		"collections": m[1].Value.Uint64(), "timer_late_ms_most": lag.Milliseconds()}).Info("status")
	if r.shelf != nil {
		r.log.WithFields(r.shelf.Status()).Info("disk tier status")
	}
}

// probe sends one, and counts it as timed out if a connection's time passes.
func (r *router) probe(s *core.Server, tag string) {
	sent := clock()
	r.up.Probe(s, tag, func(ok bool) {
		code := "done"
		if !ok {
			code = "econnrefused"
		}
		r.core.Probed(clock(), s.Server, code, clock()-sent)
	})
	time.AfterFunc(r.limit.Connect, func() {
		if r.up.Unprobe(s, tag) {
			r.core.Probed(clock(), s.Server, "etimedout", clock()-sent)
		}
	})
}

// Members takes changes of the list of servers from the board.
func (r *router) Members(scope string, list []core.Server) {
	if r.peers != nil {
		list = r.peers.board(scope, list)
	}
	r.listed(scope, list)
}

// listed applies changes of the list.
func (r *router) listed(scope string, list []core.Server) {
	r.up.Retire(r.core.Members(clock(), scope, list))
	for _, s := range list {
		r.log.WithFields(logrus.Fields{"server": s.Server, "endpoint": s.Endpoint, "zone": s.Zone, "kind": s.Kind,
			"state": s.State, "born_ms": s.Born / 1000}).Debug("listed")
	}
	_, servers := r.core.Count()
	r.log.WithFields(logrus.Fields{"scope": scope, "changes": len(list), "servers": servers}).Info("list changed")
	if r.front.Ready() {
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
	r.core.Purge(clock(), object, group, at)
	if r.shelf != nil {
		r.shelf.Purge(object, group, at)
	}
	r.log.WithFields(logrus.Fields{"object": object, "group": group, "age_ms": (clock() - at) / 1000}).Debug("purge")
}

// BoardLost tells of the first failed poll in a row.
func (r *router) BoardLost(err error) {
	r.log.WithError(err).Warn("notice board lost, the last list stays")
	if r.shelf != nil {
		r.shelf.Board(true)
	}
}

// BoardBack tells that polls go through again.
func (r *router) BoardBack() {
	r.log.Info("notice board back")
	if r.shelf != nil {
		r.shelf.Board(false)
	}
}

// BoardGap tells that purges may have been missed.
func (r *router) BoardGap() {
	if r.shelf != nil {
		r.log.Warn("notice board: events are missing, copies on disk are proven again")
		r.shelf.Gap()
	}
}

// openShelf starts the disk tier as the operator's file has it.
func (r *router) openShelf(c *setup, d *operator.Disk, set *logic.Settings, bodies *buffer.Pool) error {
	var rules []tier.Rule
	named := map[string]bool{}
	for _, k := range set.Rules {
		// An effect but a safe one, a write, or copies of no told age are never kept.
		able := k.Effect == "safe" && !k.Write && k.Fresh > 0
		chosen := slices.Contains(d.Rules, k.Name)
		if named[k.Name] = true; chosen && !able {
			return fmt.Errorf("disk.rules: %s writes, is not repeatable or has no fresh time", k.Name)
		}
		rules = append(rules, tier.Rule{Name: k.Name, Fresh: k.Fresh, Grace: k.Grace, SLA: k.SLA,
			Keep: able && (chosen || len(d.Rules) == 0)})
	}
	for _, name := range d.Rules {
		if !named[name] {
			return fmt.Errorf("disk.rules: %s is no remap rule", name)
		}
	}
	const mb, millis = 1 << 20, 1000
	r.shelf = shelf.Start(shelf.Config{
		FS: disk.Dir{Path: d.Path}, Path: d.Path, Super: disk.Super{Slot: d.SlotKB << 10, Seed: rand.Uint64()},
		ReadWait: time.Duration(d.ReadWaitMS) * time.Millisecond,
		Settings: tier.Settings{Rules: rules, Slot: d.SlotKB << 10, Slots: d.Slots(), Entries: d.Entries(),
			WritePerS: int64(d.WriteMBPS) * mb,
			// Bodies that wait for the disk are the same that txns need: a quarter of them at most.
			Queue:     min(int64(d.QueueMB)*mb, c.Limits.Held/4),
			SyncEvery: int64(d.SyncMS) * millis, Reads: d.Reads, Flow: c.Flow, Link: c.Link,
			Cleared: set.Family.PurgeDone, LongestTx: c.Limits.LongestTxn.Microseconds(),
			BlindFrom: blindFrom.Microseconds()},
	}, bodies, r.log)
	r.front.Use(r.shelf)
	return nil
}

// blindFrom is how long the notice board may be lost before copies are proven
// one by one: a few polls. What it has to tell counts as told after seconds.
const blindFrom = 2 * time.Second
