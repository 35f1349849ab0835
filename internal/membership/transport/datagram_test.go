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
	good, err := sealDatagram(sharedKey, &testPayload{"a", 3})
	if err != nil {
		t.Fatal(err)
	}
	var got testPayload
	if err := openDatagram(sharedKey, good, &got); err != nil || got != (testPayload{"a", 3}) {
		t.Fatalf("%+v, %v", got, err)
	}
	if _, err := sealDatagram(sharedKey, &testPayload{string(make([]byte, MaxDatagram)), 0}); !errors.Is(err, errSize) {
		t.Errorf("too large: %v", err)
	}
	other, _ := sealDatagram([]byte("another key of theirs"), &testPayload{"a", 3})
	for name, c := range map[string]struct {
		b    []byte
		want error
	}{
		"empty":       {nil, errSize},
		"short":       {good[:17], errSize},
		"long":        {append(bytes.Clone(good), make([]byte, MaxDatagram)...), errSize},
		"version":     {append([]byte{datagramVersion + 1}, good[1:]...), errVersion},
		"foreign key": {other, errAuthentication},
		"cut":         {good[:len(good)-1], errAuthentication},
	} {
		if err := openDatagram(sharedKey, c.b, &got); !errors.Is(err, c.want) || !errors.Is(err, errMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for i := 1; i < len(good); i++ {
		bad := bytes.Clone(good)
		bad[i] ^= 1
		if err := openDatagram(sharedKey, bad, &got); !errors.Is(err, errAuthentication) {
			t.Errorf("byte %d changed: %v", i, err)
		}
	}
	list, _ := sealDatagram(sharedKey, []string{"no", "map"})
	if err := openDatagram(sharedKey, list, &got); !errors.Is(err, errPayload) || !errors.Is(err, errMalformed) {
		t.Errorf("another payload: %v", err)
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
			t.Errorf("%.8x: %v is no errPayload", encoded, err)
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
			t.Fatal("too large, and accepted")
		}
		if len(b) < MaxDatagram-tagSize { // the payload alone, past the authentication tag
			signed := append([]byte{datagramVersion}, b...)
			signed = append(signed, authenticationTag(sharedKey, signed)...)
			_ = openDatagram(sharedKey, signed, &got) // any error is right, a panic is not
		}
	})
}

// BenchmarkDatagram measures opening an accepted and a forged datagram.
func BenchmarkDatagram(b *testing.B) {
	good, _ := sealDatagram(sharedKey, &testPayload{"a", 3})
	forged := append(bytes.Clone(good[:len(good)-1]), good[len(good)-1]^1)
	for name, d := range map[string][]byte{"good": good, "forged": forged} {
		b.Run(name, func(b *testing.B) {
			var got testPayload
			for range b.N {
				_ = openDatagram(sharedKey, d, &got) // the forged one is rejected
			}
		})
	}
}
