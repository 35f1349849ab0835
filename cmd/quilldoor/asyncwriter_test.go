package main

import (
	"io"
	"testing"
	"time"
)

// Guards against a log that nobody reads and that delays the router, its timeouts included.
func TestBlockedLogDelaysNobody(t *testing.T) {
	r, w := io.Pipe() // a write waits for a read
	o := newAsyncWriter(w)
	for range 1000 {
		if n, err := o.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	o.flush(time.Millisecond)
	if got, _ := io.ReadAll(io.LimitReader(r, 10)); string(got) != "line\nline\n" {
		t.Fatalf("%q", got)
	}
}
