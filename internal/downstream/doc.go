// Package downstream serves clients: it owns the listener's connections and
// handles each request from its first byte to its response.
//
// Each connection has one goroutine (conn.go), which reads a request, parses it
// (request.go) and runs its exchange (exchange.go). The router's disk cache may
// hold the response (localcache.go). Otherwise the engine decides, and package
// upstream carries out the attempts. A request that the policy rejects may be
// forwarded to another site (forward.go).
//
// A connection holds a read slot (readslot.go) while it parses a request, but neither
// while it waits for the client nor once the request is opened. So responses are
// delivered ahead of new requests, however much clients send.
//
// Server.mu guards the set of clients and their states; it is never held during
// blocking I/O. The server closes a connection to make room for another, or to
// drain, only while no request is being served on it.
package downstream
