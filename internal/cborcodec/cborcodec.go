// Package cborcodec makes the strict CBOR (RFC 8949) decoders of the messages between
// routers, and between a supervisor and its processes. Each protocol states its own
// Limits; what all have in common stands here.
package cborcodec

import (
	"github.com/fxamacker/cbor/v2"
)

// Limits bound what a decoder accepts, so that a malformed or hostile message is
// refused before it costs memory or stack.
type Limits struct {
	MaxArrayElements int // of each array
	MaxMapPairs      int // of each map
	MaxNestedLevels  int // of arrays and maps within each other
	// RejectDuplicateKeys refuses a map that has a key twice. Otherwise the last value
	// of a key counts.
	RejectDuplicateKeys bool
}

// NewStrictDecoder returns a decoder that keeps to the limits and refuses tags and
// arrays, maps and strings of indefinite length, which no router sends. Keys that the
// target type does not have are skipped, so that programs of different age understand
// each other.
//
// It panics on limits that the CBOR library does not support. It is meant for package
// variables, where that shows at the first start of a program.
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
