// Package front serves clients: the listener, their connections, and the life
// of each txn from its request to its answer.
package front

import (
	"bufio"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"quilldoor/internal/buffer"
	"quilldoor/internal/config"
	"quilldoor/internal/core"
	"quilldoor/internal/http1"
	"quilldoor/internal/upstream"
)

// Front serves clients on one listener.
type Front struct {
	core     *core.Core
	up       *upstream.Pool
	bodies   *buffer.Pool
	limits   *config.Limits
	late     atomic.Int64 // answers after their time limits
	ready    atomic.Bool
	draining atomic.Bool

	mu      sync.Mutex
	clients map[*client]bool // false: no request is open on it
	room    sync.Cond        // for another client
	none    sync.Cond        // no client is left
}

// New makes a front; it is ready once told so.
func New(c *core.Core, up *upstream.Pool, bodies *buffer.Pool, limits *config.Limits) *Front {
	f := &Front{core: c, up: up, bodies: bodies, limits: limits, clients: map[*client]bool{}}
	f.room.L, f.none.L = &f.mu, &f.mu
	return f
}

// Ready lets the health check pass; true: it did not before.
func (f *Front) Ready() bool { return f.ready.CompareAndSwap(false, true) }

// Serve accepts clients until the listener is closed or its deadline passes.
// Above the bound on clients it waits for one to leave, and closes one that is
// idle to that end.
func (f *Front) Serve(l net.Listener) error {
	for {
		sock, err := l.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) {
				return nil
			}
			var passing interface{ Temporary() bool }
			if errors.As(err, &passing) && passing.Temporary() {
				time.Sleep(f.limits.RetryFirst)
				continue
			}
			return err
		}
		c := &client{Conn: sock, r: bufio.NewReaderSize(sock, buffer.Size)}
		f.mu.Lock()
		for len(f.clients) >= f.limits.Clients {
			f.closeIdle(1)
			f.room.Wait()
		}
		f.clients[c] = false
		f.mu.Unlock()
		go f.serve(c)
	}
}

// closeIdle closes so many connections on which no request is open.
func (f *Front) closeIdle(most int) {
	for c, busy := range f.clients {
		if !busy && most > 0 {
			c.Close()
			most--
		}
	}
}

// Drain makes every further answer the last on its connection, closes idle
// connections, and waits until the others have ended, or the time is over.
func (f *Front) Drain(within time.Duration) (left int) {
	f.draining.Store(true)
	over := time.AfterFunc(within, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.none.Broadcast()
	})
	defer over.Stop()
	until := time.Now().Add(within)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closeIdle(len(f.clients))
	for len(f.clients) > 0 && time.Now().Before(until) {
		f.none.Wait()
	}
	return len(f.clients)
}

// Count tells how many clients there are, and how many answers came late since
// it was last asked.
func (f *Front) Count() (clients int, late int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.clients), f.late.Swap(0)
}

// client is a connection.
type client struct {
	net.Conn
	r *bufio.Reader
	// first is when the first byte of the request after the one in hand came, if it
	// has come already.
	first time.Time
}

func (f *Front) busy(c *client, is bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.clients[c] = is
}

// serve is the life of a client's connection.
func (f *Front) serve(c *client) {
	defer func() {
		c.Close()
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.clients, c)
		f.room.Signal()
		if len(f.clients) == 0 {
			f.none.Broadcast()
		}
	}()
	for f.next(c) && f.request(c) {
		if f.draining.Load() {
			return
		}
		f.busy(c, false)
	}
}

// next waits for the first byte of a request.
func (f *Front) next(c *client) bool {
	c.SetReadDeadline(time.Now().Add(f.limits.IdleClient))
	if _, err := c.r.Peek(1); err != nil {
		return false
	}
	if c.first.IsZero() {
		c.first = time.Now()
	}
	f.busy(c, true)
	c.SetReadDeadline(c.first.Add(f.limits.RequestTime))
	return true
}

// request serves one request; false: the connection is to be closed.
func (f *Front) request(c *client) bool {
	first := c.first
	c.first = time.Time{}
	h, err := http1.ReadRequest(c.r, http1.Bounds{Bytes: f.limits.Head, Fields: f.limits.Fields, Body: f.limits.Upload})
	if err != nil {
		var fault *http1.Error
		if errors.As(err, &fault) {
			f.refuse(c, fault.Status)
		} else if errors.Is(err, os.ErrDeadlineExceeded) {
			f.refuse(c, 408)
		}
		return false
	}
	if h.Continue && h.Length > 0 {
		if f.write(c, time.Now().Add(f.limits.Write), []byte("HTTP/1.1 100 Continue\r\n\r\n")) != nil {
			return false
		}
	}
	var body *buffer.Body
	if h.Length > 0 {
		if body, err = f.bodies.Read(c.r, h.Length); err != nil && err != buffer.ErrFull {
			return false // half a body: nobody waits for an answer, or it stalled
		}
		defer body.Release()
	}
	last := h.Close || f.draining.Load()
	var t *ask
	status := 503
	switch {
	case h.Target == "/health" && h.Method == "GET":
		if f.ready.Load() {
			status = 200
		}
	case err == buffer.ErrFull: // it never ran
	default:
		t, status = f.parse(h)
	}
	if t == nil {
		return f.plain(c, status, last) && !last
	}
	t.body, t.first = body, first
	return f.txn(c, t, last) && !last
}

// refuse answers what is no request, and gives the client the time to read it.
func (f *Front) refuse(c *client, status int) {
	if !f.plain(c, status, true) {
		return
	}
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.SetReadDeadline(time.Now().Add(f.limits.Write))
	c.r.Discard(f.limits.Head)
}

// plain answers without a body.
func (f *Front) plain(c *client, status int, last bool) bool {
	return f.write(c, time.Now().Add(f.limits.LongestTxn), http1.AppendResponse(nil, status, 0, last)) == nil
}

func (f *Front) write(c *client, until time.Time, bufs ...[]byte) error {
	c.SetWriteDeadline(until)
	list := net.Buffers(bufs)
	_, err := list.WriteTo(c.Conn)
	return err
}
