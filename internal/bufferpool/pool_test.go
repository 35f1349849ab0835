package bufferpool

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
)

func TestBodiesAreBounded(t *testing.T) {
	pool := NewPool(3 * Size)
	text := strings.Repeat("0123456789abcdef", 2*Size/16) + "tail"
	a, err := pool.ReadBody(strings.NewReader(text), len(text))
	if err != nil || a.Len() != len(text) || string(bytes.Join(a.AppendBuffers(nil), nil)) != text {
		t.Fatal(a.Len(), err)
	}
	// A body beyond the bound is read off, so that its connection can go on.
	r := strings.NewReader(text + "next")
	if _, err := pool.ReadBody(r, len(text)); !errors.Is(err, ErrFull) {
		t.Fatal(err)
	}
	if rest, _ := io.ReadAll(r); string(rest) != "next" {
		t.Fatalf("%q left", rest)
	}
	a.Retain()
	a.Release()
	if _, err := pool.ReadBody(strings.NewReader("x"), 1); !errors.Is(err, ErrFull) {
		t.Fatal("given back while it has a holder")
	}
	a.Release()
	if _, err := pool.ReadBody(strings.NewReader("half"), 3*Size); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatal(err)
	}
	if b, err := pool.ReadBody(strings.NewReader(text), len(text)); err != nil || pool.available.Load() != 0 {
		t.Fatal(b, err, "half a body kept its buffers")
	}
}
