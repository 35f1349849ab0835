package gateway

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"time"
)

const (
	publicFileMode  = 0o644
	privateFileMode = 0o600
)

// MakeKeys creates a certificate authority for trials and issues a certificate for each name.
// It writes ca.pem, and NAME.pem and NAME.key for each name, to a directory. The authority's
// private key is discarded.
func MakeKeys(dir string, names []string, lifetime time.Duration) error {
	authority, err := newTrialAuthority(lifetime)
	if err != nil {
		return err
	}
	if err := writePEM(dir, "ca.pem", "CERTIFICATE", authority.encoded, publicFileMode); err != nil {
		return err
	}
	for _, name := range names {
		if err := authority.issue(dir, name); err != nil {
			return err
		}
	}
	return nil
}

// trialAuthority is a certificate authority that exists only while MakeKeys runs.
type trialAuthority struct {
	certificate *x509.Certificate
	encoded     []byte // the certificate in DER
	key         *ecdsa.PrivateKey
}

func newTrialAuthority(lifetime time.Duration) (*trialAuthority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	serial, err := serialNumber()
	if err != nil {
		return nil, err
	}
	now := time.Now()
	certificate := &x509.Certificate{
		SerialNumber:          serial,
		Subject:               pkix.Name{CommonName: "quilldoor trial authority"},
		NotBefore:             now.Add(-time.Minute), // the clocks of trial machines differ a little
		NotAfter:              now.Add(lifetime),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign,
	}
	encoded, err := x509.CreateCertificate(rand.Reader, certificate, certificate, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	return &trialAuthority{certificate: certificate, encoded: encoded, key: key}, nil
}

// issue writes a certificate and a private key for a router's name to a directory.
func (a *trialAuthority) issue(dir, name string) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	serial, err := serialNumber()
	if err != nil {
		return err
	}
	leaf := &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		DNSNames:     []string{name},
		NotBefore:    a.certificate.NotBefore,
		NotAfter:     a.certificate.NotAfter,
		KeyUsage:     x509.KeyUsageDigitalSignature,
		ExtKeyUsage:  []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	encoded, err := x509.CreateCertificate(rand.Reader, leaf, a.certificate, &key.PublicKey, a.key)
	if err != nil {
		return err
	}
	privateKey, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	if err := writePEM(dir, name+".pem", "CERTIFICATE", encoded, publicFileMode); err != nil {
		return err
	}
	return writePEM(dir, name+".key", "EC PRIVATE KEY", privateKey, privateFileMode)
}

func serialNumber() (*big.Int, error) {
	const serialBits = 120
	return rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
}

func writePEM(dir, name, blockType string, content []byte, mode os.FileMode) error {
	encoded := pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: content})
	return os.WriteFile(filepath.Join(dir, name), encoded, mode)
}
