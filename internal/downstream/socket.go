package downstream

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// descriptor returns access to the connection's file descriptor; nil if it has
// none.
func (c *client) descriptor() syscall.RawConn {
	if s, ok := c.Conn.(syscall.Conn); ok {
		if raw, err := s.SyscallConn(); err == nil {
			return raw
		}
	}
	return nil
}

// pollSocket reports whether bytes are readable, and whether the client has closed
// its side, even if unread bytes precede the end. It reads nothing.
func (c *client) pollSocket() (readable, closed bool) {
	descriptor := c.descriptor()
	if descriptor == nil {
		return false, false
	}
	err := descriptor.Control(func(fd uintptr) { readable, closed = pollDescriptor(fd) })
	if err != nil {
		return false, true // the server has closed the connection
	}
	return readable, closed
}

// pollDescriptor is pollSocket for a file descriptor.
func pollDescriptor(fd uintptr) (readable, closed bool) {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
	if n, err := unix.Poll(fds, 0); err != nil || n == 0 {
		return false, false
	}
	events := fds[0].Revents
	return events&unix.POLLIN != 0, events&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
}

// unsentBytes returns how many bytes the client's side has not acknowledged yet; 0 if that is unknown.
func (c *client) unsentBytes() (unsent int) {
	descriptor := c.descriptor()
	if descriptor == nil {
		return 0
	}
	_ = descriptor.Control(func(fd uintptr) { // an error: the server has closed the connection
		unsent, _ = unix.IoctlGetInt(int(fd), unix.TIOCOUTQ)
	})
	return unsent
}
