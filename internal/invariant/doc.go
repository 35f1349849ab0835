// Package invariant monitors a router's process from outside for rule violations that the
// process does not detect itself: a program that ignores drains or purges, or overloads
// endpoints in slow start, loses no weight by that, so no weight metric reveals it. The
// process records its attempts and responses (Recorder) and reports them to the
// supervisor beside it. The supervisor stays the same when the program changes, follows
// discovery by itself, and compares the reports with what it received (Monitor).
//
// Monitor owns its state of endpoints, purges and processes, and is used by one goroutine
// at a time; Recorder is safe for concurrent use. The package does no I/O and reads no
// clock: times are Unix microseconds of the machine's clock, which the process and the
// supervisor share.
package invariant
