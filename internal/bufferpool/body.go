package bufferpool

import "sync/atomic"

// Body is a reference-counted message body in pooled buffers. Releasing the last
// reference returns the buffers to the pool. A nil Body is empty.
type Body struct {
	pool       *Pool
	buffers    []*buffer
	length     int
	references atomic.Int32
}

// Len returns the body's length in bytes.
func (b *Body) Len() int {
	if b == nil {
		return 0
	}
	return b.length
}

// AppendBuffers appends the filled parts of the body's buffers to a list, for a
// vectored write.
func (b *Body) AppendBuffers(list [][]byte) [][]byte {
	if b == nil {
		return list
	}
	remaining := b.length
	for _, buffer := range b.buffers {
		n := min(remaining, BufferSize)
		list = append(list, buffer[:n])
		remaining -= n
	}
	return list
}

// AppendBytes appends a copy of data to the body. It must not be called once the body
// has a second reference. It returns false if the pool's limit is reached; the caller
// then releases the body.
func (b *Body) AppendBytes(data []byte) bool {
	for len(data) > 0 {
		offset := b.length % BufferSize
		if offset == 0 {
			added := b.pool.get()
			if added == nil {
				return false
			}
			b.buffers = append(b.buffers, added)
		}
		n := copy(b.buffers[len(b.buffers)-1][offset:], data)
		b.length += n
		data = data[n:]
	}
	return true
}

// Retain adds a reference and returns the body.
func (b *Body) Retain() *Body {
	if b != nil {
		b.references.Add(1)
	}
	return b
}

// Release drops one reference.
func (b *Body) Release() {
	if b == nil || b.references.Add(-1) != 0 {
		return
	}
	for _, buffer := range b.buffers {
		b.pool.put(buffer)
	}
	b.buffers = nil
}
