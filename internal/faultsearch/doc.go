// Package faultsearch searches for fault combinations under which an invariant is violated or
// little of the offered priority weight is earned. It draws scenarios at random (Draw), writes
// them as YAML (Marshal), and reduces a failing one to its essential faults by delta debugging
// (Shrink; Zeller and Hildebrandt, 2002).
//
// The caller plays the scenarios. The package does no I/O and holds no state; the same seed
// draws the same scenarios.
package faultsearch
