// Package upstream keeps the connections to cache servers, parents and the
// origin. A Pool owns all of them. Many attempts share a connection, and their
// responses may arrive in any order. Each connection has one goroutine that
// reads responses. A goroutine that queues a command also writes the queue,
// unless another one is writing it already (conn.writing).
//
// Pool.mu guards the state of the pool and of every connection. It is never held
// during I/O or a callback.
//
// The result of every attempt passed to Send is reported to ResultFunc, unless
// the attempt's request withdraws or drops it. An attempt may be reported more
// than once; the first report counts. An attempt whose last byte the kernel did
// not accept is reported as never executed.
package upstream
