package gateway

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	"quilldoor/internal/gateway/peerproto"
)

// Keys are what a router proves itself with, and whom it trusts: files in PEM,
// read again by Load. TLS 1.3 both ways; a peer's certificate must name it.
type Keys struct {
	Cert, Key, CA string // paths
	now           atomic.Pointer[loaded]
}

type loaded struct {
	cert  tls.Certificate
	trust *x509.CertPool
}

// Load reads the files. After an error those of before stay in force.
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
	k.now.Store(&loaded{cert, trust})
	return nil
}

// client is the configuration for dialling a peer.
func (k *Keys) client(peer string) *tls.Config {
	l := k.now.Load()
	return &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{l.cert}, RootCAs: l.trust, ServerName: peer}
}

// server is that for being dialled. The greeting is held against the name in the
// certificate.
func (k *Keys) server() *tls.Config {
	l := k.now.Load()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{l.cert}, ClientCAs: l.trust,
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

// reasonOf words why a connection failed, in a few words that stay the same.
func reasonOf(err error) string {
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
	case errors.Is(err, peerproto.ErrMalformed):
		return "protocol"
	case errors.Is(err, errEnded):
		return "connection lost"
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return "closed by the peer"
	case errors.As(err, &refused):
		return "not reachable"
	}
	return "other"
}

// MakeKeys makes an authority for trials and a pair for each name in a folder:
// ca.pem, NAME.pem, NAME.key. The authority's own key is not kept.
func MakeKeys(dir string, names []string, lasts time.Duration) error {
	now := time.Now()
	caKey, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	serial := func() *big.Int {
		n, _ := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), 120))
		return n
	}
	ca := &x509.Certificate{
		SerialNumber: serial(), Subject: pkix.Name{CommonName: "quilldoor trial authority"}, NotBefore: now.Add(-time.Minute),
		NotAfter: now.Add(lasts), IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	caText, err := x509.CreateCertificate(rand.Reader, ca, ca, &caKey.PublicKey, caKey)
	if err != nil {
		return err
	}
	write := func(name, kind string, text []byte, mode os.FileMode) error {
		return os.WriteFile(filepath.Join(dir, name), pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: text}), mode)
	}
	if err := write("ca.pem", "CERTIFICATE", caText, 0o644); err != nil {
		return err
	}
	for _, name := range names {
		key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			return err
		}
		leaf := &x509.Certificate{
			SerialNumber: serial(), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, NotBefore: ca.NotBefore,
			NotAfter: ca.NotAfter, KeyUsage: x509.KeyUsageDigitalSignature,
			ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
		}
		text, err := x509.CreateCertificate(rand.Reader, leaf, ca, &key.PublicKey, caKey)
		if err != nil {
			return err
		}
		private, err := x509.MarshalECPrivateKey(key)
		if err != nil {
			return err
		}
		if err := write(name+".pem", "CERTIFICATE", text, 0o644); err != nil {
			return err
		}
		if err := write(name+".key", "EC PRIVATE KEY", private, 0o600); err != nil {
			return err
		}
	}
	return nil
}
