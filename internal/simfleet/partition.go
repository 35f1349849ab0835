package simfleet

// PartitionResult is the result of a partition of the routers into halves. Durations are microseconds.
type PartitionResult struct {
	ConvergedAfter         int64   // from the end of the partition until all routers agree; 0: not within the timeout
	DetectedAfter          int64   // until each side considers all of the other dead; 0: not during the partition
	BaselineBytesPerSecond float64 // sent by a router in the five seconds before the partition
	RecoveryBytesPerSecond float64 // sent by a router from its end until all agree, over at least three seconds
}

// Partition partitions the routers into halves, heals the partition after a number of microseconds, and measures
// detection, recovery and traffic.
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
	if elapsed, converged := f.runUntilConverged(recoveryTimeout); converged {
		result.ConvergedAfter = elapsed
	}
	f.RunUntil(max(healedAt+minRecoveryTime, f.Now))
	result.RecoveryBytesPerSecond = f.sentBytesPerSecond(sentBefore, f.Now-healedAt)
	return result
}

// partition partitions two sets of routers for a number of microseconds. It returns the time until each side considers
// all of the other dead; 0: not during the partition.
func (f *Fleet) partition(left, right []int, length int64) (detectedAfter int64) {
	cutAt := f.Now
	heal := f.Network.Partition(left, right)
	for f.Now < cutAt+length {
		f.RunUntil(f.Now + stepInterval)
		if detectedAfter == 0 && f.allConsiderDead(left, right) && f.allConsiderDead(right, left) {
			detectedAfter = f.Now - cutAt
		}
	}
	heal()
	return detectedAfter
}

// sentBytesPerSecond is the mean rate at which a router has sent in a period that ends now. sentBefore is the number of
// bytes that all routers had sent before the period.
func (f *Fleet) sentBytesPerSecond(sentBefore, time int64) float64 {
	sent, _ := f.totalBytes()
	return float64(sent-sentBefore) * second / float64(time) / float64(len(f.Hosts))
}
