// Package bufferpool hands out buffers of one size from a pool and bounds how many
// bytes of bodies are held at once.
package bufferpool

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// Size of every buffer: small, since each connection holds one.
const Size = 8 << 10

// ErrFull says that the bound on bytes held is reached. The body was read to
// its end and thrown away, so its connection can go on.
var ErrFull = errors.New("no room for the body")

// Pool holds buffers for use again.
type Pool struct {
	free sync.Pool
	left atomic.Int64
	most atomic.Int64
}

// NewPool bounds the bytes held in bodies.
func NewPool(bytes int64) *Pool {
	p := &Pool{free: sync.Pool{New: func() any { return new([Size]byte) }}}
	p.left.Store(bytes)
	p.most.Store(bytes)
	return p
}

// SetLimit sets another bound on the bytes held. Bodies that are there stay.
func (p *Pool) SetLimit(bytes int64) { p.left.Add(bytes - p.most.Swap(bytes)) }

func (p *Pool) get() *[Size]byte {
	if p.left.Add(-Size) < 0 {
		p.left.Add(Size)
		return nil
	}
	return p.free.Get().(*[Size]byte)
}

// Body is a message body in pooled buffers. It starts with one holder.
type Body struct {
	pool    *Pool
	chunks  []*[Size]byte
	length  int
	holders atomic.Int32
}

// ReadBody takes n bytes from r. A slow sender holds only the buffers it has filled.
func (p *Pool) ReadBody(r io.Reader, n int) (*Body, error) {
	b := &Body{pool: p}
	b.holders.Store(1)
	for b.length < n {
		chunk := p.get()
		if chunk == nil {
			rest := int64(n - b.length)
			b.Release()
			if _, err := io.CopyN(io.Discard, r, rest); err != nil {
				return nil, err
			}
			return nil, ErrFull
		}
		b.chunks = append(b.chunks, chunk)
		want := min(n-b.length, Size)
		if _, err := io.ReadFull(r, chunk[:want]); err != nil {
			b.Release()
			return nil, err
		}
		b.length += want
	}
	return b, nil
}

// Len is the number of bytes; a nil Body has none.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return b.length
}

// AppendBuffers adds the body's buffers to a list for one write.
func (b *Body) AppendBuffers(list [][]byte) [][]byte {
	if b == nil {
		return list
	}
	left := b.length
	for _, c := range b.chunks {
		n := min(left, Size)
		list = append(list, c[:n])
		left -= n
	}
	return list
}

// Retain adds a holder.
func (b *Body) Retain() *Body {
	if b != nil {
		b.holders.Add(1)
	}
	return b
}

// Release ends one holder's use; with the last, the buffers go back.
func (b *Body) Release() {
	if b == nil || b.holders.Add(-1) != 0 {
		return
	}
	for _, c := range b.chunks {
		b.pool.free.Put(c)
		b.pool.left.Add(Size)
	}
	b.chunks = nil
}

// NewBody makes a body that Add fills.
func (p *Pool) NewBody() *Body {
	b := &Body{pool: p}
	b.holders.Store(1)
	return b
}

// AppendBytes copies bytes to the body's end, before it has a second holder. False: there
// is no room, and the body is to be released.
func (b *Body) AppendBytes(data []byte) bool {
	for len(data) > 0 {
		at := b.length % Size
		if at == 0 {
			chunk := b.pool.get()
			if chunk == nil {
				return false
			}
			b.chunks = append(b.chunks, chunk)
		}
		n := copy(b.chunks[len(b.chunks)-1][at:], data)
		b.length += n
		data = data[n:]
	}
	return true
}
