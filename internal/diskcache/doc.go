// Package diskcache holds the policy of a second cache tier on the router's disk: which
// responses are written, which cached parts are evicted, in which slots a part lies,
// which copies a purge invalidates, what may be served after a restart, and how many
// bytes may be written.
//
// The package does no I/O, reads no clock and starts no goroutine. Its caller, package
// diskrunner, passes the time in Unix microseconds and holds a lock around every call.
// Package diskstore reads and writes the bytes. Times and durations are microseconds,
// except the issue time of a copy (Issued, issuedMillis), which is in milliseconds as in
// the protocol.
//
// Three invariants hold:
//
//   - A copy is served without revalidation only if all purges that may cover it are
//     known (lookup.go, purge.go).
//   - The slots of a dropped part are reused only after its drop is durable in the index
//     on disk (write.go). No slot that the index on disk refers to is overwritten.
//   - Every table, queue and counter is bounded by Settings.
//
// docs/disk-tier.md gives the reasons.
package diskcache
