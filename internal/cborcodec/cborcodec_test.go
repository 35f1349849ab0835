package cborcodec

import (
	"encoding/hex"
	"testing"
)

type message struct {
	Values []int       `cbor:"1,keyasint,omitempty"`
	Table  map[int]int `cbor:"2,keyasint,omitempty"`
	Nested []any       `cbor:"3,keyasint,omitempty"`
}

func TestStrictDecoderRefusesWhatNoRouterSends(t *testing.T) {
	limits := Limits{MaxArrayElements: 16, MaxMapPairs: 16, MaxNestedLevels: 4}
	lenient := limits
	strict := limits
	strict.RejectDuplicateKeys = true
	for _, test := range []struct {
		name          string
		encoded       string // hexadecimal
		limits        Limits
		wantsAccepted bool
	}{
		{"message", "a101820102", strict, true},
		{"unknown key", "a20182010218630a", strict, true},
		{"array at the limit", "a10190" + "00000000000000000000000000000000", strict, true},
		{"array beyond the limit", "a10191" + "0000000000000000000000000000000000", strict, false},
		{"map beyond the limit", "a102b1" + "0000010002000300040005000600070008000900" + "0a000b000c000d000e000f001000", strict, false},
		{"nested at the limit", "a10381818100", strict, true},
		{"nested beyond the limit", "a1038181818100", strict, false},
		{"indefinite length", "a1019f0102ff", strict, false},
		{"tag", "a101c1820102", strict, false},
		{"duplicate key refused", "a2018101018102", strict, false},
		{"duplicate key accepted", "a2018101018102", lenient, true},
		{"truncated", "a1018201", strict, false},
		{"trailing bytes", "a10182010200", strict, false},
	} {
		encoded, err := hex.DecodeString(test.encoded)
		if err != nil {
			t.Fatal(err)
		}
		err = NewStrictDecoder(test.limits).Unmarshal(encoded, new(message))
		if (err == nil) != test.wantsAccepted {
			t.Errorf("%s: error %v, want accepted %t", test.name, err, test.wantsAccepted)
		}
	}
}

func TestUnsupportedLimitsPanic(t *testing.T) {
	defer func() {
		if recover() == nil {
			t.Error("limits below the library's minimum were accepted")
		}
	}()
	NewStrictDecoder(Limits{MaxArrayElements: 1, MaxMapPairs: 1, MaxNestedLevels: 1})
}
