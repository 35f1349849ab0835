package transport

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"quilldoor/internal/cborcodec"
)

// A datagram between routers of a site is a version (1 byte), a CBOR payload and an authentication tag: the first
// 16 bytes of an HMAC-SHA256 (RFC 2104) of all bytes before it, keyed by the secret that the site's routers share.

// datagramVersion is the version of the datagram format. Fields may be added to payloads under the same version:
// unknown fields are ignored, missing ones are zero.
const datagramVersion = 1

// Sizes of datagrams and keys, in bytes.
const (
	// MaxDatagram is the longest datagram that is sent or accepted. It stays below the usual path MTU, so that no
	// datagram is fragmented.
	MaxDatagram = 1400

	versionSize  = 1
	tagSize      = 16
	minKeyLength = 16
)

// Errors of rejected datagrams, in the order of the checks, the cheapest first. Each wraps errMalformed.
var (
	errMalformed      = errors.New("malformed datagram")
	errSize           = fmt.Errorf("%w: invalid size", errMalformed)
	errVersion        = fmt.Errorf("%w: unknown version", errMalformed)
	errAuthentication = fmt.Errorf("%w: invalid authentication tag", errMalformed)
	errPayload        = fmt.Errorf("%w: invalid payload", errMalformed)
)

// datagramDecoder limits the size of a datagram's decoded payload.
var datagramDecoder = cborcodec.NewStrictDecoder(cborcodec.Limits{
	MaxArrayElements: 1024, MaxMapPairs: 64, MaxNestedLevels: 6, RejectDuplicateKeys: true,
})

// sealDatagram encodes a payload and authenticates it with the shared key.
func sealDatagram(key []byte, payload any) ([]byte, error) {
	body, err := cbor.Marshal(payload)
	if err != nil {
		return nil, fmt.Errorf("encode datagram payload: %w", err)
	}
	if versionSize+len(body)+tagSize > MaxDatagram {
		return nil, errSize
	}
	datagram := make([]byte, 0, versionSize+len(body)+sha256.Size)
	datagram = append(datagram, datagramVersion)
	datagram = append(datagram, body...)
	return append(datagram, authenticationTag(key, datagram)...), nil
}

// openDatagram authenticates a datagram and decodes its payload. It rejects an invalid size or version before it
// computes the authentication tag, and an invalid tag before it decodes the payload.
func openDatagram(key, datagram []byte, payload any) error {
	switch {
	case len(datagram) <= versionSize+tagSize || len(datagram) > MaxDatagram:
		return errSize
	case datagram[0] != datagramVersion:
		return errVersion
	}
	signed, tag := datagram[:len(datagram)-tagSize], datagram[len(datagram)-tagSize:]
	if subtle.ConstantTimeCompare(tag, authenticationTag(key, signed)) != 1 {
		return errAuthentication
	}
	if err := datagramDecoder.Unmarshal(signed[versionSize:], payload); err != nil {
		return errors.Join(errPayload, err)
	}
	return nil
}

// authenticationTag returns the tag of the bytes that precede it in a datagram.
func authenticationTag(key, signed []byte) []byte {
	mac := hmac.New(sha256.New, key)
	mac.Write(signed)
	return mac.Sum(nil)[:tagSize]
}
