// Package invariant monitors from outside whether a process of a router violates rules
// that the process itself may not notice: a program that ignores drains or purges, or
// overloads endpoints in slow start, loses no weight by that. The process records its
// attempts and responses (Recorder); the supervisor beside it, which a change of the
// program leaves as it is, follows discovery by itself and compares (Monitor).
//
// Monitor owns what it knows of endpoints, purges and processes, and is used by one
// goroutine at a time; Recorder by any number. The package does no I/O and has no clock:
// times are microseconds of the machine's Unix time, which both sides share.
package invariant
