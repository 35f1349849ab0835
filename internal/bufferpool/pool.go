// Package bufferpool hands out message bodies in buffers of one size from a pool
// and bounds how many bytes they hold at once.
package bufferpool

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// Size of every buffer in bytes: small, since each connection holds one.
const Size = 8 << 10

// ErrFull says that the bound on buffered bytes is reached. The body was read to
// its end and discarded, so its connection can go on.
var ErrFull = errors.New("too many bytes of bodies are buffered")

type buffer = [Size]byte

// Pool holds free buffers. It may be used from any goroutine.
type Pool struct {
	free      sync.Pool // of *buffer
	available atomic.Int64
	limit     atomic.Int64 // bytes
}

// NewPool bounds the bytes buffered in bodies.
func NewPool(limit int64) *Pool {
	p := &Pool{free: sync.Pool{New: func() any { return new(buffer) }}}
	p.available.Store(limit)
	p.limit.Store(limit)
	return p
}

// SetLimit sets another bound on the buffered bytes. Bodies that there are stay.
func (p *Pool) SetLimit(limit int64) { p.available.Add(limit - p.limit.Swap(limit)) }

// get returns nil if the bound is reached.
func (p *Pool) get() *buffer {
	if p.available.Add(-Size) < 0 {
		p.available.Add(Size)
		return nil
	}
	return p.free.Get().(*buffer)
}

func (p *Pool) put(b *buffer) {
	p.free.Put(b)
	p.available.Add(Size)
}

// NewBody makes an empty body for AppendBytes, with one holder.
func (p *Pool) NewBody() *Body {
	b := &Body{pool: p}
	b.holders.Store(1)
	return b
}

// ReadBody takes n bytes from r into a body with one holder. A slow sender holds
// only the buffers it has filled. The error is ErrFull or that of r.
func (p *Pool) ReadBody(r io.Reader, n int) (*Body, error) {
	body := p.NewBody()
	for body.length < n {
		chunk := p.get()
		if chunk == nil {
			rest := int64(n - body.length)
			body.Release()
			if _, err := io.CopyN(io.Discard, r, rest); err != nil {
				return nil, err
			}
			return nil, ErrFull
		}
		body.buffers = append(body.buffers, chunk)
		want := min(n-body.length, Size)
		if _, err := io.ReadFull(r, chunk[:want]); err != nil {
			body.Release()
			return nil, err
		}
		body.length += want
	}
	return body, nil
}
