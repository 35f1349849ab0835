package downstream

import (
	"net"
	"net/http"
	"strconv"
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/diskcache/diskrunner"
	"quilldoor/internal/engine"
	"quilldoor/internal/http1"
	"quilldoor/internal/upstream"
)

// respondEmpty writes a response without a body. If the socket's send buffer is
// full, the write waits up to LingeringCloseTimeout for the client to read. False:
// the write failed.
func (s *Server) respondEmpty(c *client, status int, closeAfter bool) bool {
	deadline := time.Now().Add(s.limits.LingeringCloseTimeout)
	return c.write(deadline, http1.AppendResponse(nil, status, 0, closeAfter)) == nil
}

// write writes the buffers with one vectored write.
func (c *client) write(deadline time.Time, buffers ...[]byte) error {
	c.SetWriteDeadline(deadline)
	list := net.Buffers(buffers)
	_, err := list.WriteTo(c.Conn)
	return err
}

// respond writes the response that the final command calls for. False: the write
// failed.
func (x *exchange) respond(final *engine.Command) bool {
	switch final.Kind {
	case engine.CommandRespond:
		response := final.Response.(*upstream.Response)
		defer response.Release()
		status := http.StatusOK
		if response.NotModified {
			status = http.StatusNotModified
		}
		return x.respondCopy(status, response.Tag, response.Body)
	case engine.CommandReject:
		if final.RetryAfter > 0 {
			millis := strconv.FormatInt(final.RetryAfter/1000, 10)
			return x.write(http.StatusServiceUnavailable, nil, http1.Field{Name: "X-Throttle-Ms", Value: millis})
		}
		return x.write(http.StatusServiceUnavailable, nil)
	}
	return x.write(http.StatusGatewayTimeout, nil)
}

// respondCached answers with a copy from the disk cache.
func (x *exchange) respondCached(cached *diskrunner.Copy) bool {
	if x.request.tag == cached.Tag {
		return x.respondCopy(http.StatusNotModified, cached.Tag, nil)
	}
	return x.respondCopy(http.StatusOK, cached.Tag, cached.Body)
}

// respondCopy answers with a copy, and its tag as the ETag unless that is "".
func (x *exchange) respondCopy(status int, tag string, body *bufferpool.Body) bool {
	if tag == "" {
		return x.write(status, body)
	}
	return x.write(status, body, http1.Field{Name: "ETag", Value: `"` + tag + `"`})
}

func (x *exchange) write(status int, body *bufferpool.Body, fields ...http1.Field) bool {
	buffers := body.AppendBuffers([][]byte{nil})
	buffers[0] = http1.AppendResponse(nil, status, body.Len(), x.closeAfter, fields...)
	return x.client.write(x.writeDeadline(time.Now()), buffers...) == nil
}

// writeDeadline returns by when a response must be written whose write begins now. It is
// in the future however late the response is: its client may still wait for it.
func (x *exchange) writeDeadline(now time.Time) time.Time {
	limits := x.server.limits
	timely, late := x.deadline.Add(limits.ResponseGrace), now.Add(limits.LingeringCloseTimeout)
	if late.After(timely) {
		return late
	}
	return timely
}
