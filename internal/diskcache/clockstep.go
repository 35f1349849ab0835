package diskcache

// StepDetector detects steps of the wall clock by comparing it with a monotonic clock.
type StepDetector struct {
	offset    int64 // of the wall clock from the monotonic one
	checkedAt int64 // when offset was taken, by the monotonic clock; 0: never
}

// stepToleranceMicros is above the drift caused by slewing and by the delay between
// reading the two clocks.
const stepToleranceMicros = 50_000

// Stepped reports whether the wall clock has stepped since the last call, given both
// clocks' microseconds. The first call sets the reference. A step is reported once.
func (d *StepDetector) Stepped(wall, monotonic int64) bool {
	offset := wall - monotonic
	drift := max(offset-d.offset, d.offset-offset)
	stepped := d.checkedAt > 0 && drift > stepToleranceMicros
	if stepped || d.checkedAt == 0 || monotonic-d.checkedAt > second {
		d.offset, d.checkedAt = offset, max(monotonic, 1) // renewed each second, since slewing changes it slowly
	}
	return stepped
}
