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
	// sendTimeout is how long the peer may take to read a message. A peer that does not
	// read may be a stopped process, which must not block the sender.
	sendTimeout = 500 * time.Millisecond
	// lengthBytes is the size of the length that precedes each message.
	lengthBytes = 4
	// descriptorBytes is the size of a descriptor in a control message.
	descriptorBytes = 4
	// maxPendingDescriptors bounds the received descriptors that wait for TakeSockets.
	maxPendingDescriptors = 8
)

// Conn sends and receives messages over a Unix stream socket. Any goroutine may call Send;
// Receive and TakeSockets belong to one goroutine.
type Conn struct {
	socket             *net.UnixConn
	sendLock           sync.Mutex
	pendingDescriptors []int // received, in order, until TakeSockets returns them
}

// NewConn returns a connection that owns the socket.
func NewConn(socket *net.UnixConn) *Conn { return &Conn{socket: socket} }

// FromFile returns a connection over a socket inherited from a parent process. It closes
// the file.
func FromFile(file *os.File) (*Conn, error) {
	defer file.Close()
	conn, err := net.FileConn(file)
	if err != nil {
		return nil, err
	}
	socket, ok := conn.(*net.UnixConn)
	if !ok {
		conn.Close()
		return nil, fmt.Errorf("handoff: %s is not a Unix socket", file.Name())
	}
	return NewConn(socket), nil
}

// Send sends a message and the descriptors of open files. If the message can't be sent
// whole, Send closes the connection: the peer could not decode what follows a truncated
// message.
func (c *Conn) Send(message *Message, files ...*os.File) error {
	payload, err := encode(message)
	if err != nil {
		return err
	}
	frame := make([]byte, 0, lengthBytes+len(payload))
	frame = binary.BigEndian.AppendUint32(frame, uint32(len(payload)))
	frame = append(frame, payload...)
	c.sendLock.Lock()
	defer c.sendLock.Unlock()
	c.socket.SetWriteDeadline(time.Now().Add(sendTimeout))
	if err := c.write(frame, files); err != nil {
		c.socket.Close()
		return fmt.Errorf("handoff: send %v: %w", message.Kind, err)
	}
	return nil
}

// write writes a frame, and the files' descriptors with its first bytes.
func (c *Conn) write(frame []byte, files []*os.File) error {
	if len(files) > 0 {
		var descriptors []int
		for _, file := range files {
			// Fd does not change the socket's blocking mode, since os.NewFile made the file.
			descriptors = append(descriptors, int(file.Fd()))
		}
		written, _, err := c.socket.WriteMsgUnix(frame, unix.UnixRights(descriptors...), nil)
		if err != nil {
			return err
		}
		frame = frame[written:]
	}
	_, err := c.socket.Write(frame)
	return err
}

// Receive waits for the next message and returns it. Descriptors that accompany it are
// kept for TakeSockets.
func (c *Conn) Receive() (*Message, error) {
	var lengthPrefix [lengthBytes]byte
	if err := c.readFull(lengthPrefix[:]); err != nil {
		return nil, err
	}
	length := binary.BigEndian.Uint32(lengthPrefix[:])
	if length > MaxMessageBytes {
		return nil, fmt.Errorf("%w: length %d", ErrMessageTooLong, length)
	}
	payload := make([]byte, length)
	if err := c.readFull(payload); err != nil {
		return nil, err
	}
	return Decode(payload)
}

// readFull fills the buffer, and keeps the descriptors that accompany the bytes.
func (c *Conn) readFull(buffer []byte) error {
	control := make([]byte, unix.CmsgSpace(descriptorBytes*maxPendingDescriptors))
	for len(buffer) > 0 {
		n, controlLen, _, _, err := c.socket.ReadMsgUnix(buffer, control)
		if controlLen > 0 {
			c.keepDescriptors(control[:controlLen])
		}
		if err != nil {
			return err
		}
		if n == 0 {
			return io.EOF
		}
		buffer = buffer[n:]
	}
	return nil
}

// keepDescriptors adds the descriptors of a control message to those that wait for
// TakeSockets, and closes the oldest ones beyond maxPendingDescriptors. Control messages
// without descriptors are ignored.
func (c *Conn) keepDescriptors(control []byte) {
	controlMessages, err := unix.ParseSocketControlMessage(control)
	if err == nil {
		for i := range controlMessages {
			if descriptors, err := unix.ParseUnixRights(&controlMessages[i]); err == nil {
				c.pendingDescriptors = append(c.pendingDescriptors, descriptors...)
			}
		}
	}
	for len(c.pendingDescriptors) > maxPendingDescriptors {
		unix.Close(c.pendingDescriptors[0])
		c.pendingDescriptors = c.pendingDescriptors[1:]
	}
}

// TakeSockets returns the received descriptors as files, by name, and keeps none of them. The
// names are Message.Sockets of the message that the descriptors accompanied, in the same
// order. Descriptors beyond the names are closed.
func (c *Conn) TakeSockets(names []string) map[string]*os.File {
	files := map[string]*os.File{}
	for i, descriptor := range c.pendingDescriptors {
		unix.CloseOnExec(descriptor)
		if i < len(names) {
			files[names[i]] = os.NewFile(uintptr(descriptor), names[i])
		} else {
			unix.Close(descriptor)
		}
	}
	c.pendingDescriptors = nil
	return files
}

// Close closes the connection.
func (c *Conn) Close() error { return c.socket.Close() }

// PeerPID returns the process ID of the peer, as the operating system reports it.
func (c *Conn) PeerPID() (int, error) {
	rawConn, err := c.socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var credentials *unix.Ucred
	var optionErr error
	err = rawConn.Control(func(fd uintptr) {
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
