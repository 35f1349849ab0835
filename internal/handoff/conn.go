package handoff

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// sendTimeout is how long the peer may take to read a message. One that does not
	// read may be stopped, and nobody waits for it.
	sendTimeout = 500 * time.Millisecond
	// lengthBytes precede each message.
	lengthBytes = 4
	// maxPendingDescriptors bounds the descriptors that came along and were not taken.
	maxPendingDescriptors = 8
)

// Conn carries messages. Send may be called by any goroutine, Receive and Sockets by one.
type Conn struct {
	sock        *net.UnixConn
	sendLock    sync.Mutex
	descriptors []int // that came along and were not taken
}

// NewConn takes a socket over.
func NewConn(sock *net.UnixConn) *Conn { return &Conn{sock: sock} }

// FromFile takes over a socket that a parent has handed down. It closes the file.
func FromFile(f *os.File) (*Conn, error) {
	defer f.Close()
	c, err := net.FileConn(f)
	if err != nil {
		return nil, err
	}
	sock, ok := c.(*net.UnixConn)
	if !ok {
		c.Close()
		return nil, fmt.Errorf("handoff: %s is no Unix socket", f.Name())
	}
	return NewConn(sock), nil
}

// Send sends a message, with open files. When it can't be sent whole, the connection is
// closed, since the peer could not read what follows.
func (c *Conn) Send(m *Message, files ...*os.File) error {
	payload, err := encode(m)
	if err != nil {
		return err
	}
	frame := make([]byte, 0, lengthBytes+len(payload))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(payload)))
	frame = append(frame, payload...)
	c.sendLock.Lock()
	defer c.sendLock.Unlock()
	c.sock.SetWriteDeadline(time.Now().Add(sendTimeout))
	if err := c.write(frame, files); err != nil {
		c.sock.Close()
		return fmt.Errorf("handoff: send %v: %w", m.Kind, err)
	}
	return nil
}

func (c *Conn) write(frame []byte, files []*os.File) error {
	if len(files) > 0 {
		var descriptors []int
		for _, f := range files {
			descriptors = append(descriptors, int(f.Fd())) // made by os.NewFile: Fd leaves the socket's mode alone
		}
		n, _, err := c.sock.WriteMsgUnix(frame, unix.UnixRights(descriptors...), nil)
		if err != nil {
			return err
		}
		frame = frame[n:]
	}
	_, err := c.sock.Write(frame)
	return err
}

// Receive waits for the next message. Descriptors that come along stay for Sockets.
func (c *Conn) Receive() (*Message, error) {
	var head [lengthBytes]byte
	if err := c.readFull(head[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(head[:])
	if length > MaxMessageBytes {
		return nil, ErrTooLong
	}
	payload := make([]byte, length)
	if err := c.readFull(payload); err != nil {
		return nil, err
	}
	return Decode(payload)
}

// readFull fills b, and keeps the descriptors that come along.
func (c *Conn) readFull(b []byte) error {
	control := make([]byte, unix.CmsgSpace(4*maxPendingDescriptors))
	for len(b) > 0 {
		n, controlLen, _, _, err := c.sock.ReadMsgUnix(b, control)
		if controlLen > 0 {
			c.keepDescriptors(control[:controlLen])
		}
		if err != nil {
			return err
		}
		if n == 0 {
			return io.EOF
		}
		b = b[n:]
	}
	return nil
}

// keepDescriptors takes descriptors from a control message, and closes the oldest ones
// beyond maxPendingDescriptors. What is no message of descriptors is ignored.
func (c *Conn) keepDescriptors(control []byte) {
	messages, err := unix.ParseSocketControlMessage(control)
	if err == nil {
		for i := range messages {
			if descriptors, err := unix.ParseUnixRights(&messages[i]); err == nil {
				c.descriptors = append(c.descriptors, descriptors...)
			}
		}
	}
	for len(c.descriptors) > maxPendingDescriptors {
		unix.Close(c.descriptors[0])
		c.descriptors = c.descriptors[1:]
	}
}

// Sockets takes the descriptors that came along, by the names that the message gives
// them. Those without a name are closed.
func (c *Conn) Sockets(names []string) map[string]*os.File {
	files := map[string]*os.File{}
	for i, descriptor := range c.descriptors {
		unix.CloseOnExec(descriptor)
		if i < len(names) {
			files[names[i]] = os.NewFile(uintptr(descriptor), names[i])
		} else {
			unix.Close(descriptor)
		}
	}
	c.descriptors = nil
	return files
}

// Close ends the connection.
func (c *Conn) Close() error { return c.sock.Close() }

// PeerPID is the process at the other end, as the operating system knows it.
func (c *Conn) PeerPID() (int, error) {
	raw, err := c.sock.SyscallConn()
	if err != nil {
		return 0, err
	}
	var credentials *unix.Ucred
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		credentials, optionErr = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
	})
	if err != nil {
		return 0, err
	}
	if optionErr != nil {
		return 0, optionErr
	}
	return int(credentials.Pid), nil
}
