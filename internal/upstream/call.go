package upstream

import (
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/cacheproto"
	"quilldoor/internal/engine"
)

// Call is an attempt on the sockets, with what the client sent. It is the
// attempt's engine.Transport.
type Call struct {
	Attempt        *engine.Attempt
	Class          string
	Object         string
	Part           int64            // of the object
	Tag            string           // of the copy that the client or router has; "": none
	IdempotencyKey string           // "": none
	Body           *bufferpool.Body // nil: none
	Write          bool             // its response is no copy of an object

	conn      *conn     // under the pool's lock, as writtenAt
	writtenAt time.Time // when the batch with it was begun
}

// Response is a response's body and tag; it is what a request is answered with.
type Response struct {
	*bufferpool.Body
	Tag          string
	NotModified  bool  // the copy whose Call.Tag was sent is the current one
	IssuedMillis int64 // Unix milliseconds at which the origin gave the copy out; 0: no copy
}

// id names the call on its connection.
func (c *Call) id() string { return c.Attempt.Request.ID }

// Drop gives the attempt up. Silent says that it timed out: if its connection has
// received nothing since the attempt was written, the machine may be gone, and
// nothing new is sent there.
func (c *Call) Drop(silent bool) {
	conn := c.conn
	if conn == nil {
		return
	}
	pool := conn.pool
	pool.mu.Lock()
	if conn.calls[c.id()] != c {
		pool.mu.Unlock()
		return
	}
	delete(conn.calls, c.id())
	conn.suspect = conn.suspect || silent && conn.lastReceived.Before(c.writtenAt)
	begun := !c.Attempt.Withdraw()
	if begun {
		conn.abandoned[c.id()] = time.Now()
	}
	conn.noteIdle()
	if !begun || conn.closed {
		pool.mu.Unlock()
		return
	}
	conn.enqueueAndUnlock(outgoing{drop: c.id()})
}

// command is the attempt's command at the time of writing, in microseconds. The
// protocol's times are whole milliseconds: a maximum age is rounded down, since
// older copies are not permitted, but not to 0, which would mean the default.
func (c *Call) command(now int64) *cacheproto.GetCommand {
	attempt := c.Attempt
	command := &cacheproto.GetCommand{
		ID:             c.id(),
		Class:          c.Class,
		Object:         c.Object,
		Part:           c.Part,
		Source:         attempt.Source,
		Priority:       attempt.CachePriority,
		FillMode:       attempt.FillMode,
		Tag:            c.Tag,
		IdempotencyKey: c.IdempotencyKey,
		Length:         c.Body.Len(),
		BudgetMillis:   max((attempt.Deadline-now)/1000, 1),
	}
	if attempt.MaxAge > 0 {
		command.MaxAgeMillis = max(attempt.MaxAge/1000, 1)
	}
	return command
}

// accepts reports whether a response can be one to the call. A copy names its tag
// and when it was issued.
func (c *Call) accepts(response *cacheproto.Response) bool {
	isCopy := false
	switch response.Status {
	case cacheproto.StatusReady:
		return false
	case cacheproto.StatusOK:
		isCopy = !c.Write
	case cacheproto.StatusNotModified:
		if c.Tag == "" {
			return false
		}
		isCopy = true
	}
	return !isCopy || response.Tag != "" && response.IssuedMillis > 0
}
