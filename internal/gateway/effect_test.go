package gateway

import (
	"testing"

	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/policy"
)

// An effect that is missing in peerEffects would be converted to EffectIdempotent, and its
// requests could be executed twice.
func TestPeerEffectCoversEachEffect(t *testing.T) {
	for _, c := range []struct {
		effect policy.Effect
		want   peerpolicy.Effect
	}{
		{policy.EffectIdempotent, peerpolicy.EffectIdempotent},
		{policy.EffectIdempotencyKey, peerpolicy.EffectIdempotencyKey},
		{policy.EffectUnsafe, peerpolicy.EffectUnsafe},
	} {
		if got := PeerEffect(c.effect); got != c.want {
			t.Errorf("effect %d is converted to %d, want %d", c.effect, got, c.want)
		}
	}
}
