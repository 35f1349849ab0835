package transport

import (
	"bytes"
	"errors"
	"strings"
	"testing"
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

// A decoder that accepts more lets a payload cost memory or stack; one that accepts less
// drops datagrams of routers of another version.
func TestPayloadLimits(t *testing.T) {
	mapOf := func(pairs int) (encoded string) {
		encoded = "\xb8" + string([]byte{byte(pairs)})
		for key := range pairs {
			encoded += "\x18" + string([]byte{byte(key)}) + "\x00"
		}
		return encoded
	}
	for name, c := range map[string]struct {
		encoded  string
		accepted bool
	}{
		"array at limit":    {"\x99\x04\x00" + strings.Repeat("\x00", 1024), true},
		"array over limit":  {"\x99\x04\x01" + strings.Repeat("\x00", 1025), false},
		"map at limit":      {mapOf(64), true},
		"map over limit":    {mapOf(65), false},
		"nested at limit":   {strings.Repeat("\x81", 6) + "\x00", true},
		"nested over limit": {strings.Repeat("\x81", 7) + "\x00", false},
		"duplicate key":     {"\xa2\x00\x00\x00\x01", false},
		"indefinite array":  {"\x9f\x00\xff", false},
		"indefinite map":    {"\xbf\x00\x00\xff", false},
		"indefinite string": {"\x7f\x60\xff", false},
		"tag":               {"\xc1\x00", false},
		"trailing byte":     {"\x80\x00", false},
		"truncated":         {"\x82\x00", false},
	} {
		datagram := append([]byte{datagramVersion}, c.encoded...)
		datagram = append(datagram, authenticationTag(sharedKey, datagram)...)
		err := openDatagram(sharedKey, datagram, new(any))
		if (err == nil) != c.accepted {
			t.Errorf("%s: %v, want accepted %t", name, err, c.accepted)
		}
		if err != nil && !errors.Is(err, errPayload) {
			t.Errorf("%s: %v is no errPayload", name, err)
		}
	}
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
