// Package downstream serves clients: it owns the listener's connections and takes
// each request from its first byte to its response.
//
// A connection has one goroutine (conn.go). It waits for a request, reads and
// parses it (request.go), and runs its exchange (exchange.go): the router's disk
// cache may answer (localcache.go); else the engine decides, and upstream carries
// out its attempts; a request that the policy rejects may be forwarded to another
// site (forward.go).
//
// Server.mu guards the set of clients and their states; it is never held over
// I/O. A connection is closed for another's sake only while its state says that
// no request is being served on it.
package downstream
