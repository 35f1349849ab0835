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

// stallReader sets the read deadlines of a connection. Between responses a peer
// may be silent; one that stops within a response would hold up all attempts on
// the connection.
type stallReader struct {
	net.Conn
	stallTimeout time.Duration
	deadline     time.Time // of the whole response; zero: between responses
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

// read takes responses until the connection ends or the peer violates the
// protocol.
func (c *conn) read() error {
	limits := c.pool.limits
	from := &stallReader{Conn: c.socket, stallTimeout: limits.ReadStallTimeout}
	r := bufio.NewReaderSize(from, bufferpool.Size)
	for {
		from.deadline = time.Time{}
		if _, err := r.Peek(1); err != nil {
			return err
		}
		from.deadline = time.Now().Add(limits.ResponseReadTimeout)
		response, err := cacheproto.ReadResponse(r, limits.MaxResponseBody)
		if err != nil {
			return err
		}
		if err := c.handleResponse(r, &response); err != nil {
			return err
		}
	}
}

// outcomes are an attempt's outcomes by the status of its response.
var outcomes = map[cacheproto.Status]policy.Outcome{
	cacheproto.StatusOK:          policy.OutcomeDone,
	cacheproto.StatusNotModified: policy.OutcomeDone,
	cacheproto.StatusMiss:        policy.OutcomeMiss,
	cacheproto.StatusBusy:        policy.OutcomeBusy,
	cacheproto.StatusError:       policy.OutcomeError,
	cacheproto.StatusSkipped:     policy.OutcomeSkipped,
}

// handleResponse reads a response's body and ends its call. A response that
// nobody waits for, under an unknown id or an abandoned one, is read to its end
// and discarded: the other calls on the connection go on.
func (c *conn) handleResponse(r *bufio.Reader, response *cacheproto.Response) error {
	call, healthCheck := c.expecting(response.ID)
	if healthCheck != nil && response.Status != cacheproto.StatusReady || call != nil && !call.accepts(response) {
		return fmt.Errorf("%w: the response does not fit its command", cacheproto.ErrProtocol)
	}
	body, err := c.readBody(r, response.Length)
	poolFull := errors.Is(err, bufferpool.ErrFull)
	if err != nil && !poolFull {
		return err
	}
	outcome := outcomes[response.Status]
	unknownCopy := call != nil && response.Status == cacheproto.StatusNotModified && response.Tag != call.Tag
	if poolFull || unknownCopy {
		outcome = policy.OutcomeError
	}
	ended := c.complete(call, response.ID, outcome)
	if healthCheck != nil {
		healthCheck(true)
	}
	if !ended {
		body.Release()
		return nil
	}
	c.pool.ended(call.Attempt, resultOf(outcome, response, body))
	return nil
}

// resultOf is an attempt's result. It takes the body over, or releases it.
func resultOf(outcome policy.Outcome, response *cacheproto.Response, body *bufferpool.Body) engine.Result {
	result := engine.Result{
		Outcome:    outcome,
		Reason:     response.Reason,
		OriginWait: settings.Micros(response.DelayMillis),
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
	return result
}

// expecting notes that a response has begun, and finds what waits for it.
func (c *conn) expecting(id string) (call *Call, healthCheck func(ok bool)) {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.lastReceived = time.Now()
	return c.calls[id], c.healthChecks[id]
}

// readBody reads a body and its end; a negative length means neither. With
// ErrFull both were read and the body was discarded.
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

// complete takes a response's call and health check off the connection. It
// returns false if nobody waits for the response any more.
func (c *conn) complete(call *Call, id string, outcome policy.Outcome) bool {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.lastReceived = time.Now()
	waiting := call != nil && c.calls[id] == call
	if waiting {
		delete(c.calls, id)
		if outcome != policy.OutcomeDone { // the request may go on with the same id
			c.abandoned[id] = c.lastReceived
		}
	}
	delete(c.healthChecks, id)
	c.noteIdle()
	return waiting
}
