package simfleet

import "testing"

// The trials at a size for CI: bounds of what docs/membership.md tells, with room.
func TestTrials(t *testing.T) {
	p := Experiment{Routers: 24, Seed: 1}
	if d := p.Detection(10); d.Missed > 0 || d.ValueAtQuantile(99) > 2_500_000 {
		t.Errorf("deaths known after %d ms, %d missed", d.ValueAtQuantile(99)/1000, d.Missed)
	}
	c := p.Partition(20 * sec)
	if c.ConvergedAfter == 0 || c.ConvergedAfter > 4*sec || c.DetectedAfter == 0 || c.RecoveryBytesPerSecond > 3*c.BaselineBytesPerSecond {
		t.Errorf("a cut: %+v", c)
	}
	p.Loss = 0.05
	if h := p.Stability(30 * sec); h.Deaths > 0 || h.SentBytesPerSecond > 5000 {
		t.Errorf("held: %+v", h)
	}
	b := Experiment{Routers: 24, Seed: 1, Heartbeats: true}
	if d := b.Detection(3); d.Missed > 0 || d.ValueAtQuantile(50) < beatAllowed-beatEvery {
		t.Errorf("the baseline: %d ms, %d missed", d.ValueAtQuantile(50)/1000, d.Missed)
	}
}
