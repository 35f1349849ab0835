package simfleet

import "testing"

// The experiments at a small size stay within the bounds that docs/membership.md gives, with room.
func TestExperimentsStayInBounds(t *testing.T) {
	experiment := Experiment{Routers: 24, Seed: 1}
	detection := experiment.Detection(10)
	if detection.Missed > 0 || detection.ValueAtQuantile(99) > 2_500_000 {
		t.Errorf("deaths detected after %d ms, %d missed", detection.ValueAtQuantile(99)/millisecond, detection.Missed)
	}
	partition := experiment.Partition(20 * second)
	if partition.ConvergedAfter == 0 || partition.ConvergedAfter > 4*second || partition.DetectedAfter == 0 ||
		partition.RecoveryBytesPerSecond > 3*partition.BaselineBytesPerSecond {
		t.Errorf("a partition: %+v", partition)
	}
	experiment.Loss = 0.05
	if stability := experiment.Stability(30 * second); stability.Deaths > 0 || stability.SentBytesPerSecond > 5000 {
		t.Errorf("pauses and loss: %+v", stability)
	}
	baseline := Experiment{Routers: 24, Seed: 1, Heartbeats: true}
	detection = baseline.Detection(3)
	if detection.Missed > 0 || detection.ValueAtQuantile(50) < heartbeatMaxSilence-heartbeatInterval {
		t.Errorf("the baseline: %d ms, %d missed", detection.ValueAtQuantile(50)/millisecond, detection.Missed)
	}
}
