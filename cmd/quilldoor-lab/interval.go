package main

import (
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// upperQuantile is the upper quantile of a two-sided 95 % interval.
const upperQuantile = 0.975

// pairedDifference returns the mean of the pairwise differences other[i] - base[i], and half the
// width of the mean's 95 % confidence interval by Student's t distribution.
func pairedDifference(base, other []float64) (mean, halfWidth float64) {
	n := len(base)
	differences := make([]float64, n)
	for i := range differences {
		differences[i] = other[i] - base[i]
	}
	mean, deviation := stat.MeanStdDev(differences, nil)
	student := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(max(n-1, 1))}
	return mean, student.Quantile(upperQuantile) * deviation / math.Sqrt(float64(n))
}
