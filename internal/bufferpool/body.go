package bufferpool

import "sync/atomic"

// Body is a message body in pooled buffers. It counts its holders; the last one's
// Release returns the buffers. A nil Body is empty.
type Body struct {
	pool    *Pool
	buffers []*buffer
	length  int
	holders atomic.Int32
}

// Len is the number of bytes.
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
	for _, buffer := range b.buffers {
		n := min(left, Size)
		list = append(list, buffer[:n])
		left -= n
	}
	return list
}

// AppendBytes copies bytes to the body's end, before it has a second holder. It
// returns false if the pool's bound is reached; the caller then releases the body.
func (b *Body) AppendBytes(data []byte) bool {
	for len(data) > 0 {
		offset := b.length % Size
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

// Retain adds a holder.
func (b *Body) Retain() *Body {
	if b != nil {
		b.holders.Add(1)
	}
	return b
}

// Release ends one holder's use.
func (b *Body) Release() {
	if b == nil || b.holders.Add(-1) != 0 {
		return
	}
	for _, buffer := range b.buffers {
		b.pool.put(buffer)
	}
	b.buffers = nil
}
