package simfleet

import "testing"

// The experiments at a small size stay within the bounds that docs/membership.md gives, with room.
func TestExperimentsStayInBounds(t *testing.T) {
	p := Experiment{Routers: 24, Seed: 1}
	if d := p.Detection(10); d.Missed > 0 || d.ValueAtQuantile(99) > 2_500_000 {
		t.Errorf("deaths detected after %d ms, %d missed", d.ValueAtQuantile(99)/1000, d.Missed)
	}
	c := p.Partition(20 * second)
	if c.ConvergedAfter == 0 || c.ConvergedAfter > 4*second || c.DetectedAfter == 0 || c.RecoveryBytesPerSecond > 3*c.BaselineBytesPerSecond {
		t.Errorf("a partition: %+v", c)
	}
	p.Loss = 0.05
	if h := p.Stability(30 * second); h.Deaths > 0 || h.SentBytesPerSecond > 5000 {
		t.Errorf("pauses and loss: %+v", h)
	}
	b := Experiment{Routers: 24, Seed: 1, Heartbeats: true}
	if d := b.Detection(3); d.Missed > 0 || d.ValueAtQuantile(50) < heartbeatMaxSilence-heartbeatInterval {
		t.Errorf("the baseline: %d ms, %d missed", d.ValueAtQuantile(50)/1000, d.Missed)
	}
}
