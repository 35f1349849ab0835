package peerproto

import (
	"bytes"
	"errors"
	"testing"
)

type said struct {
	Name string `cbor:"1,keyasint"`
	N    int    `cbor:"2,keyasint,omitempty"`
}

var shared = []byte("sixteen bytes or more")

func TestDatagrams(t *testing.T) {
	good, err := Seal(shared, &said{"a", 3})
	if err != nil {
		t.Fatal(err)
	}
	var got said
	if err := Open(shared, good, &got); err != nil || got != (said{"a", 3}) {
		t.Fatalf("%+v, %v", got, err)
	}
	if _, err := Seal(shared, &said{string(make([]byte, MaxDatagram)), 0}); !errors.Is(err, ErrSize) {
		t.Errorf("too large: %v", err)
	}
	other, _ := Seal([]byte("another key of theirs"), &said{"a", 3})
	for name, c := range map[string]struct {
		b    []byte
		want error
	}{
		"empty":       {nil, ErrSize},
		"short":       {good[:17], ErrSize},
		"long":        {append(bytes.Clone(good), make([]byte, MaxDatagram)...), ErrSize},
		"version":     {append([]byte{DatagramVersion + 1}, good[1:]...), ErrVersion},
		"foreign key": {other, ErrProof},
		"cut":         {good[:len(good)-1], ErrProof},
	} {
		if err := Open(shared, c.b, &got); !errors.Is(err, c.want) || !errors.Is(err, ErrMalformed) {
			t.Errorf("%s: %v", name, err)
		}
	}
	for i := 1; i < len(good); i++ {
		bad := bytes.Clone(good)
		bad[i] ^= 1
		if err := Open(shared, bad, &got); !errors.Is(err, ErrProof) {
			t.Errorf("byte %d changed: %v", i, err)
		}
	}
	wrong, _ := Seal(shared, []string{"no", "map"})
	if err := Open(shared, wrong, &got); !errors.Is(err, ErrPayload) || !errors.Is(err, ErrMalformed) {
		t.Errorf("another payload: %v", err)
	}
}

func FuzzOpen(f *testing.F) {
	b, _ := Seal(shared, &said{"a", 3})
	f.Add(b)
	f.Add(append([]byte{1}, proof(shared, []byte{1})...))
	f.Fuzz(func(t *testing.T, b []byte) {
		var got said
		if Open(shared, b, &got) == nil && len(b) > MaxDatagram {
			t.Fatal("too large, and taken")
		}
		if len(b) < MaxDatagram-proofSize { // the payload alone, past the proof
			signed := append([]byte{DatagramVersion}, b...)
			Open(shared, append(signed, proof(shared, signed)...), &got)
		}
	})
}

// BenchmarkDatagram is what a good word, and a forged one, cost.
func BenchmarkDatagram(b *testing.B) {
	good, _ := Seal(shared, &said{"a", 3})
	forged := append(bytes.Clone(good[:len(good)-1]), good[len(good)-1]^1)
	for name, d := range map[string][]byte{"good": good, "forged": forged} {
		b.Run(name, func(b *testing.B) {
			var got said
			for range b.N {
				Open(shared, d, &got)
			}
		})
	}
}
