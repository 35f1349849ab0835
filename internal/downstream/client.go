package downstream

import (
	"bufio"
	"errors"
	"net"
	"os"
	"time"

	"quilldoor/internal/bufferpool"
)

// client is a client's connection.
type client struct {
	net.Conn
	arrivals     arrivalReader
	reader       *bufio.Reader // reads from arrivals
	readDeadline time.Time     // by which the current request must be read completely
	waited       bool          // the previous request waited for its response

	// Guarded by the server's lock:
	state     clientState
	resumable bool      // in clientClosing: a request that is being read takes that back
	sentAhead bool      // the current request began to arrive before the previous one was answered
	served    bool      // the client has had a response
	idleSince time.Time // when the last response was written or the connection began to linger; at first, when the client connected
}

// clientState is a connection's state.
type clientState uint8

const (
	clientIdle      clientState = iota // waiting for the first byte of a request
	clientSending                      // a request is being read
	clientBusy                         // a request has been read and is being served
	clientLingering                    // its last response is written, and the connection is closing
	clientClosing                      // evicted or shut down: no request may begin, unless resumable
)

func newClient(socket net.Conn) *client {
	c := &client{Conn: socket, arrivals: arrivalReader{Conn: socket}, idleSince: time.Now()}
	c.reader = bufio.NewReaderSize(&c.arrivals, bufferpool.BufferSize)
	return c
}

// compareEviction returns a negative number if c is to be evicted before the other client.
func (c *client) compareEviction(other *client) int {
	switch {
	case c.served == other.served:
		return c.idleSince.Compare(other.idleSince)
	case other.served:
		return -1
	}
	return 1
}

// hasDisconnected reports whether the client has closed its side, even if unread
// bytes precede the end.
func (c *client) hasDisconnected() bool {
	if c.arrivals.ended {
		return true
	}
	_, closed := c.pollSocket()
	return closed
}

// awaitClose waits until the client disconnects, and then returns false. It returns
// true when the read deadline passes. Bytes that the client sends ahead are read
// into the buffer, to record when they arrived and to detect the end of the stream.
// Once the buffer is full, the socket is polled; a connection without a descriptor
// cannot be polled, and awaitClose returns true at the wake signal.
func (c *client) awaitClose(wake signal) bool {
	for c.reader.Buffered() < c.reader.Size() {
		if _, err := c.reader.Peek(c.reader.Buffered() + 1); err != nil {
			return errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	descriptor := c.descriptor()
	if descriptor == nil {
		<-wake
		return true
	}
	closed := false
	err := descriptor.Read(func(fd uintptr) bool {
		var readable bool
		readable, closed = pollDescriptor(fd)
		if readable {
			c.arrivals.markUnread()
		}
		return closed
	})
	c.arrivals.ended = c.arrivals.ended || closed
	return !closed && errors.Is(err, os.ErrDeadlineExceeded)
}

// lingeringClose closes the sending side, discards what the client still sends for
// a limited time, and closes the connection. Closing a socket with unread bytes
// resets the connection, and the reset may discard a response that the client has
// not read yet.
func (c *client) lingeringClose(timeout time.Duration, maxDiscard int) {
	halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
	if ok && !c.arrivals.ended && halfCloser.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(timeout))
		c.discard(maxDiscard)
	}
	c.Close()
}

// discard reads and discards bytes until the client closes its side, the read
// deadline passes, or about maxBytes are read.
func (c *client) discard(maxBytes int) {
	for maxBytes > 0 {
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		discarded, _ := c.reader.Discard(c.reader.Buffered()) // no error: these bytes are in the buffer
		maxBytes -= discarded
	}
}
