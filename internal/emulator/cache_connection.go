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
	attempts map[string]*serverAttempt // the loop's

	mu     sync.Mutex
	queue  [][]byte
	queued chan struct{}
	closed bool
}

// serverAttempt is a hop on a connection.
type serverAttempt struct {
	conn      *serverConn
	requestID string
	number    int
	body      []byte // of a write
}

var (
	statusByOutcome   = map[policy.Outcome]cacheproto.Status{policy.OutcomeDone: cacheproto.StatusOK, policy.OutcomeBusy: cacheproto.StatusBusy, policy.OutcomeMiss: cacheproto.StatusMiss, policy.OutcomeError: cacheproto.StatusError}
	malformedResponse = []byte("%% ACK entity\r\n")
	recordedPrefix    = "recorded "
)

// finish writes the world's end of a hop.
func (h *serverAttempt) finish(hop *simulation.Hop, end simulation.End) {
	conn := h.conn
	if conn.attempts[h.requestID] != h {
		return
	}
	delete(conn.attempts, h.requestID)
	status, known := statusByOutcome[end.Outcome]
	if !known || end.Spoilt { // a reset, or what can't be read and then the end
		if end.Spoilt {
			conn.enqueue(malformedResponse)
		}
		conn.reset()
		return
	}
	response := cacheproto.Response{ID: h.requestID, Status: status, Reason: end.Reason, DelayMillis: float64(end.Waited) / 1000, Load: end.Load}
	var body []byte
	if status == cacheproto.StatusOK {
		if hop.Rule == scenario.ClassAccept {
			body = append([]byte(recordedPrefix), h.body...)
		} else {
			body = responseBody(hop.Object, hop.Part, end.Issued, hop.SizeKB)
			response.IssuedMillis = max(conn.server.unixMS(end.Issued), 1)
			response.Tag = fmt.Sprintf("%s.%d.%d", hop.Object, hop.Part, end.Issued)
		}
	}
	response.Length = len(body)
	conn.enqueue(append(append(cacheproto.AppendResponse(nil, &response), body...), "\r\n"...))
}

// enqueue queues bytes. What a connection may have waiting is bounded by its streams.
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

func (c *serverConn) closeQueue() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.closed = true
		close(c.queued)
	}
}

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

// reset ends the connection as a dying process does.
func (c *serverConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // else it ends by FIN
	}
	c.Close()
	c.closeQueue()
}
