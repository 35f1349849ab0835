package gateway

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync/atomic"

	"quilldoor/internal/gateway/peerproto"
)

// Keys are a router's certificate and the authorities that it trusts: PEM files, read again
// by Load. Connections use TLS 1.3 with certificates both ways; a peer's must name it.
type Keys struct {
	Cert, Key, CA string // paths
	current       atomic.Pointer[keyMaterial]
}

type keyMaterial struct {
	cert        tls.Certificate
	authorities *x509.CertPool
}

// Load reads the files. After an error the ones read before stay in force.
func (k *Keys) Load() error {
	cert, err := tls.LoadX509KeyPair(k.Cert, k.Key)
	if err != nil {
		return fmt.Errorf("gateway.cert: %w", err)
	}
	text, err := os.ReadFile(k.CA)
	if err != nil {
		return fmt.Errorf("gateway.ca: %w", err)
	}
	trust := x509.NewCertPool()
	if !trust.AppendCertsFromPEM(text) {
		return fmt.Errorf("gateway.ca: %s holds no certificate", k.CA)
	}
	k.current.Store(&keyMaterial{cert, trust})
	return nil
}

// clientConfig is the configuration for dialling a peer.
func (k *Keys) clientConfig(peer string) *tls.Config {
	l := k.current.Load()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{l.cert}, RootCAs: l.authorities, ServerName: peer}
}

// serverConfig is that for being dialled. The greeting is held against the name in the
// certificate.
func (k *Keys) serverConfig() *tls.Config {
	l := k.current.Load()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{l.cert}, ClientCAs: l.authorities,
		ClientAuth: tls.RequireAndVerifyClientCert,
	}
}

// peerName is the first name of a peer's certificate.
func peerName(s tls.ConnectionState) string {
	if len(s.PeerCertificates) == 0 || len(s.PeerCertificates[0].DNSNames) == 0 {
		return "?"
	}
	return s.PeerCertificates[0].DNSNames[0]
}

// failureReason words why a connection failed, in a few constant words.
func failureReason(err error) string {
	var (
		invalid x509.CertificateInvalidError
		unknown x509.UnknownAuthorityError
		name    x509.HostnameError
		alert   tls.AlertError
		refused *net.OpError
	)
	switch {
	case err == nil:
		return "ended"
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return "certificate expired"
	case errors.As(err, &invalid):
		return "certificate not valid"
	case errors.As(err, &unknown):
		return "certificate of an unknown issuer"
	case errors.As(err, &name):
		return "certificate of another name"
	case errors.As(err, &alert):
		return "the peer refused our certificate"
	case errors.Is(err, peerproto.ErrMalformed), errors.Is(err, errWrongPeer), errors.Is(err, errUnknownPeer),
		errors.Is(err, errEarlierStart):
		return "protocol"
	case errors.Is(err, errConnectionEnded):
		return "connection lost"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "closed by the peer"
	case errors.As(err, &refused):
		return "not reachable"
	}
	return "other"
}
