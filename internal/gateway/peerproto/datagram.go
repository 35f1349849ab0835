package peerproto

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// Datagrams among routers of a site: a version (1 byte), a CBOR payload, and its
// proof: the first 16 bytes of an HMAC-SHA256 (RFC 2104) of all before it.

// DatagramVersion is that of the form. Fields may be added to payloads without a
// new one: unknown fields are passed over, missing ones are zero.
const DatagramVersion = 1

// Bounds of datagrams.
const (
	MaxDatagram = 1400 // no path of ours cuts it into pieces
	proofSize   = 16
)

// Errors of datagrams, cheapest first; all are ErrBroken.
var (
	ErrSize    = fmt.Errorf("%w: size", ErrMalformed)
	ErrVersion = fmt.Errorf("%w: version", ErrMalformed)
	ErrProof   = fmt.Errorf("%w: proof", ErrMalformed)
	ErrPayload = fmt.Errorf("%w: payload", ErrMalformed)
)

// MinKeyLength is the least length of a shared key.
const MinKeyLength = 16

var datagramDecoding = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxArrayElements: 1024, MaxMapPairs: 64, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, DupMapKey: cbor.DupMapKeyEnforcedAPF,
	}.DecMode()
	if err != nil {
		panic(err) // the options stand above
	}
	return m
}()

// Seal writes a payload as a datagram.
func Seal(key []byte, payload any) ([]byte, error) {
	p, err := cbor.Marshal(payload)
	if err != nil {
		return nil, err
	}
	if len(p)+1+proofSize > MaxDatagram {
		return nil, ErrSize
	}
	b := append(make([]byte, 0, len(p)+1+sha256.Size), DatagramVersion)
	b = append(b, p...)
	return append(b, proof(key, b)...), nil
}

// Open proves a datagram and reads its payload. A wrong proof costs one hash, a
// wrong size or version nothing.
func Open(key, b []byte, into any) error {
	switch {
	case len(b) <= 1+proofSize || len(b) > MaxDatagram:
		return ErrSize
	case b[0] != DatagramVersion:
		return ErrVersion
	}
	body, sign := b[:len(b)-proofSize], b[len(b)-proofSize:]
	if subtle.ConstantTimeCompare(sign, proof(key, body)) != 1 {
		return ErrProof
	}
	if err := datagramDecoding.Unmarshal(body[1:], into); err != nil {
		return errors.Join(ErrPayload, err)
	}
	return nil
}

func proof(key, b []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write(b)
	return m.Sum(nil)[:proofSize]
}
