package gossip_test

import (
	"errors"
	"testing"

	"quilldoor/internal/cborcodec"
	"quilldoor/internal/cborcodec/cborcodectest"
	"quilldoor/internal/gossip"
)

// requestPair is the encoded map entry of a request without digests: its key and its value.
const requestPair = "\x01\xa1\x01\x80"

func TestPayloadLimits(t *testing.T) {
	// The map of the payload takes up one level.
	limits := cborcodec.Limits{MaxArrayElements: 1024, MaxMapPairs: 16, MaxNestedLevels: 6 - 1}
	cborcodectest.Check(t, limits, func(encoded []byte) error {
		withUnknownKey := append([]byte("\xa2"+requestPair+"\x03"), encoded...)
		if gossip.Decode(withUnknownKey) == nil {
			return errors.New("payload rejected as malformed")
		}
		return nil
	})
}

func TestPayloadsWithoutContentAreMalformed(t *testing.T) {
	for name, c := range map[string]struct {
		encoded  string
		accepted bool
	}{
		"request":       {"\xa1" + requestPair, true},
		"request twice": {"\xa2" + requestPair + requestPair, true},
		"indefinite":    {"\xbf" + requestPair + "\xff", false},
		"empty":         {"", false},
		"unknown key":   {"\xa1\x03\x00", false},
		"truncated":     {"\xa1" + requestPair[:len(requestPair)-1], false},
		"trailing byte": {"\xa1" + requestPair + "\x00", false},
	} {
		if accepted := gossip.Decode([]byte(c.encoded)) != nil; accepted != c.accepted {
			t.Errorf("%s: accepted = %t, want %t", name, accepted, c.accepted)
		}
	}
}
