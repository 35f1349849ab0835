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

// serverConn is a router's connection to an emulated server.
type serverConn struct {
	net.Conn
	server   *serverListener
	attempts map[string]*serverAttempt // open attempts by request ID; used only in the run's loop

	mu     sync.Mutex    // guards the fields below
	queue  [][]byte      // bytes that writeQueue has not written yet
	queued chan struct{} // signals writeQueue that the queue has grown
	closed bool          // queued is closed
}

// serverAttempt is an attempt that a server received on a connection.
type serverAttempt struct {
	conn      *serverConn
	requestID string
	number    int
	body      []byte // the request's body, of a write
}

// statusByOutcome maps the outcome of an attempt to the status of the server's response. For an
// outcome without a status the server resets the connection.
var statusByOutcome = map[policy.Outcome]cacheproto.Status{
	policy.OutcomeDone:  cacheproto.StatusOK,
	policy.OutcomeBusy:  cacheproto.StatusBusy,
	policy.OutcomeMiss:  cacheproto.StatusMiss,
	policy.OutcomeError: cacheproto.StatusError,
}

// malformedResponse is a line that the cache protocol does not allow.
var malformedResponse = []byte("%% ACK entity\r\n")

// finish sends the response that the simulation has decided on, unless the attempt was cancelled.
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
		ID:               a.requestID,
		Status:           status,
		Reason:           end.Reason,
		OriginWaitMillis: float64(end.Waited) / microsPerMilli,
		Load:             end.Load,
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

// enqueue queues bytes for writeQueue. The length of the queue is bounded by the router's limit on
// the open attempts of a connection.
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

// closeQueue makes writeQueue return once it has written the queued bytes.
func (c *serverConn) closeQueue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		close(c.queued)
	}
}

// writeQueue writes the queued bytes until the queue is closed or a write fails.
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

// reset closes the connection with RST, as the kernel does when a process is killed.
func (c *serverConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // otherwise Close sends FIN
	}
	c.Close()
	c.closeQueue()
}
