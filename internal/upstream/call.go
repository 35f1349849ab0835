package upstream

import (
	"time"

	"quilldoor/internal/bufferpool"
	"quilldoor/internal/cacheproto"
	"quilldoor/internal/engine"
)

const microsPerMilli = 1000

// Call is an attempt to be sent on a connection, with the parameters and the body of
// its request. It is the attempt's engine.Transport.
type Call struct {
	Attempt        *engine.Attempt
	Class          string
	Object         string
	Part           int64            // of the object
	Tag            string           // of the copy that the client or the router holds; "": none
	IdempotencyKey string           // "": none
	Body           *bufferpool.Body // nil: none
	Write          bool             // the response carries no copy of an object

	conn      *conn     // set by Send, which returns before Drop may be called; nil: not sent
	waitedIn  *Pool     // nil, or the pool in which the call waited for a drop: its lock guards conn
	writtenAt time.Time // when the write of its batch began; guarded by Pool.mu
}

// Response is the response to an attempt, from which the request's response is made.
type Response struct {
	*bufferpool.Body
	Tag          string
	NotModified  bool  // the copy with the tag Call.Tag is current
	IssuedMillis int64 // when the origin issued the copy, in Unix milliseconds; 0: no copy
}

// id returns the request's id, which identifies the call on its connection.
func (c *Call) id() string { return c.Attempt.Request.ID }

// Drop abandons the attempt. timedOut means that it timed out without a response. If its
// connection then has received nothing since the attempt was written, the machine may
// be unreachable, and the connection accepts no new work.
func (c *Call) Drop(timedOut bool) {
	conn := c.sentOn()
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
	conn.suspect = conn.suspect || timedOut && conn.lastReceived.Before(c.writtenAt)
	begun := !c.Attempt.Withdraw()
	if begun {
		conn.abandoned[c.id()] = time.Now()
	}
	conn.checkIdle()
	if !begun || conn.closed {
		pool.mu.Unlock()
		return
	}
	pool.dropQueued(c.id())
	conn.enqueueAndUnlock(outgoing{drop: c.id()})
}

// sentOn returns the connection that the call was queued on; nil: none yet. A call that has
// begun was queued on one.
func (c *Call) sentOn() *conn {
	if c.waitedIn != nil {
		c.waitedIn.mu.Lock()
		defer c.waitedIn.mu.Unlock()
	}
	return c.conn
}

// command returns the attempt's command, written at now, in Unix microseconds. The
// protocol's times are whole milliseconds. A maximum age is rounded down, since older
// copies are not permitted, but to no less than 1: 0 selects the class's default.
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
		BudgetMillis:   max((attempt.Deadline-now)/microsPerMilli, 1),
	}
	if attempt.MaxAge > 0 {
		command.MaxAgeMillis = max(attempt.MaxAge/microsPerMilli, 1)
	}
	return command
}

// accepts reports whether a response is valid for the call. A response that carries or
// confirms a copy must have the copy's tag and issue time.
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
