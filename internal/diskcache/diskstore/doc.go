// Package diskstore stores records in the slots of one file and their index in another, so
// that synced records are recovered after a crash at any byte. Package diskcache chooses the
// slots of a record and the records to evict.
//
// One goroutine writes; any goroutine may read records. docs/disk-tier.md describes the
// format.
package diskstore
