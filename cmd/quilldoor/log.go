package main

import (
	"bytes"
	"io"
	"time"
)

// outlet passes log lines on from a goroutine of its own, so that a reader of
// the log that has stopped holds nobody up. Lines that find no room are lost.
type outlet struct {
	lines chan []byte
	done  chan struct{}
}

func newOutlet(to io.Writer) *outlet {
	const room = 256 // some minutes of lines at the default level
	o := &outlet{make(chan []byte, room), make(chan struct{})}
	go func() {
		defer close(o.done)
		for line := range o.lines {
			_, _ = to.Write(line) // there is nowhere to tell of a failure
		}
	}()
	return o
}

func (o *outlet) Write(line []byte) (int, error) {
	select {
	case o.lines <- bytes.Clone(line):
	default:
	}
	return len(line), nil
}

// flush passes on what is left, for so long at the most.
func (o *outlet) flush(within time.Duration) {
	close(o.lines)
	select {
	case <-o.done:
	case <-time.After(within):
	}
}
