package upstream

import (
	"context"
	"errors"
	"net"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/cacheproto"
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
)

// conn is one connection. Pool.mu guards its mutable state.
type conn struct {
	pool         *Pool
	peer         *peer
	calls        map[string]*Call         // queued or in flight, by id
	abandoned    map[string]time.Time     // when attempts ended whose responses may still arrive, by id
	healthChecks map[string]func(ok bool) // pending, by id
	queue        []outgoing

	connected bool
	writing   bool // a goroutine is writing the queue
	suspect   bool // accepts no new work, since an attempt timed out with nothing received, or a health check timed out
	draining  bool // accepts no new work, since its endpoint is drained
	closed    bool

	idleSince    time.Time
	lastReceived time.Time
	cancelDial   context.CancelFunc
	socket       net.Conn // nil until connected
}

func (c *conn) idle() bool { return c.connected && len(c.calls) == 0 && len(c.healthChecks) == 0 }

// checkIdle records the time if the connection has no calls and no health checks
// left. It then closes a connection that accepts no new work.
func (c *conn) checkIdle() {
	if len(c.calls) > 0 || len(c.healthChecks) > 0 {
		return
	}
	c.idleSince = time.Now()
	if c.suspect || c.draining {
		c.close()
	}
}

// withdrawUnsent removes the calls of which nothing was written, and returns them.
func (c *conn) withdrawUnsent() (unsent []*Call) {
	for id, call := range c.calls {
		if call.Attempt.Withdraw() {
			delete(c.calls, id)
			unsent = append(unsent, call)
		}
	}
	return unsent
}

// forgetAbandoned removes the attempts that were abandoned before the cutoff.
func (c *conn) forgetAbandoned(cutoff time.Time) {
	for id, since := range c.abandoned {
		if since.Before(cutoff) {
			delete(c.abandoned, id)
		}
	}
}

// close removes the connection from the pool and closes its socket, so that run
// returns. The caller holds the pool's lock.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.pool.connCount--
	// The list is copied, since the caller may be iterating over it.
	c.peer.conns = slices.DeleteFunc(slices.Clone(c.peer.conns), func(other *conn) bool { return other == c })
	// Endpoints are listed and removed all the time. Peers without connections would
	// accumulate.
	if len(c.peer.conns) == 0 && c.pool.peers[c.peer.peerKey] == c.peer {
		delete(c.pool.peers, c.peer.peerKey)
	}
	c.cancelDial()
	if c.socket != nil {
		c.socket.Close()
	}
}

// run dials, writes the items that were queued meanwhile, and reads responses until
// the connection ends.
func (c *conn) run(ctx context.Context) {
	socket, err := new(net.Dialer).DialContext(ctx, "tcp", c.peer.address)
	if err != nil {
		c.end(err)
		return
	}
	c.pool.mu.Lock()
	if c.closed {
		c.pool.mu.Unlock()
		socket.Close()
		c.end(nil)
		return
	}
	c.socket = socket
	c.connected = true
	c.writing = true
	c.lastReceived = time.Now()
	c.pool.mu.Unlock()
	c.flush()
	c.end(c.read())
}

// end closes the connection, ends its attempts and health checks, and releases the
// bodies in its queue.
func (c *conn) end(err error) {
	c.pool.mu.Lock()
	c.close()
	calls, queue, healthChecks := c.calls, c.queue, c.healthChecks
	c.calls, c.queue, c.healthChecks = map[string]*Call{}, nil, nil
	c.pool.mu.Unlock()
	c.logEnd(err, len(calls))
	c.discard(queue)
	for _, call := range calls {
		outcome := policy.OutcomeConnectionReset
		if call.Attempt.Withdraw() {
			outcome = policy.OutcomeConnectionRefused
		}
		c.pool.reportResult(call.Attempt, engine.Result{Outcome: outcome})
	}
	for _, done := range healthChecks {
		done(false)
	}
}

// logEnd logs a protocol violation, or how many attempts an error has ended. It logs
// nothing for an idle connection.
func (c *conn) logEnd(err error, calls int) {
	entry := c.pool.log.WithFields(logrus.Fields{"endpoint": c.peer.id, "attempts": calls}).WithError(err)
	switch {
	case errors.Is(err, cacheproto.ErrProtocol):
		entry.Warn("endpoint violated the protocol, connection closed")
	case calls > 0 && !c.connected:
		entry.Debug("connecting to endpoint failed")
	case calls > 0:
		entry.Debug("connection to endpoint broke")
	}
}
