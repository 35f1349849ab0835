// Package upstream keeps the connections to cache servers, parents and the
// origin. A Pool owns all of them. Many attempts share a connection, on which
// responses may come in any order; each connection has one goroutine that reads
// it, and whoever queues something writes it together with what others queued.
//
// Pool.mu guards the state of the pool and of every connection. It is never held
// over I/O or over a callback. A connection's queue is emptied by one goroutine
// at a time (conn.writing).
//
// Every attempt given to Send is reported to ResultFunc, unless its request
// withdraws or drops it; the first report counts. One whose last byte was not
// taken by the kernel is reported as never executed.
package upstream
