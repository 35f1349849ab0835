package main

import (
	"io"
	"testing"
	"time"
)

// Guards against a log without a reader that blocks the router, its timers included.
func TestBlockedLogDelaysNobody(t *testing.T) {
	reader, blocked := io.Pipe() // a write waits for a read
	writer := newAsyncWriter(blocked)
	for range 1000 {
		if n, err := writer.Write([]byte("line\n")); n != 5 || err != nil {
			t.Fatal(n, err)
		}
	}
	writer.flush(time.Millisecond)
	if got, _ := io.ReadAll(io.LimitReader(reader, 10)); string(got) != "line\nline\n" {
		t.Fatalf("%q", got)
	}
}
