// Package diskrunner runs the disk cache: package diskcache makes the decisions, and this
// package does the I/O for them in a directory. The I/O runs in goroutines of the cache, so
// that no request waits for the disk longer than Config.ReadTimeout. A read or a write that
// finds its queue full is dropped.
//
// Cache.mu guards the diskcache.Policy and is never held during I/O. One goroutine writes,
// and readerCount goroutines read.
package diskrunner
