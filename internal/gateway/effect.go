package gateway

import (
	"quilldoor/internal/gateway/peerpolicy"
	"quilldoor/internal/policy"
)

// peerEffects is defined in this package because peerpolicy does not import the request
// policy.
var peerEffects = map[policy.Effect]peerpolicy.Effect{
	policy.EffectIdempotent:     peerpolicy.EffectIdempotent,
	policy.EffectIdempotencyKey: peerpolicy.EffectIdempotencyKey,
	policy.EffectUnsafe:         peerpolicy.EffectUnsafe,
}

// PeerEffect converts the effect of a traffic class to that of peerpolicy, which decides
// about forwarding between sites.
func PeerEffect(effect policy.Effect) peerpolicy.Effect { return peerEffects[effect] }
