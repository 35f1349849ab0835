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

// ResultFunc is called with an attempt's result, without the pool's lock.
type ResultFunc func(attempt *engine.Attempt, result engine.Result)

// Pool holds the connections to all endpoints. Its methods may be called from
// any goroutine.
type Pool struct {
	limits *config.Limits
	bodies *bufferpool.Pool
	ended  ResultFunc
	log    *logrus.Entry

	mu        sync.Mutex
	peers     map[peerKey]*peer // only those with connections, but while Send looks for one
	connCount int
	maxConns  int
	closed    bool
}

// peerKey is an endpoint's id and address: connections for one of the two lead
// nowhere else if the other changes.
type peerKey struct{ id, address string }

func keyOf(endpoint *engine.Endpoint) peerKey { return peerKey{endpoint.ID, endpoint.Address} }

// peer is an endpoint at an address, with its connections.
type peer struct {
	peerKey
	conns []*conn
}

// New makes an empty pool.
func New(limits *config.Limits, bodies *bufferpool.Pool, ended ResultFunc, log *logrus.Entry) *Pool {
	return &Pool{
		limits:   limits,
		bodies:   bodies,
		ended:    ended,
		log:      log,
		peers:    map[peerKey]*peer{},
		maxConns: limits.MaxUpstreamConns,
	}
}

// SetMaxConns bounds the connections to all endpoints together; those that are open stay.
// New begins with config.Limits.MaxUpstreamConns.
func (p *Pool) SetMaxConns(maxConns int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxConns = maxConns
}

// Send puts an attempt on a connection, or opens one for it. Where neither is possible, it
// reports OutcomeConnectionRefused before it returns. A withdrawn attempt is passed over.
func (p *Pool) Send(call *Call) {
	if call.Attempt.Withdrawn() { // the client left as it was decided
		return
	}
	p.mu.Lock()
	conn := p.selectConn(p.peer(call.Attempt.Endpoint), call.id())
	if conn == nil {
		p.mu.Unlock()
		call.Attempt.Withdraw()
		p.ended(call.Attempt, engine.Result{Outcome: policy.OutcomeConnectionRefused})
		return
	}
	call.conn = conn
	call.Body.Retain()
	conn.calls[call.id()] = call
	conn.enqueueAndUnlock(outgoing{call: call})
}

// CheckHealth asks an endpoint whether it is ready. Done is called, from any goroutine or
// before this returns, unless the check is cancelled first; ok is false if there was no
// answer. It sets no time limit. id is unique among the requests and checks in flight.
func (p *Pool) CheckHealth(endpoint *engine.Endpoint, id string, done func(ok bool)) {
	p.mu.Lock()
	conn := p.selectConn(p.peer(endpoint), id)
	if conn == nil {
		p.mu.Unlock()
		done(false)
		return
	}
	conn.healthChecks[id] = done
	conn.enqueueAndUnlock(outgoing{ping: id})
}

// CancelHealthCheck forgets a health check and reports whether it was still
// unanswered. Nothing new is sent on its connection then.
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
			conn.noteIdle()
			return true
		}
	}
	return false
}

// Drain lets connections to endpoints that take no new work end with their
// attempts. An attempt that is not on a connection yet is skipped, since it is
// proven not to have run.
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
			conn.noteIdle()
		}
	}
	p.mu.Unlock()
	for _, call := range unsent {
		p.ended(call.Attempt, engine.Result{Outcome: policy.OutcomeSkipped})
	}
}

// Sweep closes connections that have been idle for config.Limits.UpstreamIdleTimeout,
// before the server does, and forgets abandoned attempts whose responses can't come any
// more. It is called at intervals.
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

// Close closes every connection and opens no more.
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

// ConnCount returns how many connections there are.
func (p *Pool) ConnCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connCount
}
