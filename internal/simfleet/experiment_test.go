package simfleet

import "testing"

// With a small fleet, the results of the experiments stay within the bounds that docs/membership.md gives, with a
// margin.
func TestExperimentsStayInBounds(t *testing.T) {
	experiment := Experiment{Routers: 24, Seed: 1}
	detection := experiment.Detection(10)
	if detection.Missed > 0 || detection.ValueAtQuantile(99) > 2_500_000 {
		t.Errorf("kills detected after %d ms at the 99th percentile, %d not detected",
			detection.ValueAtQuantile(99)/millisecond, detection.Missed)
	}
	partition := experiment.Partition(20 * second)
	if partition.ConvergedAfter == 0 || partition.ConvergedAfter > 4*second || partition.DetectedAfter == 0 ||
		partition.RecoveryBytesPerSecond > 3*partition.BaselineBytesPerSecond {
		t.Errorf("partition into halves: %+v", partition)
	}
	experiment.Loss = 0.05
	if stability := experiment.Stability(30 * second); stability.Deaths > 0 || stability.SentBytesPerSecond > 5000 {
		t.Errorf("stability with pauses, throttling and loss: %+v", stability)
	}
	baseline := Experiment{Routers: 24, Seed: 1, Heartbeats: true}
	detection = baseline.Detection(3)
	if detection.Missed > 0 || detection.ValueAtQuantile(50) < heartbeatMaxSilence-heartbeatInterval {
		t.Errorf("baseline: kills detected after %d ms in the median, %d not detected",
			detection.ValueAtQuantile(50)/millisecond, detection.Missed)
	}
}
