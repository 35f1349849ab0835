package upstream

import (
	"net"
	"time"

	"quilldoor/internal/cacheproto"
	"quilldoor/internal/clock"
	"quilldoor/internal/engine"
	"quilldoor/internal/policy"
)

// outgoing is one item of a connection's queue. Exactly one field is set.
type outgoing struct {
	call *Call
	drop string // id of the call to drop
	ping string // id of the health check
}

// commandSizeHint is the capacity, in bytes, that is reserved for an attempt's command.
const commandSizeHint = 256

// enqueueAndUnlock queues an item. It writes the queue, unless another goroutine is
// writing it or the connection is still being dialled. The caller holds the pool's
// lock, which enqueueAndUnlock releases.
func (c *conn) enqueueAndUnlock(item outgoing) {
	c.queue = append(c.queue, item)
	write := c.connected && !c.writing && !c.closed
	c.writing = c.writing || write
	c.pool.mu.Unlock()
	if write {
		c.flush()
	}
}

// flush writes until the queue is empty. It closes the connection if a batch can't be
// written within config.Limits.WriteTimeout.
func (c *conn) flush() {
	for {
		c.pool.mu.Lock()
		batch := c.queue
		c.queue = nil
		if len(batch) == 0 || c.closed {
			c.writing = false
			c.pool.mu.Unlock()
			c.discard(batch)
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
		for _, item := range batch {
			if item.drop != "" {
				c.pool.dropDone(item.drop)
			}
		}
	}
}

// discard releases what the items of a closed connection's queue hold. Their calls are
// ended by end.
func (c *conn) discard(queue []outgoing) {
	for _, item := range queue {
		switch {
		case item.call != nil:
			item.call.Body.Release()
		case item.drop != "":
			c.pool.dropDone(item.drop)
		}
	}
}

// write writes a batch and reports the calls in it that were not sent. A call whose
// decision has expired ends with OutcomeSkipped. A call whose last byte the kernel did
// not accept can't have been received completely, and ends with
// OutcomeConnectionRefused.
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
			c.pool.reportResult(item.call.Attempt, engine.Result{Outcome: policy.OutcomeConnectionRefused})
		}
	}
	for _, call := range encoded.expired {
		c.skip(call)
	}
	return err
}

// encodedBatch is the encoding of a batch.
type encodedBatch struct {
	buffers net.Buffers
	size    int64
	ends    []int64 // the offset after each item
	expired []*Call // withdrawn, since the decision has expired
}

func (e *encodedBatch) add(b []byte) {
	e.buffers = append(e.buffers, b)
	e.size += int64(len(b))
}

// encode encodes a batch that is written at now.
func (c *conn) encode(batch []outgoing, now time.Time) *encodedBatch {
	encoded := &encodedBatch{ends: make([]int64, len(batch))}
	for i, item := range batch {
		switch {
		case item.call != nil:
			c.encodeCall(encoded, item.call, clock.At(now))
		case item.drop != "":
			encoded.add(cacheproto.AppendDrop(nil, item.drop))
		default:
			encoded.add(cacheproto.AppendPing(nil, item.ping))
		}
		encoded.ends[i] = encoded.size
	}
	return encoded
}

// encodeCall adds a call to the batch and marks its attempt as begun. It adds no bytes
// for a withdrawn attempt.
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
		c.checkIdle()
	}
	c.pool.mu.Unlock()
	c.pool.reportResult(call.Attempt, engine.Result{Outcome: policy.OutcomeSkipped})
}
