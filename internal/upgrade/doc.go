// Package upgrade decides how one generation (a program with its settings) of a
// router replaces another one on the same machine under load.
//
// Two state machines do that together. Machine belongs to the supervisor: it starts
// processes, moves a change from check to trial to settled, and falls back. Agent
// belongs to a router process: it acquires and releases the serving lock as its
// supervisor commands, or by itself when the supervisor is lost. TrialMonitor compares
// a generation on trial with its predecessor, Dispositions decides about processes
// that outlived their supervisor, SoleBudget and ShareBudget divide the machine, and
// Diff says how changed settings take effect.
//
// Invariant: only the process that holds the serving lock accepts clients. The
// operating system grants that lock to one process at a time and releases it when the
// process ends, so two processes never accept, whatever either believes.
//
// The package does no I/O and reads no clock. Times are int64 microseconds of a
// monotonic clock that the caller supplies.
package upgrade

// Microseconds in the units of this package's clock.
const (
	millisecond = int64(1000)
	second      = 1000 * millisecond
)
