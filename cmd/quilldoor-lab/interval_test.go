package main

import (
	"math"
	"testing"
)

// The expected width is t(0.975, 3) = 3.18245 times the standard error of 1, 2, 3 and 4.
func TestPairedDifferenceUsesStudentsT(t *testing.T) {
	mean, halfWidth := pairedDifference([]float64{1, 1, 1, 1}, []float64{2, 3, 4, 5})
	if mean != 2.5 || math.Abs(halfWidth-2.05427) > 1e-4 {
		t.Errorf("%v +- %v", mean, halfWidth)
	}
}
