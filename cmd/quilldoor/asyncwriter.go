package main

import (
	"bytes"
	"io"
	"time"
)

// asyncWriter passes log lines on from a goroutine of its own, so that a reader of the log
// that has stopped blocks nobody. Lines that find the queue full are lost.
type asyncWriter struct {
	lines chan []byte
	done  chan struct{}
}

func newAsyncWriter(to io.Writer) *asyncWriter {
	const queuedLines = 256 // some minutes of lines at the default level
	w := &asyncWriter{lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go func() {
		defer close(w.done)
		for line := range w.lines {
			_, _ = to.Write(line) // there is nowhere to report a failure
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

// flush passes on what is left, and gives up after the timeout. Nothing may be written
// after it.
func (w *asyncWriter) flush(timeout time.Duration) {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}
