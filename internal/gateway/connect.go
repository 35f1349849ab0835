package gateway

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"github.com/sirupsen/logrus"

	"quilldoor/internal/gateway/peerproto"
)

const (
	// handshakeTimeout is for TLS and the greeting, over any distance.
	handshakeTimeout = 2 * time.Second

	initialReconnectBackoff = 50 * time.Millisecond
	maxReconnectBackoff     = 2 * time.Second
)

var (
	errConnectionEnded = errors.New("connection ended") // of one that had been greeted
	errWrongPeer       = errors.New("another peer than the configured one answered")
	errUnknownPeer     = errors.New("the caller is no peer of this router")
	errEarlierStart    = errors.New("the connection is of an earlier start of the peer")
)

// keepConnected dials a peer, and again when the connection has ended. It waits between
// two failures, doubling, with jitter, so that routers that lost one peer don't dial it
// all at once.
func (g *Gateway) keepConnected(peer Peer, incarnation uint64, jitter *rand.Rand) {
	backoff, logged := initialReconnectBackoff, ""
	for g.ctx.Err() == nil {
		err := g.connect(peer, incarnation)
		if err == nil || errors.Is(err, errConnectionEnded) {
			backoff, logged = initialReconnectBackoff, ""
		}
		if g.ctx.Err() != nil {
			return
		}
		if reason := failureReason(err); reason != logged {
			logged = reason
			g.log.WithFields(logrus.Fields{"peer": peer.Name, "reason": reason}).WithError(err).Warn("gateway: no connection to a peer")
		}
		select {
		case <-g.ctx.Done():
		case <-time.After(backoff + time.Duration(jitter.Int64N(int64(backoff)/2))):
		}
		backoff = min(2*backoff, maxReconnectBackoff)
	}
}

// connect dials a peer and serves the connection until it ends.
func (g *Gateway) connect(peer Peer, incarnation uint64) error {
	dialer := net.Dialer{Timeout: handshakeTimeout}
	conn, err := dialer.DialContext(g.ctx, "tcp", peer.Addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if g.config.Keys != nil {
		secured := tls.Client(conn, g.config.Keys.clientConfig(peer.Name))
		if err := secured.HandshakeContext(g.ctx); err != nil {
			return err
		}
		conn = secured
	}
	l := newLink(g, conn, peer.Name)
	hello, err := l.greetPeer(peer, incarnation)
	if err != nil {
		return err
	}
	conn.SetDeadline(time.Time{})
	if err := g.addLink(l, peer, hello.Incarnation); err != nil {
		return err
	}
	g.goroutines.Go(l.writeQueue)
	l.sendHeartbeat()
	err = l.readAnswers()
	l.close()
	g.removeLink(l, peer)
	g.log.WithField("peer", peer.Name).WithError(err).Info("gateway: connection lost")
	return fmt.Errorf("%w: %w", errConnectionEnded, err)
}

// greetPeer exchanges greetings on a connection that was dialled.
func (l *link) greetPeer(peer Peer, incarnation uint64) (peerproto.Hello, error) {
	if err := l.sendHello(incarnation); err != nil {
		return peerproto.Hello{}, err
	}
	hello, err := l.readHello()
	if err != nil {
		return hello, err
	}
	if hello.Name != peer.Name || hello.Site != peer.Site {
		return hello, fmt.Errorf("%w: it is %.40q of %.40q, not %q of %q", errWrongPeer, hello.Name, hello.Site, peer.Name, peer.Site)
	}
	return hello, nil
}

func (g *Gateway) addLink(l *link, peer Peer, incarnation uint64) error {
	g.mu.Lock()
	if !g.controller.Connected(g.now(), peer.Name, incarnation) {
		g.mu.Unlock()
		return errEarlierStart
	}
	g.links[peer.Name] = l
	g.applyActions()
	g.log.WithFields(logrus.Fields{"peer": peer.Name, "site": peer.Site}).Info("gateway: connected")
	return nil
}

func (g *Gateway) removeLink(l *link, peer Peer) {
	g.mu.Lock()
	if g.links[peer.Name] == l {
		delete(g.links, peer.Name)
		g.controller.Disconnected(peer.Name)
	}
	g.applyActions()
}

// acceptPeers takes connections of peers.
func (g *Gateway) acceptPeers(incarnation uint64) {
	const (
		connsPerPeer  = 2  // a new one while the old one is not known to be dead
		strangerConns = 16 // closed at their greeting
		acceptBackoff = 50 * time.Millisecond
	)
	places := make(chan struct{}, connsPerPeer*len(g.config.Peers)+strangerConns)
	for {
		conn, err := g.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // out of descriptors, most likely
			select {
			case <-g.ctx.Done():
				return
			case <-time.After(acceptBackoff):
			}
			continue
		}
		select {
		case places <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		g.goroutines.Go(func() {
			defer func() { <-places }()
			defer conn.Close()
			if err := g.serveLink(conn, incarnation); err != nil && g.ctx.Err() == nil {
				g.logRefused(conn, err).Debug("gateway: connection from a peer ended")
			}
		})
	}
}

func (g *Gateway) logRefused(conn net.Conn, err error) *logrus.Entry {
	fields := logrus.Fields{"from": conn.RemoteAddr().String(), "reason": failureReason(err)}
	return g.log.WithFields(fields).WithError(err)
}

// serveLink serves a connection that a peer dialled until it ends.
func (g *Gateway) serveLink(conn net.Conn, incarnation uint64) error {
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	certified := "" // the name in the peer's certificate
	if g.config.Keys != nil {
		secured := tls.Server(conn, g.config.Keys.serverConfig())
		ctx, cancel := context.WithTimeout(g.ctx, handshakeTimeout)
		defer cancel()
		if err := secured.HandshakeContext(ctx); err != nil {
			g.logRefused(conn, err).Warn("gateway: peer refused")
			return err
		}
		certified = peerName(secured.ConnectionState())
		conn = secured
	}
	l := newLink(g, conn, "")
	if err := l.greetDialler(certified, incarnation); err != nil {
		return err
	}
	conn.SetDeadline(time.Time{})
	key := "from " + l.peer + conn.RemoteAddr().String()
	g.mu.Lock()
	g.links[key] = l
	g.mu.Unlock()
	g.goroutines.Go(l.writeQueue)
	l.sendHeartbeat()
	defer g.endInboundLink(l, key)
	return l.readRequests()
}

// greetDialler exchanges greetings on a connection that was accepted.
func (l *link) greetDialler(certified string, incarnation uint64) error {
	hello, err := l.readHello()
	if err != nil {
		return err
	}
	l.gateway.mu.Lock()
	peer := l.gateway.controller.Peer(hello.Name)
	l.gateway.mu.Unlock()
	if peer == nil || peer.Site != hello.Site || certified != "" && certified != hello.Name {
		return fmt.Errorf("%w: %.40q of %.40q", errUnknownPeer, hello.Name, hello.Site)
	}
	l.peer = hello.Name
	return l.sendHello(incarnation)
}

// endInboundLink gives up the requests that came on a link.
func (g *Gateway) endInboundLink(l *link, key string) {
	l.close()
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.links, key)
	for number, request := range l.inbound {
		request.markClientGone()
		if !request.complete {
			l.dropInbound(number, request, false)
		}
	}
}
