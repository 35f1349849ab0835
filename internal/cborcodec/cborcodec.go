// Package cborcodec makes strict CBOR (RFC 8949) decoders for the messages between routers
// and between a supervisor and its processes. Each protocol sets its own Limits; the options
// that all protocols share are set here.
package cborcodec

import (
	"github.com/fxamacker/cbor/v2"
)

// Limits bound the messages that a decoder accepts, so that a malformed or hostile message
// is rejected before it costs memory or stack.
type Limits struct {
	MaxArrayElements int // of each array
	MaxMapPairs      int // of each map
	MaxNestedLevels  int // of nested arrays and maps
	// RejectDuplicateKeys rejects a map that has a key twice. Otherwise the last value
	// of a key counts.
	RejectDuplicateKeys bool
}

// NewStrictDecoder returns a decoder that enforces the limits. It also rejects tags, and
// arrays, maps and strings of indefinite length, none of which a router sends. Keys that the
// target type does not have are skipped, so that programs of different versions can exchange
// messages.
//
// It panics on limits that the CBOR library does not support. It is meant for package
// variables, where such limits stop the program when it first starts.
func NewStrictDecoder(limits Limits) cbor.DecMode {
	options := cbor.DecOptions{
		MaxArrayElements: limits.MaxArrayElements,
		MaxMapPairs:      limits.MaxMapPairs,
		MaxNestedLevels:  limits.MaxNestedLevels,
		IndefLength:      cbor.IndefLengthForbidden,
		TagsMd:           cbor.TagsForbidden,
	}
	if limits.RejectDuplicateKeys {
		options.DupMapKey = cbor.DupMapKeyEnforcedAPF
	}
	mode, err := options.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}
