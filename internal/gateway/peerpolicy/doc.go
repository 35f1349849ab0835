// Package peerpolicy decides which requests a router forwards to routers of another
// site, and which requests of those routers it admits. It does no I/O and reads no clock:
// its caller passes the time (microseconds of a monotonic clock) and holds a lock around
// every call.
//
// A request is forwarded only after the router's own policy has rejected it. A rejection
// means that repeating the request is harmless, and so is executing it at the other site.
// The site that executes the request chooses its endpoints and retries.
//
// Invariants:
//
//   - A request is forwarded at most once, and gets one outcome (forwarded.go).
//   - A request that is not idempotent is never rejected once it may have been executed.
//   - A request that came from another site is not forwarded again.
//   - Requests are forwarded only to healthy peers (peer.go).
//
// docs/gateway.md gives the reasons.
package peerpolicy
