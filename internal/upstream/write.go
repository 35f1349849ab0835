package upstream

import (
	"net"
	"time"

	"quilldoor/internal/cacheproto"
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
)

// outgoing is one thing to write: a call, or else a drop or a ping by id.
type outgoing struct {
	call *Call
	drop string
	ping string
}

// commandSizeHint is about how long an attempt's command is, in bytes.
const commandSizeHint = 256

// enqueueAndUnlock queues an item, and writes unless another goroutine does so
// already or the connection is being dialled. The caller holds the pool's lock,
// which is released.
func (c *conn) enqueueAndUnlock(item outgoing) {
	c.queue = append(c.queue, item)
	write := c.connected && !c.writing && !c.closed
	c.writing = c.writing || write
	c.pool.mu.Unlock()
	if write {
		c.flush()
	}
}

// flush writes until the queue is empty. A connection that takes nothing in for
// WriteTimeout is closed.
func (c *conn) flush() {
	for {
		c.pool.mu.Lock()
		batch := c.queue
		c.queue = nil
		if len(batch) == 0 || c.closed {
			c.writing = false
			c.pool.mu.Unlock()
			return
		}
		now := time.Now()
		for _, item := range batch {
			if item.call != nil {
				item.call.writtenAt = now
			}
		}
		c.pool.mu.Unlock()
		if c.write(batch, now) != nil {
			c.pool.mu.Lock()
			c.close()
			c.pool.mu.Unlock()
		}
	}
}

// write writes a batch and reports the calls in it that were not sent: those
// whose decision holds no longer, and those whose last byte was not taken by the
// kernel, which can't have been received whole.
func (c *conn) write(batch []outgoing, now time.Time) error {
	encoded := c.encode(batch, now)
	var written int64
	var err error
	if encoded.size > 0 {
		c.socket.SetWriteDeadline(now.Add(c.pool.limits.WriteTimeout))
		written, err = encoded.buffers.WriteTo(c.socket)
	}
	for i, item := range batch {
		if item.call == nil {
			continue
		}
		item.call.Body.Release()
		if err != nil && encoded.ends[i] > written {
			c.pool.ended(item.call.Attempt, engine.Result{Outcome: policy.OutcomeConnectionRefused})
		}
	}
	for _, call := range encoded.expired {
		c.skip(call)
	}
	return err
}

// encodedBatch is a batch as bytes.
type encodedBatch struct {
	buffers net.Buffers
	size    int64
	ends    []int64 // offset behind each item
	expired []*Call // withdrawn, since the decision holds no longer
}

func (e *encodedBatch) add(b []byte) {
	e.buffers = append(e.buffers, b)
	e.size += int64(len(b))
}

func (c *conn) encode(batch []outgoing, now time.Time) *encodedBatch {
	encoded := &encodedBatch{ends: make([]int64, len(batch))}
	for i, item := range batch {
		switch {
		case item.call != nil:
			c.encodeCall(encoded, item.call, now.UnixMicro())
		case item.drop != "":
			encoded.add(cacheproto.AppendDrop(nil, item.drop))
		default:
			encoded.add(cacheproto.AppendPing(nil, item.ping))
		}
		encoded.ends[i] = encoded.size
	}
	return encoded
}

func (c *conn) encodeCall(encoded *encodedBatch, call *Call, now int64) {
	maxAge := c.pool.limits.MaxDecisionAge.Microseconds()
	if !call.Attempt.MayBeSent(now, maxAge) && call.Attempt.Withdraw() {
		encoded.expired = append(encoded.expired, call)
	}
	if !call.Attempt.Begin() {
		return
	}
	encoded.add(cacheproto.AppendGet(make([]byte, 0, commandSizeHint), call.command(now)))
	for _, b := range call.Body.AppendBuffers(nil) {
		encoded.add(b)
	}
	encoded.add([]byte("\r\n"))
}

// skip ends a call that was withdrawn before it was written.
func (c *conn) skip(call *Call) {
	c.pool.mu.Lock()
	if c.calls[call.id()] == call {
		delete(c.calls, call.id())
		c.noteIdle()
	}
	c.pool.mu.Unlock()
	c.pool.ended(call.Attempt, engine.Result{Outcome: policy.OutcomeSkipped})
}
