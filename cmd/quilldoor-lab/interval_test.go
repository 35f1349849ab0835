package main

import (
	"math"
	"testing"
)

// The differences are 1, 2, 3 and 4. The expected half width is t(0.975, 3) = 3.18245 times the
// standard error of their mean.
func TestPairedDifferenceUsesStudentsT(t *testing.T) {
	mean, halfWidth := pairedDifference([]float64{1, 1, 1, 1}, []float64{2, 3, 4, 5})
	if mean != 2.5 || math.Abs(halfWidth-2.05427) > 1e-4 {
		t.Errorf("mean difference and half width are %v +- %v; want 2.5 +- 2.05427", mean, halfWidth)
	}
}
