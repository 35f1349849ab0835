package supervisor

import (
	"maps"
	"net"
	"os"
	"slices"
	"syscall"

	"golang.org/x/sys/unix"
)

// Names of listening sockets.
const (
	clientSocket     = "listen"
	membershipSocket = "members" // UDP; the others are TCP
)

// bindSockets opens the sockets of the addresses, by name, that are not open yet, and closes
// the sockets without an address. An open socket stays as it is.
func (s *Supervisor) bindSockets(addresses map[string]string) error {
	for name, address := range addresses {
		if s.sockets[name] != nil {
			continue
		}
		f, err := openSocket(name, address)
		if err != nil {
			return err
		}
		s.sockets[name] = f
	}
	for name, f := range s.sockets {
		if addresses[name] == "" {
			f.Close()
			delete(s.sockets, name)
		}
	}
	s.socketNames = slices.Sorted(maps.Keys(s.sockets))
	return nil
}

// openSocket opens a listening socket and returns it as a file for a child process to
// inherit. It duplicates the descriptor for os.NewFile, since the File method of a listener
// would make the socket blocking.
func openSocket(name, address string) (*os.File, error) {
	socket, err := listen(name, address)
	if err != nil {
		return nil, err
	}
	defer socket.Close()
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil, err
	}
	var descriptor int
	var duplicateErr error
	err = raw.Control(func(fd uintptr) {
		descriptor, duplicateErr = unix.FcntlInt(fd, unix.F_DUPFD_CLOEXEC, 0)
	})
	if err != nil {
		return nil, err
	}
	if duplicateErr != nil {
		return nil, duplicateErr
	}
	return os.NewFile(uintptr(descriptor), name), nil
}

type listeningSocket interface {
	syscall.Conn
	Close() error
}

func listen(name, address string) (listeningSocket, error) {
	if name == membershipSocket {
		c, err := net.ListenPacket("udp", address)
		if err != nil {
			return nil, err
		}
		return c.(*net.UDPConn), nil // the type that net documents for a UDP network
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	return l.(*net.TCPListener), nil // the type that net documents for a TCP network
}
