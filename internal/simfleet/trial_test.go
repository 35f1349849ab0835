package simfleet

import "testing"

// The trials at a size for CI: bounds of what docs/membership.md tells, with room.
func TestTrials(t *testing.T) {
	p := Plan{Routers: 24, Seed: 1}
	if d := p.Detection(10); d.Missed > 0 || d.ValueAtQuantile(99) > 2_500_000 {
		t.Errorf("deaths known after %d ms, %d missed", d.ValueAtQuantile(99)/1000, d.Missed)
	}
	c := p.Cut(20 * sec)
	if c.Agreed == 0 || c.Agreed > 4*sec || c.Known == 0 || c.During > 3*c.Calm {
		t.Errorf("a cut: %+v", c)
	}
	p.Loss = 0.05
	if h := p.Hold(30 * sec); h.Deaths > 0 || h.SentPerS > 5000 {
		t.Errorf("held: %+v", h)
	}
	b := Plan{Routers: 24, Seed: 1, Beats: true}
	if d := b.Detection(3); d.Missed > 0 || d.ValueAtQuantile(50) < beatAllowed-beatEvery {
		t.Errorf("the baseline: %d ms, %d missed", d.ValueAtQuantile(50)/1000, d.Missed)
	}
}
