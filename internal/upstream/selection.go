package upstream

import (
	"context"
	"time"

	"quilldoor/internal/engine"
)

func (p *Pool) peer(endpoint *engine.Endpoint) *peer {
	key := keyOf(endpoint)
	if p.peers[key] == nil {
		p.peers[key] = &peer{peerKey: key}
	}
	return p.peers[key]
}

// selectConn finds a connection for a call or health check by its id; nil: the
// bounds on connections leave none. An idle connection comes first, then a new
// one, then the one with the fewest calls: a long response on a connection
// delays the others.
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

// leastLoaded finds the connection with the fewest calls that may take the id,
// among equals the one that was idle last. A connection never carries an id
// twice, since responses name calls by it.
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

func (c *conn) preferredTo(other *conn) bool {
	if len(c.calls) != len(other.calls) {
		return len(c.calls) < len(other.calls)
	}
	return c.idleSince.After(other.idleSince)
}

// evictIdle closes the connection that has been idle longest.
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

// openConn adds a connection, which takes calls while it is being dialled.
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
	p.peers[peer.peerKey] = peer // its last connection may just have been evicted
	p.connCount++
	go c.run(ctx)
	return c
}
