package upstream

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/config"
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
)

// ResultFunc receives the result of an attempt. The pool calls it without holding
// its lock.
type ResultFunc func(attempt *engine.Attempt, result engine.Result)

// Pool holds the connections to all endpoints. Its methods may be called from
// any goroutine.
type Pool struct {
	limits       *config.Limits
	bodies       *bufferpool.Pool
	reportResult ResultFunc
	log          *logrus.Entry

	mu    sync.Mutex
	peers map[peerKey]*peer // one whose last connection closes is removed
	// unwrittenDrops is empty where hedging is permitted; by the id of the request.
	unwrittenDrops map[string]*unwrittenDrop
	connCount      int
	maxConns       int
	closed         bool
}

// peerKey identifies a process of an endpoint. An endpoint that has another address, or
// has started again, gets new connections.
type peerKey struct {
	id, address string
	startedAt   int64 // as listed
}

func keyOf(endpoint *engine.Endpoint) peerKey {
	return peerKey{endpoint.ID, endpoint.Address, endpoint.StartedAt}
}

// peer is an endpoint at an address, with its connections.
type peer struct {
	peerKey
	conns []*conn
}

// New returns a pool without connections. It reports the results of attempts to
// reportResult.
func New(limits *config.Limits, bodies *bufferpool.Pool, reportResult ResultFunc, log *logrus.Entry) *Pool {
	return &Pool{
		limits:         limits,
		bodies:         bodies,
		reportResult:   reportResult,
		log:            log,
		peers:          map[peerKey]*peer{},
		unwrittenDrops: map[string]*unwrittenDrop{},
		maxConns:       limits.MaxUpstreamConns,
	}
}

// SetMaxConns bounds the connections to all endpoints together, which
// config.Limits.MaxUpstreamConns bounds initially. Open connections above a lower bound
// stay open.
func (p *Pool) SetMaxConns(maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = maxConns
}

// Send queues an attempt on a connection, and opens one if needed. If no connection can
// accept the attempt, Send reports OutcomeConnectionRefused before it returns. A withdrawn
// attempt is ignored. Where hedging is not permitted, an attempt waits until the drop of
// its request's previous one is written.
func (p *Pool) Send(call *Call) {
	if call.Attempt.Withdrawn() { // its request ended before Send was called
		return
	}
	p.mu.Lock()
	if p.awaitDrop(call) {
		p.mu.Unlock()
		return
	}
	conn := p.selectConn(p.ensurePeer(call.Attempt.Endpoint), call.id())
	if conn == nil {
		p.mu.Unlock()
		call.Attempt.Withdraw()
		p.reportResult(call.Attempt, engine.Result{Outcome: policy.OutcomeConnectionRefused})
		return
	}
	call.conn = conn
	call.Body.Retain()
	conn.calls[call.id()] = call
	conn.enqueueAndUnlock(outgoing{call: call})
}

// CheckHealth sends a ping to an endpoint. It calls done with true when the endpoint
// responds, and with false when it can no longer respond: there is no connection, or the
// connection ended. done may be called on any goroutine, also before CheckHealth returns.
// It is not called if the check is cancelled before a response arrives. The check has no
// timeout of its own. id must be unique among the requests and health checks in flight.
func (p *Pool) CheckHealth(endpoint *engine.Endpoint, id string, done func(ok bool)) {
	p.mu.Lock()
	conn := p.selectConn(p.ensurePeer(endpoint), id)
	if conn == nil {
		p.mu.Unlock()
		done(false)
		return
	}
	conn.healthChecks[id] = done
	conn.enqueueAndUnlock(outgoing{ping: id})
}

// CancelHealthCheck removes a health check and reports whether it was pending.
// The connection of a pending check accepts no new work, since the endpoint did
// not respond on it.
func (p *Pool) CancelHealthCheck(endpoint *engine.Endpoint, id string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	peer := p.peers[keyOf(endpoint)]
	if peer == nil {
		return false
	}
	for _, conn := range peer.conns {
		if conn.healthChecks[id] != nil {
			delete(conn.healthChecks, id)
			conn.suspect = true
			conn.checkIdle()
			return true
		}
	}
	return false
}

// Drain closes the connections to endpoints that accept no new work, each once
// its last attempt or health check has ended. An attempt of which nothing was
// written is certain not to have run, so it ends with OutcomeSkipped.
func (p *Pool) Drain(endpoints []*engine.Endpoint) {
	p.mu.Lock()
	var unsent []*Call
	for _, endpoint := range endpoints {
		peer := p.peers[keyOf(endpoint)]
		if peer == nil {
			continue
		}
		delete(p.peers, peer.peerKey)
		for _, conn := range peer.conns {
			unsent = append(unsent, conn.withdrawUnsent()...)
			conn.draining = true
			conn.checkIdle()
		}
	}
	p.mu.Unlock()
	for _, call := range unsent {
		p.reportResult(call.Attempt, engine.Result{Outcome: policy.OutcomeSkipped})
	}
}

// Sweep closes connections that have been idle for config.Limits.UpstreamIdleTimeout,
// which ends before the server's own idle timeout. It also removes the abandoned attempts
// whose responses can no longer arrive. It is to be called at regular intervals.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, peer := range p.peers {
		for _, conn := range peer.conns {
			conn.forgetAbandoned(now.Add(-p.limits.LateResponseWindow))
			if conn.idle() && now.Sub(conn.idleSince) > p.limits.UpstreamIdleTimeout {
				conn.close()
			}
		}
	}
}

// Close closes all connections except the draining ones, which close with their last
// attempt or health check. The pool opens no new connection afterwards.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, peer := range p.peers {
		for _, conn := range peer.conns {
			conn.close()
		}
	}
}

// ConnCount returns the number of connections, including those that are being dialled or
// drained.
func (p *Pool) ConnCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connCount
}
