// Package bufferpool stores message bodies in pooled buffers of one size and limits
// the total size of the buffers in use.
package bufferpool

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// BufferSize is the size of a buffer in bytes. It is small since each connection has a
// buffer of this size.
const BufferSize = 8 << 10

// ErrFull reports that the limit on buffered bytes is reached. The body was read to
// its end and discarded, so that its connection remains usable.
var ErrFull = errors.New("the limit on buffered body bytes is reached")

type buffer = [BufferSize]byte

// Pool holds free buffers and limits the bytes in use. It is safe for concurrent use.
type Pool struct {
	free      sync.Pool    // of *buffer
	available atomic.Int64 // bytes; negative after SetLimit to less than the bytes in use
	limit     atomic.Int64 // bytes
}

// NewPool returns a pool whose bodies may occupy at most limit bytes of buffers.
func NewPool(limit int64) *Pool {
	p := &Pool{free: sync.Pool{New: func() any { return new(buffer) }}}
	p.available.Store(limit)
	p.limit.Store(limit)
	return p
}

// SetLimit changes the limit on buffered bytes. Existing bodies keep their buffers.
func (p *Pool) SetLimit(limit int64) { p.available.Add(limit - p.limit.Swap(limit)) }

// get returns a buffer, or nil if the limit is reached.
func (p *Pool) get() *buffer {
	if p.available.Add(-BufferSize) < 0 {
		p.available.Add(BufferSize)
		return nil
	}
	return p.free.Get().(*buffer)
}

func (p *Pool) put(b *buffer) {
	p.free.Put(b)
	p.available.Add(BufferSize)
}

// NewBody returns an empty body with one reference, to fill with AppendBytes.
func (p *Pool) NewBody() *Body {
	b := &Body{pool: p}
	b.references.Store(1)
	return b
}

// ReadBody reads length bytes from r into a body with one reference. It gets each
// buffer only when the previous one is full, so that a slow sender occupies no
// buffers in advance. The error is ErrFull or that of r.
func (p *Pool) ReadBody(r io.Reader, length int) (*Body, error) {
	body := p.NewBody()
	for body.length < length {
		chunk := p.get()
		if chunk == nil {
			remaining := int64(length - body.length)
			body.Release()
			if _, err := io.CopyN(io.Discard, r, remaining); err != nil {
				return nil, err
			}
			return nil, ErrFull
		}
		body.buffers = append(body.buffers, chunk)
		chunkLength := min(length-body.length, BufferSize)
		if _, err := io.ReadFull(r, chunk[:chunkLength]); err != nil {
			body.Release()
			return nil, err
		}
		body.length += chunkLength
	}
	return body, nil
}
