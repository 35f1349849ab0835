package diskrunner

import (
	"quilldoor/internal/bufferpool"
	"quilldoor/internal/diskcache"
)

// Copy is a cached part, read into memory. Its holder releases it.
type Copy struct {
	*bufferpool.Body
	Tag          string // ETag
	Fresh        bool   // it may be served as it is; else only after it was revalidated
	cache        *Cache
	ref          diskcache.Ref
	classIndex   int
	staleIfError bool
}

// Release gives the copy's memory back; a nil Copy has none.
func (c *Copy) Release() {
	if c != nil {
		c.Body.Release()
	}
}

// Serve tells, at the moment of its response, whether the copy may still be served as it
// is. NotModified says that only its ETag is, by a 304.
func (c *Copy) Serve(notModified bool) bool { return c.reserve(notModified, false) }

// ServeStale tells whether the copy, past its fresh time, may be served in place of a
// failure.
func (c *Copy) ServeStale(notModified bool) bool {
	return c.staleIfError && c.reserve(notModified, true)
}

func (c *Copy) reserve(notModified, stale bool) bool {
	if c.cache.closed() { // it hears of no purges any more
		return false
	}
	c.cache.mu.Lock()
	defer c.cache.mu.Unlock()
	return c.cache.policy.ReserveServe(c.cache.now(), c.ref, c.classIndex, int64(c.Len()), notModified, stale)
}

// Revalidated says that a cache server has named the copy's ETag as that of the copy which
// it would serve, issued by the origin at issuedMillis (Unix), and whether the client gets
// the bytes from here.
func (c *Copy) Revalidated(issuedMillis int64, served bool) {
	bytes := int64(0)
	if served {
		bytes = int64(c.Len())
	}
	c.cache.mu.Lock()
	defer c.cache.mu.Unlock()
	c.cache.policy.Revalidated(c.cache.now(), c.ref, issuedMillis, bytes)
}
