package bufferpool

import (
	"bytes"
	"errors"
	"io"
	"strings"
	"testing"
)

func TestBodiesAreBounded(t *testing.T) {
	pool := NewPool(3 * BufferSize)
	text := strings.Repeat("0123456789abcdef", 2*BufferSize/16) + "tail"
	body, err := pool.ReadBody(strings.NewReader(text), len(text))
	if err != nil || body.Len() != len(text) || string(bytes.Join(body.AppendBuffers(nil), nil)) != text {
		t.Fatalf("read a body of %d bytes, error %v; want the %d bytes of the text", body.Len(), err, len(text))
	}
	// A body that exceeds the limit is read to its end, so that its connection remains
	// usable.
	r := strings.NewReader(text + "next")
	if _, err := pool.ReadBody(r, len(text)); !errors.Is(err, ErrFull) {
		t.Fatalf("a body that exceeds the limit: error %v, want ErrFull", err)
	}
	if rest, _ := io.ReadAll(r); string(rest) != "next" {
		t.Fatalf("%q is left to read after a discarded body, want \"next\"", rest)
	}
	body.Retain()
	body.Release()
	if _, err := pool.ReadBody(strings.NewReader("x"), 1); !errors.Is(err, ErrFull) {
		t.Fatal("Release returned the buffers while the body had another reference")
	}
	body.Release()
	if _, err := pool.ReadBody(strings.NewReader("half"), 3*BufferSize); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Fatalf("an incomplete body: error %v, want io.ErrUnexpectedEOF", err)
	}
	if _, err := pool.ReadBody(strings.NewReader(text), len(text)); err != nil || pool.available.Load() != 0 {
		t.Fatalf("body after an incomplete one: error %v, %d bytes available, want 0", err, pool.available.Load())
	}
}
