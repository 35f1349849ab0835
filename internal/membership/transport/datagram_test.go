package transport

import (
	"bytes"
	"errors"
	"testing"

	"quilldoor/internal/cborcodec"
	"quilldoor/internal/cborcodec/cborcodectest"
)

type testPayload struct {
	Name string `cbor:"1,keyasint"`
	N    int    `cbor:"2,keyasint,omitempty"`
}

var sharedKey = []byte("sixteen bytes or more")

func TestInvalidDatagramsAreRejected(t *testing.T) {
	valid, err := sealDatagram(sharedKey, &testPayload{"a", 3})
	if err != nil {
		t.Fatal(err)
	}
	var got testPayload
	if err := openDatagram(sharedKey, valid, &got); err != nil || got != (testPayload{"a", 3}) {
		t.Fatalf("valid datagram: decoded %+v, %v", got, err)
	}
	if _, err := sealDatagram(sharedKey, &testPayload{string(make([]byte, MaxDatagram)), 0}); !errors.Is(err, errSize) {
		t.Errorf("payload too large: %v, want errSize", err)
	}
	foreign, _ := sealDatagram([]byte("another key of theirs"), &testPayload{"a", 3})
	for name, c := range map[string]struct {
		datagram []byte
		want     error
	}{
		"empty":       {nil, errSize},
		"short":       {valid[:17], errSize},
		"long":        {append(bytes.Clone(valid), make([]byte, MaxDatagram)...), errSize},
		"version":     {append([]byte{datagramVersion + 1}, valid[1:]...), errVersion},
		"foreign key": {foreign, errAuthentication},
		"truncated":   {valid[:len(valid)-1], errAuthentication},
	} {
		if err := openDatagram(sharedKey, c.datagram, &got); !errors.Is(err, c.want) || !errors.Is(err, errMalformed) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
	for i := 1; i < len(valid); i++ {
		changed := bytes.Clone(valid)
		changed[i] ^= 1
		if err := openDatagram(sharedKey, changed, &got); !errors.Is(err, errAuthentication) {
			t.Errorf("byte %d changed: %v, want errAuthentication", i, err)
		}
	}
	list, _ := sealDatagram(sharedKey, []string{"no", "map"})
	if err := openDatagram(sharedKey, list, &got); !errors.Is(err, errPayload) || !errors.Is(err, errMalformed) {
		t.Errorf("list instead of a map: %v, want errPayload", err)
	}
}

func TestPayloadLimits(t *testing.T) {
	limits := cborcodec.Limits{
		MaxArrayElements: 1024, MaxMapPairs: 64, MaxNestedLevels: 6, RejectDuplicateKeys: true,
	}
	cborcodectest.Check(t, limits, func(encoded []byte) error {
		datagram := append([]byte{datagramVersion}, encoded...)
		datagram = append(datagram, authenticationTag(sharedKey, datagram)...)
		err := openDatagram(sharedKey, datagram, new(any))
		if err != nil && !errors.Is(err, errPayload) {
			t.Errorf("payload %.8x: %v, want errPayload", encoded, err)
		}
		return err
	})
}

func FuzzOpenDatagram(f *testing.F) {
	b, _ := sealDatagram(sharedKey, &testPayload{"a", 3})
	f.Add(b)
	f.Add(append([]byte{1}, authenticationTag(sharedKey, []byte{1})...))
	f.Fuzz(func(t *testing.T, b []byte) {
		var got testPayload
		if openDatagram(sharedKey, b, &got) == nil && len(b) > MaxDatagram {
			t.Fatalf("datagram of %d bytes accepted, want at most %d", len(b), MaxDatagram)
		}
		if len(b) < MaxDatagram-tagSize { // b as the payload of a datagram with a valid authentication tag
			signed := append([]byte{datagramVersion}, b...)
			signed = append(signed, authenticationTag(sharedKey, signed)...)
			_ = openDatagram(sharedKey, signed, &got) // must not panic; any error is allowed
		}
	})
}

// BenchmarkDatagram measures opening an accepted and a forged datagram.
func BenchmarkDatagram(b *testing.B) {
	valid, _ := sealDatagram(sharedKey, &testPayload{"a", 3})
	forged := append(bytes.Clone(valid[:len(valid)-1]), valid[len(valid)-1]^1)
	for name, datagram := range map[string][]byte{"good": valid, "forged": forged} {
		b.Run(name, func(b *testing.B) {
			var got testPayload
			for range b.N {
				_ = openDatagram(sharedKey, datagram, &got) // the forged one is rejected
			}
		})
	}
}
