package downstream

import (
	"errors"
	"net/http"
	"os"
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/http1"
)

// serve runs a client's connection to its end.
func (s *Server) serve(c *client) {
	defer s.remove(c)
	defer c.lingeringClose(s.limits.LingeringCloseTimeout, s.limits.MaxDiscardBytes)
	for s.awaitRequest(c) && s.serveRequest(c) {
		if s.draining.Load() || !s.setState(c, clientIdle) {
			return
		}
	}
}

// awaitRequest waits for the first byte of a request. A client that never had a
// response has one timeout for that and for its whole request.
func (s *Server) awaitRequest(c *client) bool {
	s.mu.Lock()
	if c.state == clientClosing { // Drain's wake came before this deadline
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
	if _, err := c.r.Peek(1); err != nil {
		return false
	}
	if c.served {
		// From now: while what was sent early lay in the buffer, another request
		// was served.
		c.readDeadline = time.Now().Add(s.limits.RequestReadTimeout)
		c.SetReadDeadline(c.readDeadline)
	}
	return s.setState(c, clientSending)
}

// serveRequest serves one request; false: the connection is to be closed.
func (s *Server) serveRequest(c *client) bool {
	arrivedAt := c.arrivals.arrivedAt(c.r.Buffered())
	head, ok := s.readHead(c)
	if !ok {
		return false
	}
	var body *bufferpool.Body
	var err error
	if head.ContentLength > 0 {
		body, err = s.bodies.ReadBody(c.r, head.ContentLength)
		if err != nil && !errors.Is(err, bufferpool.ErrFull) {
			return false // half a body: nobody waits for a response, or it stalled
		}
		defer body.Release()
	}
	if !s.setState(c, clientBusy) {
		return false
	}
	last := head.Close || s.draining.Load() || s.migrating.Load()
	if head.Target == "/health" && head.Method == http.MethodGet {
		return s.respondEmpty(c, s.healthStatus(), last) && !last
	}
	if err != nil { // no buffers for the body: the request never ran
		return s.respondEmpty(c, http.StatusServiceUnavailable, last) && !last
	}
	request, status := s.parse(head)
	if request == nil {
		return s.respondEmpty(c, status, last) && !last
	}
	request.body = body
	request.arrivedAt = arrivedAt
	stalledMicros := s.stalls.MaxWaitMicros(arrivedAt.Sub(s.startedAt).Microseconds())
	request.stalled = time.Duration(stalledMicros) * time.Microsecond
	return s.answer(c, request, last) && !last
}

// readHead reads a request's head, and answers one that is malformed or late.
// False: the connection is to be closed.
func (s *Server) readHead(c *client) (*http1.Head, bool) {
	head, err := http1.ReadRequest(c.r, http1.Limits{
		MaxBytes:  s.limits.MaxHeadBytes,
		MaxFields: s.limits.MaxHeaderFields,
		MaxBody:   s.limits.MaxRequestBody,
	})
	var malformed *http1.Error
	switch {
	case errors.As(err, &malformed):
		s.respondEmpty(c, malformed.Status, true)
		return nil, false
	case errors.Is(err, os.ErrDeadlineExceeded):
		s.respondEmpty(c, http.StatusRequestTimeout, true)
		return nil, false
	case err != nil:
		return nil, false
	}
	if head.ExpectContinue && head.ContentLength > 0 {
		if c.write(c.readDeadline, []byte("HTTP/1.1 100 Continue\r\n\r\n")) != nil {
			return nil, false
		}
	}
	return head, true
}

func (s *Server) healthStatus() int {
	if s.ready.Load() {
		return http.StatusOK
	}
	return http.StatusServiceUnavailable
}
