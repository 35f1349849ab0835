package downstream

import (
	"errors"
	"net"
	"os"
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
	cache    atomic.Pointer[diskrunner.Cache] // nil: the router has no copies
	gateway  atomic.Pointer[gateway.Gateway]  // nil: no other site
	recorder *invariant.Recorder              // nil: nothing is recorded
	stats    stats

	// clientRate is the pace at which a client is sent to, in bytes a second; 0:
	// not known.
	clientRate float64

	ready     atomic.Bool
	draining  atomic.Bool
	migrating atomic.Bool // clients are to come back on new connections

	stalls    stall.Detector
	startedAt time.Time // zero of the steady clock that stalls is asked by

	mu             sync.Mutex
	clients        map[*client]struct{}
	maxClients     int
	limitSuspended bool      // maxClients does not bind
	slotFreed      sync.Cond // a client left or became idle
	allClientsGone sync.Cond
}

// New makes a server that is not ready.
func New(e *engine.Engine, up *upstream.Pool, bodies *bufferpool.Pool, limits *config.Limits) *Server {
	s := &Server{
		engine:     e,
		upstream:   up,
		bodies:     bodies,
		limits:     limits,
		clients:    map[*client]struct{}{},
		maxClients: limits.MaxClients,
		startedAt:  time.Now(),
	}
	s.stats.classes = map[string]classStats{}
	s.slotFreed.L = &s.mu
	s.allClientsGone.L = &s.mu
	return s
}

// SetDiskCache lets the server answer from the router's own copies; nil: no more.
func (s *Server) SetDiskCache(cache *diskrunner.Cache) { s.cache.Store(cache) }

// SetGateway lets the server forward what the policy rejects to another site;
// nil: no more.
func (s *Server) SetGateway(g *gateway.Gateway) { s.gateway.Store(g) }

// SetRecorder records what is sent and answered. It is called before Serve.
func (s *Server) SetRecorder(recorder *invariant.Recorder) { s.recorder = recorder }

// SetClientRate sets the pace at which a client is sent to. It is called before
// Serve.
func (s *Server) SetClientRate(bytesPerSecond int64) { s.clientRate = float64(bytesPerSecond) }

// SetMigrating makes every further response the last on its connection, so that
// clients come back on new ones; idle connections stay until their next request.
// False ends that.
func (s *Server) SetMigrating(on bool) { s.migrating.Store(on) }

// AwaitMigration waits until the clients that are to come back on new connections
// have gone, but no longer than the timeout.
func (s *Server) AwaitMigration(timeout time.Duration) {
	const pollInterval = 50 * time.Millisecond
	for deadline := time.Now().Add(timeout); s.Clients() > 0 && time.Now().Before(deadline); {
		time.Sleep(pollInterval)
	}
}

// MarkReady lets the health check pass; true: it did not before.
func (s *Server) MarkReady() bool { return s.ready.CompareAndSwap(false, true) }

// IsReady reports whether the health check passes.
func (s *Server) IsReady() bool { return s.ready.Load() }

// Clients returns how many connections there are.
func (s *Server) Clients() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.clients)
}

// MonitorStalls notices stalls of the process until stop is closed.
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

// Serve accepts clients until the listener is closed or its deadline passes.
// At the bound on clients it evicts one and waits until that has left.
func (s *Server) Serve(l net.Listener) error {
	var backoff time.Duration
	for {
		socket, err := l.Accept()
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
		s.admit(c)
		go s.serve(c)
	}
}

// isTransientAcceptError reports whether accepting may go on later: descriptors
// or memory are short, or the error is the new connection's (accept(2)).
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

// admit adds a client, at the bound in place of another.
func (s *Server) admit(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for len(s.clients) >= s.maxClients && !s.limitSuspended {
		s.evictClient()
		s.slotFreed.Wait()
	}
	s.clients[c] = struct{}{}
}

// evictClient closes a connection on which no request is open: the oldest of
// those that never had a response, else the one idle longest. Silent clients come
// by the hundreds and go first; a usual one asks again on a new connection.
func (s *Server) evictClient() {
	var victim *client
	for c := range s.clients {
		if c.state == clientBusy || c.state == clientClosing {
			continue
		}
		if victim == nil || c.evictedBefore(victim) {
			victim = c
		}
	}
	if victim != nil {
		victim.state = clientClosing
		victim.Close()
	}
}

// remove takes a client that has been closed off the set.
func (s *Server) remove(c *client) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.clients, c)
	s.slotFreed.Signal()
	if len(s.clients) == 0 {
		s.allClientsGone.Broadcast()
	}
}

// setState notes a connection's state. It returns false if the connection was
// evicted or shut, and nothing may begin on it.
func (s *Server) setState(c *client, state clientState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c.state == clientClosing {
		return false
	}
	c.state = state
	if state == clientIdle {
		c.served = true
		c.idleSince = time.Now()
		s.slotFreed.Signal()
	}
	return true
}

// SetMaxClients bounds the clients; those that there are stay.
func (s *Server) SetMaxClients(clients int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxClients = clients
	s.slotFreed.Signal()
}

// SuspendClientLimit lifts the bound on clients: at a shutdown whoever waits for
// a slot is served, since the listener's deadline would not wake Serve. False
// sets it again.
func (s *Server) SuspendClientLimit(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limitSuspended = on
	s.slotFreed.Signal()
}

// Drain makes every further response the last on its connection, shuts idle
// connections, and waits until the others have ended, or the timeout. It returns
// how many are left. Nothing begins on a connection that was shut.
func (s *Server) Drain(timeout time.Duration) (left int) {
	s.draining.Store(true)
	timer := time.AfterFunc(timeout, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.allClientsGone.Broadcast()
	})
	defer timer.Stop()
	deadline := time.Now().Add(timeout)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.clients {
		if c.state != clientIdle {
			continue
		}
		if readable, _ := c.pollSocket(); !readable { // else a request came first
			c.state = clientClosing
			c.SetReadDeadline(time.Now()) // wakes its goroutine, which shuts it
		}
	}
	for len(s.clients) > 0 && time.Now().Before(deadline) {
		s.allClientsGone.Wait()
	}
	return len(s.clients)
}
