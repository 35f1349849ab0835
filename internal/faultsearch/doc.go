// Package faultsearch searches for fault combinations under which an invariant is violated or
// only a small share of the offered priority weight is earned. It draws random scenarios (Draw),
// encodes them as YAML (Marshal), and reduces a failing scenario to its essential faults by delta
// debugging (Shrink; Zeller and Hildebrandt, 2002).
//
// The caller runs the scenarios. The package does no I/O and has no state; the same seed draws
// the same scenarios.
package faultsearch
