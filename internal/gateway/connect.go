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
	// handshakeTimeout bounds the TLS handshake and the exchange of hellos, over any distance.
	handshakeTimeout = 2 * time.Second

	initialReconnectBackoff = 50 * time.Millisecond
	maxReconnectBackoff     = 2 * time.Second
)

var (
	errConnectionEnded  = errors.New("connection ended") // after a complete handshake
	errWrongPeer        = errors.New("the dialled router is not the configured peer")
	errUnknownPeer      = errors.New("the dialling router is not a configured peer")
	errStaleIncarnation = errors.New("the peer's incarnation is older than one seen before")
)

// keepConnected dials a peer and reconnects after each failure. It waits before it
// reconnects, with a backoff that doubles and starts anew after a complete handshake. The
// jitter keeps routers that lost the same peer from dialling it at the same time.
//
// A failure is logged if its reason differs from the last one logged for the peer.
func (g *Gateway) keepConnected(peer Peer, incarnation uint64, jitter *rand.Rand) {
	backoff, loggedReason := initialReconnectBackoff, ""
	for g.ctx.Err() == nil {
		err := g.connect(peer, incarnation)
		if err == nil || errors.Is(err, errConnectionEnded) {
			backoff, loggedReason = initialReconnectBackoff, ""
		}
		if g.ctx.Err() != nil {
			return
		}
		if reason := failureReason(err); reason != loggedReason {
			loggedReason = reason
			g.log.WithFields(logrus.Fields{"peer": peer.Name, "reason": reason}).WithError(err).Warn("gateway: no connection to a peer")
		}
		select {
		case <-g.ctx.Done():
		case <-time.After(backoff + time.Duration(jitter.Int64N(int64(backoff)/2))):
		}
		backoff = min(2*backoff, maxReconnectBackoff)
	}
}

// connect dials a peer and handles the connection until it ends. It never returns a nil error.
func (g *Gateway) connect(peer Peer, incarnation uint64) error {
	dialer := net.Dialer{Timeout: handshakeTimeout}
	conn, err := dialer.DialContext(g.ctx, "tcp", peer.Addr)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	if g.config.Keys != nil {
		tlsConn := tls.Client(conn, g.config.Keys.clientConfig(peer.Name))
		if err := tlsConn.HandshakeContext(g.ctx); err != nil {
			return err
		}
		conn = tlsConn
	}
	l := newLink(g, conn, peer.Name)
	hello, err := l.handshakeAsDialler(peer, incarnation)
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

// handshakeAsDialler exchanges hellos on a connection that this router dialled.
func (l *link) handshakeAsDialler(peer Peer, incarnation uint64) (peerproto.Hello, error) {
	if err := l.sendHello(incarnation); err != nil {
		return peerproto.Hello{}, err
	}
	hello, err := l.readHello()
	if err != nil {
		return hello, err
	}
	if hello.Name != peer.Name || hello.Site != peer.Site {
		return hello, fmt.Errorf("%w: it is %.40q of site %.40q, not %q of site %q", errWrongPeer, hello.Name, hello.Site, peer.Name, peer.Site)
	}
	return hello, nil
}

// addLink registers a dialled link once its handshake is complete.
func (g *Gateway) addLink(l *link, peer Peer, incarnation uint64) error {
	g.mu.Lock()
	if !g.controller.Connected(g.now(), peer.Name, incarnation) {
		g.mu.Unlock()
		return errStaleIncarnation
	}
	g.links[peer.Name] = l
	g.applyActions()
	g.log.WithFields(logrus.Fields{"peer": peer.Name, "site": peer.Site}).Info("gateway: connected")
	return nil
}

// removeLink removes a dialled link unless a later one has replaced it.
func (g *Gateway) removeLink(l *link, peer Peer) {
	g.mu.Lock()
	if g.links[peer.Name] == l {
		delete(g.links, peer.Name)
		g.controller.Disconnected(peer.Name)
	}
	g.applyActions()
}

// acceptPeers accepts connections of peers until the listener is closed. A connection beyond
// the bound is closed at once.
func (g *Gateway) acceptPeers(incarnation uint64) {
	const (
		connsPerPeer     = 2  // a peer may reconnect before the loss of its old connection is detected
		unknownPeerConns = 16 // connections of unknown routers, closed in the handshake
		acceptBackoff    = 50 * time.Millisecond
	)
	slots := make(chan struct{}, connsPerPeer*len(g.config.Peers)+unknownPeerConns)
	for {
		conn, err := g.listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // most likely out of file descriptors
			select {
			case <-g.ctx.Done():
				return
			case <-time.After(acceptBackoff):
			}
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			conn.Close()
			continue
		}
		g.goroutines.Go(func() {
			defer func() { <-slots }()
			defer conn.Close()
			if err := g.serveLink(conn, incarnation); err != nil && g.ctx.Err() == nil {
				g.connErrorLog(conn, err).Debug("gateway: connection from a peer ended")
			}
		})
	}
}

// connErrorLog returns a log entry about an error on an accepted connection.
func (g *Gateway) connErrorLog(conn net.Conn, err error) *logrus.Entry {
	fields := logrus.Fields{"from": conn.RemoteAddr().String(), "reason": failureReason(err)}
	return g.log.WithFields(fields).WithError(err)
}

// serveLink handles a connection that a peer dialled until it ends.
func (g *Gateway) serveLink(conn net.Conn, incarnation uint64) error {
	conn.SetDeadline(time.Now().Add(handshakeTimeout))
	certifiedName := "" // in the peer's certificate; empty without TLS
	if g.config.Keys != nil {
		tlsConn := tls.Server(conn, g.config.Keys.serverConfig())
		ctx, cancel := context.WithTimeout(g.ctx, handshakeTimeout)
		defer cancel()
		if err := tlsConn.HandshakeContext(ctx); err != nil {
			g.connErrorLog(conn, err).Warn("gateway: peer refused")
			return err
		}
		certifiedName = peerName(tlsConn.ConnectionState())
		conn = tlsConn
	}
	l := newLink(g, conn, "")
	if err := l.handshakeAsAcceptor(certifiedName, incarnation); err != nil {
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

// handshakeAsAcceptor exchanges hellos on a connection that this router accepted. With
// TLS, the first name in the peer's certificate has to be the name in its hello.
func (l *link) handshakeAsAcceptor(certifiedName string, incarnation uint64) error {
	hello, err := l.readHello()
	if err != nil {
		return err
	}
	l.gateway.mu.Lock()
	peer := l.gateway.controller.Peer(hello.Name)
	l.gateway.mu.Unlock()
	if peer == nil || peer.Site != hello.Site || certifiedName != "" && certifiedName != hello.Name {
		return fmt.Errorf("%w: %.40q of site %.40q, certificate name %.40q", errUnknownPeer, hello.Name, hello.Site, certifiedName)
	}
	l.peer = hello.Name
	return l.sendHello(incarnation)
}

// endInboundLink closes an accepted link and cancels the requests that arrived on it. A
// request that has arrived completely is ended by runInbound, which is executing it.
func (g *Gateway) endInboundLink(l *link, key string) {
	l.close()
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.links, key)
	for number, request := range l.inbound {
		request.cancel()
		if !request.complete {
			l.finishInboundLocked(number, request, false)
		}
	}
}
