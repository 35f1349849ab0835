package simulation

import (
	"math"
	"math/rand/v2"
)

// Bounds of the random factor of jitter: from jitterFrom to jitterFrom+jitterSpread.
const (
	jitterFrom   = 0.8
	jitterSpread = 0.4
)

// jitter draws a time in microseconds around a mean.
func (s *Simulation) jitter(mean float64) int64 {
	return int64(mean * (jitterFrom + jitterSpread*s.random.Float64()))
}

// drawShare draws a share of a list, at least one element unless the share is 0. It shuffles the list in place.
func drawShare[T any](random *rand.Rand, list []T, share float64) []T {
	random.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), int(math.Ceil(share*float64(len(list)))))]
}
