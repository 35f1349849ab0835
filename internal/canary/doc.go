// Package canary decides whether routers with a new generation do worse than routers of
// the same zone with the old one. It does no I/O and reads no clock.
//
// The two arms of a zone (an office of the rollout plan) are its routers with the old and
// with the new generation. They are compared over the same time, so that a fault of the
// zone affects both. For each metric the differences of the samples are kept, with an
// asymptotic confidence sequence for their mean (Waudby-Smith, Arbour, Sinha, Kennedy,
// Ramdas: Time-uniform central limit theory and asymptotic confidence sequences, 2021,
// theorem 2.2): intervals that cover the mean at all sample counts together with the
// stated probability. The verdict may therefore be requested after each sample without a
// correction for repeated looks.
//
// Routers report Counts, Analyzer derives samples from them, sequence.go computes the
// intervals, verdict.go the verdict, planning.go the number of samples that it takes.
package canary
