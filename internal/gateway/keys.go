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

// Keys are a router's certificate, its private key and the certificate authorities that it
// trusts, read from PEM files by Load. Connections use mutual TLS 1.3, and the certificate of
// a peer has to hold the peer's name.
type Keys struct {
	Cert, Key, CA string // paths of the files
	current       atomic.Pointer[keyMaterial]
}

type keyMaterial struct {
	cert        tls.Certificate
	authorities *x509.CertPool
}

// Load reads the files. A later call replaces the keys for connections made from then on.
// After an error the keys loaded before stay in use.
func (k *Keys) Load() error {
	cert, err := tls.LoadX509KeyPair(k.Cert, k.Key)
	if err != nil {
		return fmt.Errorf("gateway.cert: %s with gateway.key %s: %w", k.Cert, k.Key, err)
	}
	encoded, err := os.ReadFile(k.CA)
	if err != nil {
		return fmt.Errorf("gateway.ca: %w", err)
	}
	authorities := x509.NewCertPool()
	if !authorities.AppendCertsFromPEM(encoded) {
		return fmt.Errorf("gateway.ca: %s holds no certificate", k.CA)
	}
	k.current.Store(&keyMaterial{cert, authorities})
	return nil
}

// clientConfig returns the TLS configuration for connections to a peer.
func (k *Keys) clientConfig(peer string) *tls.Config {
	material := k.current.Load()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{material.cert}, RootCAs: material.authorities, ServerName: peer}
}

// serverConfig returns the TLS configuration for accepted connections. It does not check the
// peer's name: handshakeAsAcceptor compares the name in the certificate with that in the
// hello.
func (k *Keys) serverConfig() *tls.Config {
	material := k.current.Load()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{material.cert}, ClientCAs: material.authorities,
		ClientAuth: tls.RequireAndVerifyClientCert,
	}
}

// peerName returns the first DNS name in a peer's certificate; "?": there is none.
func peerName(state tls.ConnectionState) string {
	if len(state.PeerCertificates) == 0 || len(state.PeerCertificates[0].DNSNames) == 0 {
		return "?"
	}
	return state.PeerCertificates[0].DNSNames[0]
}

// failureReason classifies the error of a connection for the log field "reason". The set of
// reasons is fixed.
func failureReason(err error) string {
	var (
		invalidCert      x509.CertificateInvalidError
		unknownAuthority x509.UnknownAuthorityError
		wrongName        x509.HostnameError
		tlsAlert         tls.AlertError
		networkError     *net.OpError
	)
	switch {
	case err == nil:
		return "ended"
	case errors.As(err, &invalidCert) && invalidCert.Reason == x509.Expired:
		return "certificate expired"
	case errors.As(err, &invalidCert):
		return "certificate not valid"
	case errors.As(err, &unknownAuthority):
		return "certificate of an unknown issuer"
	case errors.As(err, &wrongName):
		return "certificate of another name"
	case errors.As(err, &tlsAlert):
		return "the peer refused our certificate"
	case errors.Is(err, peerproto.ErrMalformed), errors.Is(err, errWrongPeer), errors.Is(err, errUnknownPeer),
		errors.Is(err, errStaleIncarnation):
		return "protocol"
	case errors.Is(err, errConnectionEnded):
		return "connection lost"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "closed by the peer"
	case errors.As(err, &networkError):
		return "not reachable"
	}
	return "other"
}
