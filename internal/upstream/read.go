package upstream

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/cacheproto"
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
	"quilldoor/internal/settings"
)

// stallReader sets the read deadlines of a connection. There is none between
// responses. Within a response there is one, since an endpoint that stops sending
// there would block all attempts on the connection.
type stallReader struct {
	net.Conn
	stallTimeout time.Duration // of one read within a response
	deadline     time.Time     // of the whole response; zero: between responses
}

func (s *stallReader) Read(b []byte) (int, error) {
	var deadline time.Time
	if !s.deadline.IsZero() {
		deadline = time.Now().Add(s.stallTimeout)
		if s.deadline.Before(deadline) {
			deadline = s.deadline
		}
	}
	s.SetReadDeadline(deadline)
	return s.Conn.Read(b)
}

// read reads and handles responses until the connection fails or the endpoint
// violates the protocol, and returns the error.
func (c *conn) read() error {
	limits := c.pool.limits
	socket := &stallReader{Conn: c.socket, stallTimeout: limits.ReadStallTimeout}
	reader := bufio.NewReaderSize(socket, bufferpool.BufferSize)
	for {
		socket.deadline = time.Time{}
		if _, err := reader.Peek(1); err != nil {
			return err
		}
		socket.deadline = time.Now().Add(limits.ResponseReadTimeout)
		response, err := cacheproto.ReadResponse(reader, limits.MaxResponseBody)
		if err != nil {
			return err
		}
		if err := c.handleResponse(reader, &response); err != nil {
			return err
		}
	}
}

// outcomeByStatus maps the status of a response to the outcome of its attempt.
var outcomeByStatus = map[cacheproto.Status]policy.Outcome{
	cacheproto.StatusOK:          policy.OutcomeDone,
	cacheproto.StatusNotModified: policy.OutcomeDone,
	cacheproto.StatusMiss:        policy.OutcomeMiss,
	cacheproto.StatusBusy:        policy.OutcomeBusy,
	cacheproto.StatusError:       policy.OutcomeError,
	cacheproto.StatusSkipped:     policy.OutcomeSkipped,
}

// handleResponse reads a response's body and ends its call. A response whose id is
// unknown, or is that of an abandoned attempt, is read to its end and discarded, so that
// the other calls on the connection continue.
func (c *conn) handleResponse(r *bufio.Reader, response *cacheproto.Response) error {
	call, healthCheck := c.findWaiting(response.ID)
	if healthCheck != nil && response.Status != cacheproto.StatusReady || call != nil && !call.accepts(response) {
		return fmt.Errorf("%w: response %q with status %s does not match its command",
			cacheproto.ErrProtocol, response.ID, response.Status)
	}
	body, err := c.readBody(r, response.Length)
	bodyDiscarded := errors.Is(err, bufferpool.ErrFull)
	if err != nil && !bodyDiscarded {
		return err
	}
	outcome := outcomeByStatus[response.Status]
	tagMismatch := call != nil && response.Status == cacheproto.StatusNotModified && response.Tag != call.Tag
	if bodyDiscarded || tagMismatch {
		outcome = policy.OutcomeError
	}
	waiting := c.complete(call, response.ID, outcome)
	if healthCheck != nil {
		healthCheck(true)
	}
	if !waiting {
		body.Release()
		return nil
	}
	c.pool.reportResult(call.Attempt, resultOf(outcome, response, body))
	return nil
}

// resultOf returns an attempt's result. The body is passed on in the result, or
// released if the outcome is not OutcomeDone.
func resultOf(outcome policy.Outcome, response *cacheproto.Response, body *bufferpool.Body) engine.Result {
	result := engine.Result{
		Outcome:    outcome,
		Reason:     response.Reason,
		OriginWait: settings.Micros(response.OriginWaitMillis),
		Load:       response.Load,
	}
	if outcome != policy.OutcomeDone {
		body.Release()
		return result
	}
	result.Response = &Response{
		Body:         body,
		Tag:          response.Tag,
		NotModified:  response.Status == cacheproto.StatusNotModified,
		IssuedMillis: response.IssuedMillis,
	}
	result.IssuedAt = response.IssuedMillis * microsPerMilli
	result.NotModified = response.Status == cacheproto.StatusNotModified
	return result
}

// findWaiting returns the call or health check that waits for the response with an id,
// and records that the connection received data.
func (c *conn) findWaiting(id string) (call *Call, healthCheck func(ok bool)) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.lastReceived = time.Now()
	return c.calls[id], c.healthChecks[id]
}

// readBody reads a body and the CR LF that ends it. A response of negative length has
// neither. On ErrFull both were read and the body was discarded.
func (c *conn) readBody(r *bufio.Reader, length int) (*bufferpool.Body, error) {
	if length < 0 {
		return nil, nil
	}
	body, err := c.pool.bodies.ReadBody(r, length)
	if err != nil && !errors.Is(err, bufferpool.ErrFull) {
		return nil, err
	}
	if endErr := cacheproto.ReadBodyEnd(r); endErr != nil {
		body.Release()
		return nil, endErr
	}
	return body, err
}

// complete removes a response's call or health check from the connection. It reports
// whether the call was still waiting for the response.
func (c *conn) complete(call *Call, id string, outcome policy.Outcome) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.lastReceived = time.Now()
	waiting := call != nil && c.calls[id] == call
	if waiting {
		delete(c.calls, id)
		if outcome != policy.OutcomeDone { // the request's next attempt has the same id
			c.abandoned[id] = c.lastReceived
		}
	}
	delete(c.healthChecks, id)
	c.checkIdle()
	return waiting
}
