// Package diskcache decides for a second tier of cached copies on the router's disk:
// which responses are written, which cached parts give way, where a part's bytes lie,
// which copies a purge makes unusable, what may be served after a restart, and how
// much is written.
//
// It does no I/O, reads no clock and starts no goroutine. Its caller (diskrunner)
// hands in the time in Unix microseconds and holds a lock around every call. The bytes
// themselves are diskstore's. Times and durations are microseconds, but for those of a
// copy's issue (Issued, issuedMillis): these are the milliseconds of the protocol.
//
// Three invariants hold:
//
//   - A copy is served as it is only where no purge that can cover it may be unknown
//     (lookup.go, purge.go). Any other copy is revalidated first.
//   - The slots of a dropped part are used again only after the index on disk has
//     forgotten the part durably (write.go), so that nothing which the index names is
//     overwritten.
//   - Every table, queue and counter is bounded by Settings.
//
// docs/disk-tier.md gives the reasons.
package diskcache
