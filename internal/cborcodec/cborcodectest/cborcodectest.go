// Package cborcodectest checks, in a protocol's tests, which encodings the protocol's decoder
// accepts. A decoder that accepts more lets a message cost memory or stack; one that accepts
// less drops the messages of programs of another version.
package cborcodectest

import (
	"strings"
	"testing"

	"quilldoor/internal/cborcodec"
)

// Check fails the test unless decode accepts values at the limits, and returns an error for
// values beyond them and for encodings that no router sends. Decode receives the encoding of
// one value.
func Check(t *testing.T, limits cborcodec.Limits, decode func(encoded []byte) error) {
	t.Helper()
	for name, test := range map[string]struct {
		encoded  string
		accepted bool
	}{
		"array at limit":    {arrayOf(limits.MaxArrayElements), true},
		"array over limit":  {arrayOf(limits.MaxArrayElements + 1), false},
		"map at limit":      {mapOf(limits.MaxMapPairs), true},
		"map over limit":    {mapOf(limits.MaxMapPairs + 1), false},
		"nested at limit":   {nested(limits.MaxNestedLevels), true},
		"nested over limit": {nested(limits.MaxNestedLevels + 1), false},
		"duplicate key":     {"\xa2\x00\x00\x00\x01", !limits.RejectDuplicateKeys},
		"indefinite array":  {"\x9f\x00\xff", false},
		"indefinite map":    {"\xbf\x00\x00\xff", false},
		"indefinite string": {"\x7f\x60\xff", false},
		"tag":               {"\xc1\x00", false},
		"trailing byte":     {"\x80\x00", false},
		"truncated":         {"\x82\x00", false},
	} {
		err := decode([]byte(test.encoded))
		if (err == nil) != test.accepted {
			t.Errorf("%s: error %v, want accepted %t", name, err, test.accepted)
		}
	}
}

// arrayOf encodes an array of zeros.
func arrayOf(elements int) string {
	const header = 0x99 // an array whose length is in the next two bytes
	return string([]byte{header, byte(elements >> 8), byte(elements)}) + strings.Repeat("\x00", elements)
}

// mapOf encodes a map from distinct numbers to zero.
func mapOf(pairs int) string {
	// 0xb9: a map whose length is in the next two bytes.
	const header, twoByteNumber, zero = 0xb9, 0x19, 0x00
	encoded := []byte{header, byte(pairs >> 8), byte(pairs)}
	for key := range pairs {
		encoded = append(encoded, twoByteNumber, byte(key>>8), byte(key), zero)
	}
	return string(encoded)
}

// nested encodes a zero within nested arrays of one element.
func nested(levels int) string { return strings.Repeat("\x81", levels) + "\x00" }
