package emulator

import (
	"fmt"
	"net"
	"sync"

	"quilldoor/internal/cacheproto"
	"quilldoor/internal/policy"
	"quilldoor/internal/scenario"
	"quilldoor/internal/simulation"
)

// serverConn is a router's connection to a server.
type serverConn struct {
	net.Conn
	server   *serverListener
	attempts map[string]*serverAttempt // open attempts by request; only the loop uses it

	mu     sync.Mutex // guards the fields below
	queue  [][]byte
	queued chan struct{}
	closed bool
}

// serverAttempt is an attempt on a connection.
type serverAttempt struct {
	conn      *serverConn
	requestID string
	number    int
	body      []byte // of a write
}

// statusByOutcome is how a server words the end of an attempt. An outcome that is not
// listed resets the connection.
var statusByOutcome = map[policy.Outcome]cacheproto.Status{
	policy.OutcomeDone:  cacheproto.StatusOK,
	policy.OutcomeBusy:  cacheproto.StatusBusy,
	policy.OutcomeMiss:  cacheproto.StatusMiss,
	policy.OutcomeError: cacheproto.StatusError,
}

// malformedResponse is a line that is not in the protocol.
var malformedResponse = []byte("%% ACK entity\r\n")

// finish writes a server's response, as the simulation has it.
func (a *serverAttempt) finish(attempt *simulation.Attempt, end simulation.AttemptResult) {
	conn := a.conn
	if conn.attempts[a.requestID] != a {
		return
	}
	delete(conn.attempts, a.requestID)
	status, known := statusByOutcome[end.Outcome]
	if !known || end.Unparsable {
		if end.Unparsable {
			conn.enqueue(malformedResponse)
		}
		conn.reset()
		return
	}
	response := cacheproto.Response{
		ID:          a.requestID,
		Status:      status,
		Reason:      end.Reason,
		DelayMillis: float64(end.Waited) / microsPerMilli,
		Load:        end.Load,
	}
	var body []byte
	switch {
	case status != cacheproto.StatusOK:
	case attempt.Class == scenario.ClassAccept:
		body = append([]byte(recordedPrefix), a.body...)
	default:
		body = responseBody(attempt.Object, attempt.Part, end.Issued, attempt.SizeKB)
		response.IssuedMillis = max(conn.server.unixMS(end.Issued), 1)
		response.Tag = fmt.Sprintf("%s.%d.%d", attempt.Object, attempt.Part, end.Issued)
	}
	response.Length = len(body)
	conn.enqueue(append(append(cacheproto.AppendResponse(nil, &response), body...), "\r\n"...))
}

// enqueue queues bytes to be written. The router's limit on open attempts of a connection
// bounds the queue.
func (c *serverConn) enqueue(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.queue = append(c.queue, b)
	select {
	case c.queued <- struct{}{}:
	default:
	}
}

// closeQueue ends writeQueue once it has written what is queued.
func (c *serverConn) closeQueue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		close(c.queued)
	}
}

// writeQueue writes what is queued until the queue is closed or the connection fails.
func (c *serverConn) writeQueue() {
	for range c.queued {
		c.mu.Lock()
		buffers := net.Buffers(c.queue)
		c.queue = nil
		c.mu.Unlock()
		if _, err := buffers.WriteTo(c.Conn); err != nil {
			return
		}
	}
}

// reset ends the connection with RST, as the death of a process does.
func (c *serverConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the connection ends with FIN
	}
	c.Close()
	c.closeQueue()
}
