package downstream

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// descriptor is the connection's; nil where it has none.
func (c *client) descriptor() syscall.RawConn {
	if s, ok := c.Conn.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

// pollSocket reports whether a read would not wait, and whether the client's side
// is closed, also behind unread bytes. It reads nothing.
func (c *client) pollSocket() (readable, closed bool) {
	descriptor := c.descriptor()
	if descriptor == nil {
		return false, false
	}
	err := descriptor.Control(func(fd uintptr) { readable, closed = pollDescriptor(fd) })
	if err != nil {
		return false, true // closed by this side
	}
	return readable, closed
}

func pollDescriptor(fd uintptr) (readable, closed bool) {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	if n, err := unix.Poll(fds, 0); err != nil || n == 0 {
		return false, false
	}
	events := fds[0].Revents
	return events&unix.POLLIN != 0, events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}
