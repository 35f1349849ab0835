package main

import (
	"fmt"
	"io"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gonum.org/v1/gonum/stat"
)

// upgradeFigures are the results of one run, or of all runs of a case.
type upgradeFigures struct {
	earned     []float64 // share of the offered weight in the window, by run
	latency    *hdrhistogram.Histogram
	refused    int // connections that a router did not accept
	brokenOff  int // connections that ended without a response, and not by the client
	violations int
	recoveryMS []float64 // from a crash until the router served again
	drainedMS  []float64 // from the start until the old generation's process had exited
	peakMB     []float64 // peak memory of the largest router, by run
}

func newUpgradeFigures() *upgradeFigures {
	return &upgradeFigures{latency: newLatencyHistogram()}
}

func newLatencyHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(minLatencyUS, maxLatencyUS, latencyDigits)
}

// add combines the results with those of another run.
func (f *upgradeFigures) add(run *upgradeFigures) {
	f.earned = append(f.earned, run.earned...)
	f.latency.Merge(run.latency)
	f.refused += run.refused
	f.brokenOff += run.brokenOff
	f.violations += run.violations
	f.recoveryMS = append(f.recoveryMS, run.recoveryMS...)
	f.drainedMS = append(f.drainedMS, run.drainedMS...)
	f.peakMB = append(f.peakMB, run.peakMB...)
}

// print writes the results as a line of the table, with the difference in earned weight from the
// baseline runs.
func (f *upgradeFigures) print(to io.Writer, name string, baseline []float64) {
	mean, halfWidth := pairedDifference(baseline, f.earned)
	fmt.Fprintf(to, "%s\t%d\t%.4f\t%+.4f\t%.4f\t", name, len(f.earned), stat.Mean(f.earned, nil), mean, halfWidth)
	p50, p99 := f.latency.ValueAtQuantile(50), f.latency.ValueAtQuantile(99)
	fmt.Fprintf(to, "%.1f\t%.1f\t", float64(p50)/microsPerMilli, float64(p99)/microsPerMilli)
	fmt.Fprintf(to, "%d\t%d\t%d\t", f.refused, f.brokenOff, f.violations)
	fmt.Fprintf(to, "%s\t%s\t%.0f\t\n", formatMax(f.recoveryMS), formatMax(f.drainedMS), stat.Mean(f.peakMB, nil))
}

// formatMax formats the largest number of a list, or "-" if the list is empty.
func formatMax(list []float64) string {
	if len(list) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f", slices.Max(list))
}
