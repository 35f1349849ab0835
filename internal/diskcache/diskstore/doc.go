// Package diskstore keeps records in the slots of one file and an index of them in
// another, so that what was synced is found again after a crash at any byte. It decides
// nothing: which slots a record takes, and what gives way, is decided by package diskcache.
//
// One goroutine writes; any may read records. docs/disk-tier.md describes the format.
package diskstore
