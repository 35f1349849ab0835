package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"quilldoor/internal/board"
	"quilldoor/internal/buffer"
	"quilldoor/internal/config"
	"quilldoor/internal/core"
	"quilldoor/internal/front"
	"quilldoor/internal/upstream"
)

// router holds the parts together and tells them of each other's news.
type router struct {
	log   *logrus.Entry
	core  *core.Core
	up    *upstream.Pool
	front *front.Front
	limit *config.Limits
	kick  chan struct{}
}

func clock() int64 { return time.Now().UnixMicro() }

// serve runs the router until a signal comes on term. Those on hup make it load
// the configuration again.
func serve(c *config.Config, known *board.News, logger *logrus.Logger, term, hup <-chan os.Signal,
	load func() (*config.Config, *board.News, error)) error {
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
	follower.Apply(known)
	unfollow := follow(ctx, follower, c.Board)
	go r.attend(ctx)
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
			fresh, news, err := load()
			if err != nil {
				r.log.WithError(err).Error("new configuration refused, the old one stays")
				continue
			}
			for _, key := range c.Fixed(fresh) {
				r.log.WithField("key", key).Warn("new configuration: takes a restart, the old value stays")
			}
			unfollow()
			follower.Apply(&board.News{Notices: news.Notices})
			unfollow = follow(ctx, follower, fresh.Board)
			r.log.WithField("board", fresh.Board).Info("new configuration in force")
		}
	}
	// What is under way towards the listener when the signal comes is still taken.
	l.(*net.TCPListener).SetDeadline(time.Now().Add(c.Limits.AcceptOn))
	time.AfterFunc(c.Limits.AcceptOn, r.front.Crowd)
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

// Members takes changes of the list of servers.
func (r *router) Members(scope string, list []core.Server) {
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

// Purge takes a purge.
func (r *router) Purge(object string, group, at int64) {
	r.core.Purge(clock(), object, group, at)
	r.log.WithFields(logrus.Fields{"object": object, "group": group, "age_ms": (clock() - at) / 1000}).Debug("purge")
}

// BoardLost tells of the first failed poll in a row.
func (r *router) BoardLost(err error) {
	r.log.WithError(err).Warn("notice board lost, the last list stays")
}

// BoardBack tells that polls go through again.
func (r *router) BoardBack() { r.log.Info("notice board back") }
