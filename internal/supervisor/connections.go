package supervisor

import (
	"errors"
	"net"
	"os"
	"time"

	"quilldoor/internal/handoff"
)

const (
	// maxConnections bounds connections that have not said what they are, and tools that
	// wait for a change.
	maxConnections = 16
	// firstMessageTimeout is for a new connection to say what it is.
	firstMessageTimeout = time.Second
)

// connection is a new connection of a router process or a tool, with its first message.
type connection struct {
	conn    *handoff.Conn
	message *handoff.Message
	sockets map[string]*os.File // that came along
}

// accept accepts connections and passes them on once they have sent a message, until
// the listener is closed.
func (s *Supervisor) accept(connections chan<- *connection) {
	slots := make(chan struct{}, maxConnections)
	for {
		sock, err := s.listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as no descriptors left: try again
			time.Sleep(tickInterval)
			continue
		}
		select {
		case slots <- struct{}{}:
		default:
			sock.Close()
			continue
		}
		go func() {
			defer func() { <-slots }()
			if c := readFirstMessage(sock); c != nil {
				connections <- c
			}
		}()
	}
}

// readFirstMessage returns nil, and closes the connection, when none comes.
func readFirstMessage(sock *net.UnixConn) *connection {
	sock.SetReadDeadline(time.Now().Add(firstMessageTimeout))
	conn := handoff.NewConn(sock)
	m, err := conn.Receive()
	if err != nil {
		conn.Close()
		return nil
	}
	sock.SetReadDeadline(time.Time{})
	return &connection{conn: conn, message: m, sockets: conn.Sockets(m.Sockets)}
}

// handleConnection takes a connection while the supervisor runs.
func (s *Supervisor) handleConnection(c *connection) {
	for _, f := range c.sockets {
		f.Close() // the supervisor has them
	}
	if c.message.Kind != handoff.KindHello {
		s.handleTool(c)
		return
	}
	for _, p := range s.processes() {
		if p.pid == c.message.PID { // it has connected again
			p.conn.Close()
			p.conn = c.conn
			go s.receive(p, c.conn)
			return
		}
	}
	c.reject() // it is none of this supervisor's
}

// reject commands a process to end.
func (c *connection) reject() { c.replyAndClose(&handoff.Message{Kind: handoff.KindEnd}) }

// replyAndClose sends a last message. A peer that is gone needs none.
func (c *connection) replyAndClose(m *handoff.Message) {
	_ = c.conn.Send(m)
	c.conn.Close()
}
