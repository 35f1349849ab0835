package upstream

import (
	"context"
	"time"

	"quilldoor/internal/engine"
)

// ensurePeer returns the peer of an endpoint, and adds it if needed.
func (p *Pool) ensurePeer(endpoint *engine.Endpoint) *peer {
	key := keyOf(endpoint)
	if p.peers[key] == nil {
		p.peers[key] = &peer{peerKey: key}
	}
	return p.peers[key]
}

// selectConn returns the connection for a call or health check with the given id. It
// prefers a connection without calls, then a new one, and then the one with the fewest
// calls, since a long response delays the others on its connection. It exceeds
// MaxConnsPerEndpoint if no connection to the peer accepts the id. In a full pool a new
// connection replaces the one that has been idle longest. It returns nil if a new
// connection is needed, but the pool is closed or is full without an idle one.
func (p *Pool) selectConn(peer *peer, id string) *conn {
	best := p.leastLoaded(peer, id)
	if best != nil && len(best.calls) == 0 {
		return best
	}
	if p.connCount >= p.maxConns {
		p.evictIdle()
	}
	peerIsFull := len(peer.conns) >= p.limits.MaxConnsPerEndpoint
	if p.closed || p.connCount >= p.maxConns || peerIsFull && best != nil {
		return best
	}
	return p.openConn(peer)
}

// leastLoaded returns the connection with the fewest calls that accepts the id. Of
// several it returns the one that was idle most recently. A connection never carries
// two calls with the same id, since a response identifies its call by the id alone.
func (p *Pool) leastLoaded(peer *peer, id string) *conn {
	var best *conn
	for _, conn := range peer.conns {
		if conn.suspect || conn.draining || len(conn.calls) >= p.limits.MaxStreamsPerConn {
			continue
		}
		if best != nil && !conn.preferredTo(best) {
			continue
		}
		if _, abandoned := conn.abandoned[id]; !abandoned && conn.calls[id] == nil {
			best = conn
		}
	}
	return best
}

// preferredTo reports whether leastLoaded prefers the connection to another.
func (c *conn) preferredTo(other *conn) bool {
	if len(c.calls) != len(other.calls) {
		return len(c.calls) < len(other.calls)
	}
	return c.idleSince.After(other.idleSince)
}

// evictIdle closes the connection that has been idle longest, if any is idle.
func (p *Pool) evictIdle() {
	var oldest *conn
	for _, peer := range p.peers {
		for _, conn := range peer.conns {
			if conn.idle() && (oldest == nil || conn.idleSince.Before(oldest.idleSince)) {
				oldest = conn
			}
		}
	}
	if oldest != nil {
		oldest.close()
	}
}

// openConn adds a connection and starts to dial it. It accepts calls at once.
func (p *Pool) openConn(peer *peer) *conn {
	ctx, cancel := context.WithTimeout(context.Background(), p.limits.ConnectTimeout)
	c := &conn{
		pool:         p,
		peer:         peer,
		calls:        map[string]*Call{},
		abandoned:    map[string]time.Time{},
		healthChecks: map[string]func(bool){},
		cancelDial:   cancel,
	}
	peer.conns = append(peer.conns, c)
	p.peers[peer.peerKey] = peer // evicting its last connection may have removed it
	p.connCount++
	go c.run(ctx)
	return c
}
