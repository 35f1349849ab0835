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

// lineConn is a router's connection to a server.
type lineConn struct {
	net.Conn
	place *place
	hops  map[string]*lineHop // the loop's

	mu    sync.Mutex
	queue [][]byte
	more  chan struct{}
	gone  bool
}

// lineHop is a hop on a connection.
type lineHop struct {
	conn *lineConn
	id   string
	n    int
	body []byte // of a write
}

var (
	answerOf  = map[policy.Outcome]cacheproto.Status{policy.OutcomeDone: cacheproto.StatusOK, policy.OutcomeBusy: cacheproto.StatusBusy, policy.OutcomeMiss: cacheproto.StatusMiss, policy.OutcomeError: cacheproto.StatusError}
	garbage   = []byte("%% ACK entity\r\n")
	secondKey = "recorded "
)

// end writes the world's end of a hop.
func (h *lineHop) end(w *simulation.Hop, e simulation.End) {
	c := h.conn
	if c.hops[h.id] != h {
		return
	}
	delete(c.hops, h.id)
	word, known := answerOf[e.Outcome]
	if !known || e.Spoilt { // a reset, or what can't be read and then the end
		if e.Spoilt {
			c.put(garbage)
		}
		c.reset()
		return
	}
	a := cacheproto.Response{ID: h.id, Status: word, Reason: e.Reason, DelayMillis: float64(e.Waited) / 1000, Load: e.Load}
	var body []byte
	if word == cacheproto.StatusOK {
		if w.Rule == scenario.ClassAccept {
			body = append([]byte(secondKey), h.body...)
		} else {
			body = bodyOf(w.Object, w.Part, e.Issued, w.SizeKB)
			a.IssuedMillis = max(c.place.unixMS(e.Issued), 1)
			a.Tag = fmt.Sprintf("%s.%d.%d", w.Object, w.Part, e.Issued)
		}
	}
	a.Length = len(body)
	c.put(append(append(cacheproto.AppendResponse(nil, &a), body...), "\r\n"...))
}

// put queues bytes. What a connection may have waiting is bounded by its streams.
func (c *lineConn) put(b []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.gone {
		return
	}
	c.queue = append(c.queue, b)
	select {
	case c.more <- struct{}{}:
	default:
	}
}

func (c *lineConn) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.gone {
		c.gone = true
		close(c.more)
	}
}

func (c *lineConn) write() {
	for range c.more {
		c.mu.Lock()
		list := net.Buffers(c.queue)
		c.queue = nil
		c.mu.Unlock()
		if _, err := list.WriteTo(c.Conn); err != nil {
			return
		}
	}
}

// reset ends the connection as a dying process does.
func (c *lineConn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // else it ends by FIN
	}
	c.Close()
	c.end()
}
