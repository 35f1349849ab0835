// Package upgrade decides how one generation (a program with its settings) of a
// router replaces another one on the same machine under load.
//
// Two state machines cooperate. Machine runs in the supervisor: it starts processes,
// takes a change from the check through the trial to the settled state, and falls back
// on a failure. Agent runs in a router process: it acquires and releases the serving
// lock on the supervisor's commands, or on its own when the supervisor is lost.
//
// TrialMonitor compares a generation on trial with its predecessor. Dispositions decides
// what a new supervisor does with processes that outlived the previous supervisor.
// SoleBudget and ShareBudget divide the machine's resources. Diff reports how changed
// settings take effect.
//
// Invariant: only the process that holds the serving lock accepts clients. The
// operating system grants that lock to one process at a time and releases it when the
// process ends. Two processes therefore never accept clients at the same time, even if
// their state machines disagree about which one serves.
//
// The package does no I/O and reads no clock. Times are int64 microseconds of a
// monotonic clock that the caller supplies.
package upgrade

// Durations in microseconds, the unit of this package's clock.
const (
	millisecond = int64(1000)
	second      = 1000 * millisecond
)
