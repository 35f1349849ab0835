package supervisor

import (
	"errors"
	"net"
	"os"
	"time"

	"quilldoor/internal/handoff"
)

const (
	// maxConnections bounds the connections without a first message, and separately the
	// tools that wait for the end of a change.
	maxConnections = 16
	// firstMessageTimeout limits the wait for the first message of a new connection.
	firstMessageTimeout = time.Second
)

// connection is a new connection of a router process or a tool, with its first message.
type connection struct {
	conn    *handoff.Conn
	message *handoff.Message
	sockets map[string]*os.File // descriptors received with the message, by name
}

// accept accepts connections until the listener is closed, and sends each one to the
// channel once its first message has arrived. It closes connections in excess of
// maxConnections.
func (s *Supervisor) accept(connections chan<- *connection) {
	slots := make(chan struct{}, maxConnections)
	for {
		sock, err := s.listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil { // such as no descriptors left; retry
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

// readFirstMessage waits for the first message of a connection. It closes the connection
// and returns nil when none arrives in time.
func readFirstMessage(sock *net.UnixConn) *connection {
	sock.SetReadDeadline(time.Now().Add(firstMessageTimeout))
	conn := handoff.NewConn(sock)
	m, err := conn.Receive()
	if err != nil {
		conn.Close()
		return nil
	}
	sock.SetReadDeadline(time.Time{})
	return &connection{conn: conn, message: m, sockets: conn.TakeSockets(m.Sockets)}
}

// handleConnection handles a new connection of a process or a tool after adoption.
func (s *Supervisor) handleConnection(c *connection) {
	for _, f := range c.sockets {
		f.Close() // the supervisor holds them already
	}
	if c.message.Kind != handoff.KindHello {
		s.handleTool(c)
		return
	}
	for _, p := range s.processes() {
		if p.pid == c.message.PID { // the process has reconnected
			p.conn.Close()
			p.conn = c.conn
			go s.receive(p, c.conn)
			return
		}
	}
	c.reject() // not a process of this supervisor
}

// reject commands the connected process to end.
func (c *connection) reject() { c.replyAndClose(&handoff.Message{Kind: handoff.KindEnd}) }

// replyAndClose sends a last message and closes the connection. A peer that has
// disconnected needs no message.
func (c *connection) replyAndClose(m *handoff.Message) {
	_ = c.conn.Send(m)
	c.conn.Close()
}
