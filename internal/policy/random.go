package policy

import "math/bits"

// random is a PCG generator (XSH-RR, 64 bits of state).
type random uint64

// float64 draws from [0, 1).
func (r *random) float64() float64 {
	const multiplier, increment = 6364136223846793005, 1442695040888963407
	old := uint64(*r)
	*r = random(old*multiplier + increment)
	word := bits.RotateLeft32(uint32((old>>18^old)>>27), -int(old>>59))
	return float64(word) / (1 << 32)
}
