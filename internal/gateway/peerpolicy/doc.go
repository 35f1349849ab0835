// Package peerpolicy decides which requests a router forwards to routers of another
// site, and which of theirs it admits. It does no I/O and reads no clock: its caller
// hands in the time (microseconds of a steady clock) and holds a lock around every call.
//
// Forwarding begins where the router's own policy rejects a request: a rejection says
// that trying again is harmless, and so is trying at the other site. Endpoints and
// retries are chosen at the site that executes the request.
//
// Invariants:
//
//   - A request is forwarded once, and gets one outcome (forwarded.go).
//   - One that is not idempotent is never rejected once it may have been executed.
//   - One that came from another site goes no further.
//   - Nothing is forwarded to a peer that is not healthy (peer.go).
//
// docs/gateway.md gives the reasons.
package peerpolicy
