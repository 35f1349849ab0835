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
	r            *bufio.Reader // of arrivals
	readDeadline time.Time     // by which the current request must have come whole

	// Under the server's lock:
	state     clientState
	served    bool      // it has had a response
	idleSince time.Time // at first, since when it is connected
}

// clientState says what goes on on a connection.
type clientState uint8

const (
	clientIdle    clientState = iota // waits for the first byte of a request
	clientSending                    // a request is coming
	clientBusy                       // a request that came whole is being served
	clientClosing                    // evicted or shut: nothing may begin
)

func newClient(socket net.Conn) *client {
	c := &client{Conn: socket, arrivals: arrivalReader{Conn: socket}, idleSince: time.Now()}
	c.r = bufio.NewReaderSize(&c.arrivals, bufferpool.Size)
	return c
}

// evictedBefore orders clients for eviction.
func (c *client) evictedBefore(other *client) bool {
	if c.served != other.served {
		return !c.served
	}
	return c.idleSince.Before(other.idleSince)
}

// hasLeft reports whether the client's side is closed already, whatever it sent
// before.
func (c *client) hasLeft() bool {
	if c.arrivals.ended {
		return true
	}
	_, closed := c.pollSocket()
	return closed
}

// watch returns false once the client has left, and true when the read deadline
// passes or, on a connection without a descriptor, at the wake signal. What the
// client sends early is taken into the buffer, so that its time is known and its
// end shows; behind a full buffer the socket is asked.
func (c *client) watch(wake signal) bool {
	for c.r.Buffered() < c.r.Size() {
		if _, err := c.r.Peek(c.r.Buffered() + 1); err != nil {
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
			c.arrivals.noteUnread()
		}
		return closed
	})
	c.arrivals.ended = c.arrivals.ended || closed
	return !closed && errors.Is(err, os.ErrDeadlineExceeded)
}

// lingeringClose ends this side of the connection and reads on for a while: a
// connection that is closed over unread bytes is reset, and the reset may discard
// the response on its way.
func (c *client) lingeringClose(timeout time.Duration, maxDiscard int) {
	half, ok := c.Conn.(interface{ CloseWrite() error })
	if ok && !c.arrivals.ended && half.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(timeout))
		c.discard(maxDiscard)
	}
	c.Close()
}

// discard reads up to the client's end, or about as many bytes.
func (c *client) discard(maxBytes int) {
	for maxBytes > 0 {
		if _, err := c.r.Peek(1); err != nil {
			return
		}
		n, _ := c.r.Discard(c.r.Buffered()) // what is buffered can be discarded
		maxBytes -= n
	}
}
