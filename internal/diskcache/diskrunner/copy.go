package diskrunner

import (
	"quilldoor/internal/bufferpool"
	"quilldoor/internal/diskcache"
)

// Copy is a cached part that has been read into memory. The caller of Get releases it.
type Copy struct {
	*bufferpool.Body
	Tag          string // ETag
	Fresh        bool   // at the lookup: may be served without revalidation
	cache        *Cache
	ref          diskcache.Ref
	classIndex   int
	staleIfError bool
}

// Release returns the copy's buffers to their pool. On a nil Copy it does nothing.
func (c *Copy) Release() {
	if c != nil {
		c.Body.Release()
	}
}

// Serve reports whether the copy may still be served without revalidation, and if so reserves
// the router's link for the transfer. It is called right before the response is written.
// notModified means that the response is a 304, which carries the ETag and no body.
func (c *Copy) Serve(notModified bool) bool { return c.reserve(notModified, false) }

// ServeStale does the same as Serve for a copy that is past its fresh time and would replace
// a failure (stale-if-error).
func (c *Copy) ServeStale(notModified bool) bool {
	return c.staleIfError && c.reserve(notModified, true)
}

// reserve reports whether the copy may be served, and if so reserves the link for the transfer.
// stale means that the copy is past its fresh time and replaces a failure.
func (c *Copy) reserve(notModified, stale bool) bool {
	if c.cache.closed() { // a closed cache receives no more purges
		return false
	}
	c.cache.mu.Lock()
	defer c.cache.mu.Unlock()
	return c.cache.policy.ReserveServe(c.cache.now(), c.ref, c.classIndex, int64(c.Len()), notModified, stale)
}

// Revalidated records that a cache server has confirmed the copy: its own current copy has
// the same ETag and was issued by the origin at issuedMillis (Unix). served means that the
// client receives the bytes of this copy.
func (c *Copy) Revalidated(issuedMillis int64, served bool) {
	bytes := int64(0)
	if served {
		bytes = int64(c.Len())
	}
	c.cache.mu.Lock()
	defer c.cache.mu.Unlock()
	c.cache.policy.Revalidated(c.cache.now(), c.ref, issuedMillis, bytes)
}
