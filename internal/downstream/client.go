package downstream

import (
	"bufio"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"quilldoor/internal/bufferpool"
)

// client is a connection.
type client struct {
	net.Conn
	tap   tap
	r     *bufio.Reader // of the tap
	until time.Time     // when the request in hand must have come whole

	state state // under the front's lock, as what follows
	asked bool  // it has had an answer
	since time.Time
}

type state uint8

const (
	waiting state = iota // for the first byte of a request
	sending              // a request is coming
	busy                 // with a request that has come whole
	over                 // told to give way, or shut
)

func newClient(sock net.Conn) *client {
	c := &client{Conn: sock, tap: tap{Conn: sock}, since: time.Now()}
	c.r = bufio.NewReaderSize(&c.tap, bufferpool.Size)
	return c
}

// tap notes when bytes came and whether the client's side has ended, for what
// lies in the buffer behind it.
type tap struct {
	net.Conn
	stamps []stamp
	read   int64     // bytes so far
	ended  bool      // nothing comes any more
	unread time.Time // since when bytes are known to lie unread; zero: not known
}

// stamp tells when the bytes up to an offset had come.
type stamp struct {
	to int64
	at time.Time
}

// mostStamps bounds them: a client of the protocol has one request out. What comes
// beyond counts as come with the last, which costs only its sender time.
const mostStamps = 16

func (t *tap) Read(b []byte) (int, error) {
	n, err := t.Conn.Read(b)
	if n > 0 {
		at := time.Now()
		if !t.unread.IsZero() {
			at, t.unread = t.unread, time.Time{}
		}
		t.read += int64(n)
		if last := len(t.stamps) - 1; last+1 >= mostStamps {
			t.stamps[last].to = t.read
		} else {
			t.stamps = append(t.stamps, stamp{t.read, at})
		}
	}
	t.ended = t.ended || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// came tells when the first byte that is still to be taken from the buffer came.
func (t *tap) came(buffered int) time.Time {
	for len(t.stamps) > 1 && t.stamps[0].to <= t.read-int64(buffered) {
		t.stamps = append(t.stamps[:0], t.stamps[1:]...)
	}
	if len(t.stamps) == 0 {
		return time.Now()
	}
	return t.stamps[0].at
}

// raw is the connection's descriptor; nil where it has none.
func (c *client) raw() syscall.RawConn {
	if s, ok := c.Conn.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

// socket tells whether a read would not wait, and whether the client's side is
// closed: also behind bytes that nobody has read. It takes nothing off the socket.
func socket(fd uintptr) (readable, closed bool) {
	p := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	if n, err := unix.Poll(p, 0); err != nil || n == 0 {
		return false, false
	}
	return p[0].Revents&unix.POLLIN != 0, p[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// look is socket for the client's connection now.
func (c *client) look() (readable, closed bool) {
	if raw := c.raw(); raw != nil {
		if err := raw.Control(func(fd uintptr) { readable, closed = socket(fd) }); err != nil {
			return false, true // closed by this side
		}
	}
	return readable, closed
}

// left tells whether the client has gone already, whatever it sent before.
func (c *client) left() bool {
	if c.tap.ended {
		return true
	}
	_, closed := c.look()
	return closed
}

// watch returns once the client has gone (false), or when the read deadline passes
// or, on what has no descriptor, the bell rings. What it sends on early is taken into
// the buffer, so that its time is known and its end shows; behind a full buffer the
// socket is asked.
func (c *client) watch(bell <-chan struct{}) bool {
	for c.r.Buffered() < c.r.Size() {
		if _, err := c.r.Peek(c.r.Buffered() + 1); err != nil {
			return errors.Is(err, os.ErrDeadlineExceeded)
		}
	}
	raw := c.raw()
	if raw == nil {
		<-bell
		return true
	}
	closed := false
	err := raw.Read(func(fd uintptr) bool {
		var readable bool
		if readable, closed = socket(fd); readable && c.tap.unread.IsZero() {
			c.tap.unread = time.Now()
		}
		return closed
	})
	c.tap.ended = c.tap.ended || closed
	return !closed && errors.Is(err, os.ErrDeadlineExceeded)
}

// shut ends this side of the connection and reads on for a while: a connection that
// is closed over bytes that nobody read is reset, and the reset may eat the answer.
func (c *client) shut(within time.Duration, most int) {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && !c.tap.ended && half.CloseWrite() == nil {
		c.SetReadDeadline(time.Now().Add(within))
		for most > 0 {
			n := c.r.Buffered()
			if n == 0 {
				if _, err := c.r.Peek(1); err != nil {
					break
				}
				continue
			}
			c.r.Discard(n)
			most -= n
		}
	}
	c.Close()
}
