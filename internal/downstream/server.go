package downstream

import (
	"errors"
	"net"
	"os"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/config"
	"quilldoor/internal/diskcache/diskrunner"
	"quilldoor/internal/engine"
	"quilldoor/internal/gateway"
	"quilldoor/internal/invariant"
	"quilldoor/internal/stall"
	"quilldoor/internal/upstream"
)

// Server serves clients on one listener.
type Server struct {
	engine   *engine.Engine
	upstream *upstream.Pool
	bodies   *bufferpool.Pool
	limits   *config.Limits
	cache    atomic.Pointer[diskrunner.Cache] // nil: no disk cache
	gateway  atomic.Pointer[gateway.Gateway]  // nil: no other site to forward to
	recorder *invariant.Recorder              // nil: nothing is recorded
	stats    stats
	reads    *readSlots

	// clientRate is the rate at which a response is sent to a client, in bytes per
	// second; 0: not known.
	clientRate float64

	ready     atomic.Bool
	draining  atomic.Bool
	migrating atomic.Bool // every response is the last on its connection

	stalls    stall.Detector
	startedAt time.Time // origin of the monotonic clock of stalls

	mu               sync.Mutex
	clients          map[*client]struct{}
	lingering        int // the number of clients whose connections linger
	maxClients       int
	limitSuspended   bool      // maxClients is not enforced
	slotFreed        sync.Cond // a client was removed or became idle, or the limit changed
	allClientsClosed sync.Cond // no client is left, or the timeout of Drain has passed
}

// New creates a server whose health check fails until MarkReady.
func New(e *engine.Engine, up *upstream.Pool, bodies *bufferpool.Pool, limits *config.Limits) *Server {
	s := &Server{
		engine:     e,
		upstream:   up,
		bodies:     bodies,
		limits:     limits,
		clients:    map[*client]struct{}{},
		maxClients: limits.MaxClients,
		reads:      newReadSlots(),
		startedAt:  time.Now(),
	}
	s.stats.classes = map[string]classStats{}
	s.slotFreed.L = &s.mu
	s.allClientsClosed.L = &s.mu
	return s
}

// SetDiskCache sets the disk cache to serve copies from; nil turns that off.
func (s *Server) SetDiskCache(cache *diskrunner.Cache) { s.cache.Store(cache) }

// SetGateway sets the gateway that forwards rejected requests to another site;
// nil turns that off.
func (s *Server) SetGateway(g *gateway.Gateway) { s.gateway.Store(g) }

// SetRecorder sets the recorder of attempts and responses. It must be called
// before Serve.
func (s *Server) SetRecorder(recorder *invariant.Recorder) { s.recorder = recorder }

// SetClientRate sets the rate at which a response is sent to a client; 0: not
// known. It must be called before Serve.
func (s *Server) SetClientRate(bytesPerSecond int64) { s.clientRate = float64(bytesPerSecond) }

// SetMigrating makes every further response the last on its connection, so that
// clients open new ones. An idle connection stays open until its next request has
// been answered. False restores persistent connections.
func (s *Server) SetMigrating(on bool) { s.migrating.Store(on) }

// AwaitMigration waits until all client connections are closed, as they are after
// their next response while SetMigrating is on, but no longer than the timeout.
func (s *Server) AwaitMigration(timeout time.Duration) {
	const pollInterval = 50 * time.Millisecond
	for deadline := time.Now().Add(timeout); s.Clients() > 0 && time.Now().Before(deadline); {
		time.Sleep(pollInterval)
	}
}

// MarkReady makes the health check pass, and reports whether it failed before.
func (s *Server) MarkReady() bool { return s.ready.CompareAndSwap(false, true) }

// IsReady reports whether the health check passes.
func (s *Server) IsReady() bool { return s.ready.Load() }

// Clients returns the number of client connections.
func (s *Server) Clients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)
}

// ReadWaits returns how often requests have waited for a read slot since the start, and
// for how long in total.
func (s *Server) ReadWaits() (count int64, total time.Duration) {
	return s.reads.waits.Load(), time.Duration(s.reads.waitMicros.Load()) * time.Microsecond
}

// MonitorStalls detects stalls of the process until stop is closed.
func (s *Server) MonitorStalls(stop <-chan struct{}) {
	ticker := time.NewTicker(stall.TickIntervalMicros * time.Microsecond)
	defer ticker.Stop()
	for {
		s.stalls.Tick(time.Since(s.startedAt).Microseconds())
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
	}
}

// Serve accepts clients until the listener is closed or its deadline passes. At
// the client limit it evicts one on which no request is being served, and waits
// until a client is removed.
func (s *Server) Serve(listener net.Listener) error {
	var backoff time.Duration
	for {
		socket, err := listener.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				return nil
			}
			if !isTransientAcceptError(err) {
				return err
			}
			backoff = min(max(2*backoff, s.limits.PollBackoffMin), s.limits.PollBackoffMax)
			time.Sleep(backoff)
			continue
		}
		backoff = 0
		c := newClient(socket)
		c.arrivals.slot.slots = s.reads
		if c.hasDisconnected() { // while it waited to be accepted
			c.Close()
			continue
		}
		s.admit(c)
		go s.serve(c)
		runtime.Gosched() // else new connections alone keep the scheduler's run queue full
	}
}

// isTransientAcceptError reports whether a later accept may succeed: descriptors
// or memory ran out, or the error is one of the new connection (see accept(2)).
func isTransientAcceptError(err error) bool {
	var temporary interface{ Temporary() bool }
	if errors.As(err, &temporary) && temporary.Temporary() {
		return true
	}
	var code syscall.Errno
	return errors.As(err, &code) && slices.Contains([]syscall.Errno{
		syscall.ENOBUFS, syscall.ENOMEM, syscall.EPERM,
		syscall.ENETDOWN, syscall.EPROTO, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH,
		syscall.EOPNOTSUPP, syscall.ENETUNREACH, syscall.ECONNABORTED,
	}, code)
}

// remove removes a closed client from the set.
func (s *Server) remove(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, c)
	if c.state == clientLingering {
		s.lingering--
	}
	s.slotFreed.Signal()
	if len(s.clients) == 0 {
		s.allClientsClosed.Broadcast()
	}
}

// SetMaxClients sets the limit on client connections. It closes none of the
// existing ones.
func (s *Server) SetMaxClients(clients int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxClients = clients
	s.slotFreed.Signal()
}

// SuspendClientLimit suspends the limit on clients for a shutdown: a client that
// waits for a slot is admitted, since the listener's deadline does not wake Serve
// from that wait. False restores the limit.
func (s *Server) SuspendClientLimit(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limitSuspended = on
	s.slotFreed.Signal()
}

// Drain makes every further response the last on its connection and shuts down
// idle connections, on which no request may begin any more. It waits until all
// connections are closed or the timeout passes, and returns the number left.
func (s *Server) Drain(timeout time.Duration) (left int) {
	s.draining.Store(true)
	timer := time.AfterFunc(timeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.allClientsClosed.Broadcast()
	})
	defer timer.Stop()
	deadline := time.Now().Add(timeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		if c.state != clientIdle {
			continue
		}
		if readable, _ := c.pollSocket(); !readable { // otherwise a request has arrived already
			c.evict()
		}
	}
	for len(s.clients) > 0 && time.Now().Before(deadline) {
		s.allClientsClosed.Wait()
	}
	return len(s.clients)
}
