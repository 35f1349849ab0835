// Package canary decides whether routers with a new generation do worse than those
// beside them with the old one. It does no I/O and has no clock.
//
// The two arms of an office are compared over the same time, so that what strikes an
// office strikes both. For each metric the differences of the samples are kept, with an
// asymptotic confidence sequence for their mean (Waudby-Smith, Arbour, Sinha, Kennedy,
// Ramdas: Time-uniform central limit theory and asymptotic confidence sequences, 2021,
// theorem 2.2): intervals that cover the mean at all sample counts together with the
// stated probability. The verdict may therefore be asked for after each sample without a
// correction for repeated looks.
//
// Counts are what routers report, Analyzer makes samples of them, sequence.go has the
// intervals, verdict.go the decision, planning.go the number of samples it takes.
package canary
