package downstream

import (
	"errors"
	"net/http"
	"os"
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/http1"
)

// serve serves requests on a client's connection until it is closed.
func (s *Server) serve(c *client) {
	defer c.arrivals.slot.release()
	defer s.remove(c)
	defer s.close(c)
	for s.awaitRequest(c) && s.serveRequest(c) {
		if s.draining.Load() || !s.setState(c, clientIdle) {
			return
		}
	}
}

// awaitRequest waits for the first byte of a request, and reports whether to read
// the request. For a client's first request, RequestReadTimeout covers both this
// wait and the reading.
func (s *Server) awaitRequest(c *client) bool {
	s.mu.Lock()
	c.sentAhead = c.reader.Buffered() > 0
	if c.state == clientClosing && (!c.resumable || !c.sentAhead) {
		// A new read deadline would override the one that evict set.
		s.mu.Unlock()
		return false
	}
	c.readDeadline = c.idleSince.Add(s.limits.RequestReadTimeout)
	if c.served {
		c.SetReadDeadline(time.Now().Add(s.limits.ClientIdleTimeout))
	} else {
		c.SetReadDeadline(c.readDeadline)
	}
	s.mu.Unlock()
	if _, err := c.reader.Peek(1); err != nil {
		return false
	}
	if c.served {
		// The timeout starts now, not at the request's arrival: the client may have
		// sent it ahead, and it stayed in the buffer while another one was served.
		c.readDeadline = time.Now().Add(s.limits.RequestReadTimeout)
		c.SetReadDeadline(c.readDeadline)
	}
	return s.setState(c, clientSending)
}

// serveRequest reads and answers one request. It holds a read slot until the request has
// been parsed, but not while it writes a response. False: the connection must be closed.
func (s *Server) serveRequest(c *client) bool {
	c.arrivals.slot.acquire()
	if c.sentAhead && !c.waited {
		c.arrivals.slot.pause()
	}
	c.waited = false
	arrivedAt := c.arrivals.arrivedAt(c.reader.Buffered())
	head, ok := s.readHead(c)
	if !ok {
		return false
	}
	var body *bufferpool.Body
	var err error
	if head.ContentLength > 0 {
		body, err = s.bodies.ReadBody(c.reader, head.ContentLength)
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.arrivals.slot.release()
			s.respondTimeout(c)
		}
		if err != nil && !errors.Is(err, bufferpool.ErrFull) {
			return false // an incomplete body
		}
		defer body.Release()
	}
	if !s.setState(c, clientBusy) {
		return false
	}
	request, status := s.parse(head)
	c.arrivals.slot.release()
	closeAfter := head.Close || s.draining.Load() || s.migrating.Load()
	if head.Target == "/health" && head.Method == http.MethodGet {
		return s.respondEmpty(c, s.healthStatus(), closeAfter) && !closeAfter
	}
	if err != nil { // no buffer space for the body; the request was not executed
		return s.respondEmpty(c, http.StatusServiceUnavailable, closeAfter) && !closeAfter
	}
	if request == nil {
		return s.respondEmpty(c, status, closeAfter) && !closeAfter
	}
	request.body = body
	request.arrivedAt = arrivedAt
	stalledMicros := s.stalls.MaxWaitMicros(arrivedAt.Sub(s.startedAt).Microseconds())
	request.stalled = time.Duration(stalledMicros) * time.Microsecond
	return s.answer(c, request, closeAfter) && !closeAfter
}

// readHead reads a request's head, and answers a malformed one, or a timeout, with
// an error status. False: the connection must be closed.
func (s *Server) readHead(c *client) (*http1.Head, bool) {
	head, err := http1.ReadRequest(c.reader, http1.Limits{
		MaxBytes:  s.limits.MaxHeadBytes,
		MaxFields: s.limits.MaxHeaderFields,
		MaxBody:   s.limits.MaxRequestBody,
	})
	if err != nil {
		c.arrivals.slot.release()
	}
	var malformed *http1.Error
	switch {
	case errors.As(err, &malformed):
		s.respondEmpty(c, malformed.Status, true)
		return nil, false
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.respondTimeout(c)
		return nil, false
	case err != nil:
		return nil, false
	}
	if head.ExpectContinue && head.ContentLength > 0 {
		c.arrivals.slot.release()
		if c.write(c.readDeadline, []byte("HTTP/1.1 100 Continue\r\n\r\n")) != nil {
			return nil, false
		}
	}
	return head, true
}

// respondTimeout answers a request that was not whole in time, unless the connection was evicted.
func (s *Server) respondTimeout(c *client) {
	if !s.isClosing(c) {
		s.respondEmpty(c, http.StatusRequestTimeout, true)
	}
}

func (s *Server) healthStatus() int {
	if s.ready.Load() {
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}
