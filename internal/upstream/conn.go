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

// conn is one connection. Its state is under the pool's lock.
type conn struct {
	pool         *Pool
	peer         *peer
	calls        map[string]*Call         // in flight, by id
	abandoned    map[string]time.Time     // ids of ended attempts whose responses may still come
	healthChecks map[string]func(ok bool) // unanswered, by id
	queue        []outgoing

	connected bool
	writing   bool // a goroutine empties the queue
	suspect   bool // received nothing for as long as an attempt had
	draining  bool // ends with its calls
	closed    bool

	idleSince    time.Time
	lastReceived time.Time
	cancelDial   context.CancelFunc
	socket       net.Conn // set once connected
}

func (c *conn) idle() bool { return c.connected && len(c.calls) == 0 && len(c.healthChecks) == 0 }

// noteIdle notes that the connection may have become idle, and closes one that
// is to take nothing new.
func (c *conn) noteIdle() {
	if len(c.calls) > 0 || len(c.healthChecks) > 0 {
		return
	}
	c.idleSince = time.Now()
	if c.suspect || c.draining {
		c.close()
	}
}

// withdrawUnsent removes the calls that have not begun.
func (c *conn) withdrawUnsent() (unsent []*Call) {
	for id, call := range c.calls {
		if call.Attempt.Withdraw() {
			delete(c.calls, id)
			unsent = append(unsent, call)
		}
	}
	return unsent
}

// forgetAbandoned forgets the attempts that were abandoned before a time.
func (c *conn) forgetAbandoned(before time.Time) {
	for id, since := range c.abandoned {
		if since.Before(before) {
			delete(c.abandoned, id)
		}
	}
}

// close removes the connection from the pool and ends its goroutine.
func (c *conn) close() {
	if c.closed {
		return
	}
	c.closed = true
	c.pool.connCount--
	// A new list, since the caller may be ranging over the old one.
	c.peer.conns = slices.DeleteFunc(slices.Clone(c.peer.conns), func(other *conn) bool { return other == c })
	// Endpoints come and go all day: one without connections is not kept.
	if len(c.peer.conns) == 0 && c.pool.peers[c.peer.peerKey] == c.peer {
		delete(c.pool.peers, c.peer.peerKey)
	}
	c.cancelDial()
	if c.socket != nil {
		c.socket.Close()
	}
}

// run dials, writes what was queued meanwhile, and reads to the end.
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

// end closes the connection and ends what is left on it.
func (c *conn) end(err error) {
	c.pool.mu.Lock()
	c.close()
	calls, queue, healthChecks := c.calls, c.queue, c.healthChecks
	c.calls, c.queue, c.healthChecks = map[string]*Call{}, nil, nil
	c.pool.mu.Unlock()
	c.logEnd(err, len(calls))
	for _, item := range queue {
		if item.call != nil {
			item.call.Body.Release()
		}
	}
	for _, call := range calls {
		outcome := policy.OutcomeConnectionReset
		if call.Attempt.Withdraw() {
			outcome = policy.OutcomeConnectionRefused
		}
		c.pool.ended(call.Attempt, engine.Result{Outcome: outcome})
	}
	for _, done := range healthChecks {
		done(false)
	}
}

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
