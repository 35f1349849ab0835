// Package diskrunner runs the disk cache: it carries out on a folder, in goroutines of its
// own, what package diskcache decides, so that no request waits for the disk longer than
// Config.ReadTimeout. What finds a queue full is dropped.
//
// Cache.mu guards the decisions and is never held over I/O. One goroutine writes, a few
// read.
package diskrunner
