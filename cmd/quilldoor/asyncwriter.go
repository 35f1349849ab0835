package main

import (
	"bytes"
	"io"
	"time"
)

// asyncWriter writes log lines from its own goroutine, so that a stalled reader of the log
// does not block the router. Lines are dropped while the queue is full.
type asyncWriter struct {
	lines chan []byte
	done  chan struct{}
}

func newAsyncWriter(destination io.Writer) *asyncWriter {
	const queuedLines = 256 // some minutes of lines at the default level
	w := &asyncWriter{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			_, _ = destination.Write(line) // there is nowhere to report a failure
		}
	}()
	return w
}

func (w *asyncWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
	}
	return len(line), nil
}

// flush ends the writer. It waits until the queued lines are written, but no longer than
// the timeout. Write must not be called afterwards.
func (w *asyncWriter) flush(timeout time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
