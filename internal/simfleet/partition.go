package simfleet

// PartitionResult is what a partition into halves and its end have brought. Durations are microseconds.
type PartitionResult struct {
	ConvergedAfter         int64   // from the end of the partition; 0: not in time
	DetectedAfter          int64   // until each side holds all of the other dead; 0: not while it lasted
	BaselineBytesPerSecond float64 // sent by a router in five seconds before the partition
	RecoveryBytesPerSecond float64 // sent by a router from its end until all agree, three seconds at least
}

// Partition cuts the routers into halves for a time, and heals the partition. The length is in microseconds.
func (e Experiment) Partition(length int64) (result PartitionResult) {
	const (
		settleTime      = 10 * second
		baselineTime    = 5 * second
		minRecoveryTime = 3 * second
	)
	f := e.newConvergedFleet()
	f.RunUntil(f.Now + settleTime)
	sentBefore, _ := f.totalBytes()
	f.RunUntil(f.Now + baselineTime)
	result.BaselineBytesPerSecond = f.sentBytesPerSecond(sentBefore, baselineTime)
	left, right := e.halves()
	result.DetectedAfter = f.partition(left, right, length)
	healedAt := f.Now
	sentBefore, _ = f.totalBytes()
	if took, converged := f.runUntilConverged(recoveryTimeout); converged {
		result.ConvergedAfter = took
	}
	f.RunUntil(max(healedAt+minRecoveryTime, f.Now))
	result.RecoveryBytesPerSecond = f.sentBytesPerSecond(sentBefore, f.Now-healedAt)
	return result
}

// partition cuts two sets of routers off from each other for a time. It returns the time until each side holds all of
// the other dead; 0: not while the partition lasted.
func (f *Fleet) partition(left, right []int, length int64) (detectedAfter int64) {
	cutAt := f.Now
	heal := f.Network.Partition(left, right)
	for f.Now < cutAt+length {
		f.RunUntil(f.Now + stepInterval)
		if detectedAfter == 0 && f.allHoldDead(left, right) && f.allHoldDead(right, left) {
			detectedAfter = f.Now - cutAt
		}
	}
	heal()
	return detectedAfter
}

// sentBytesPerSecond is the mean rate at which a router has sent in a time, from the total before it.
func (f *Fleet) sentBytesPerSecond(sentBefore, time int64) float64 {
	sent, _ := f.totalBytes()
	return float64(sent-sentBefore) * second / float64(time) / float64(len(f.Hosts))
}
