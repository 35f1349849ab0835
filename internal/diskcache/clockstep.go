package diskcache

// StepDetector compares the system's wall clock with one that only goes forward.
type StepDetector struct {
	offset    int64 // of the wall clock from the steady one
	checkedAt int64 // steady clock; 0: never
}

// stepToleranceMicros is more than slewing, and reading two clocks one after the other,
// bring about.
const stepToleranceMicros = 50_000

// Stepped tells whether the wall clock has jumped since the last call, by both clocks'
// microseconds. The first call sets the start. A jump is told once.
func (d *StepDetector) Stepped(wall, steady int64) bool {
	offset := wall - steady
	drift := max(offset-d.offset, d.offset-offset)
	stepped := d.checkedAt > 0 && drift > stepToleranceMicros
	if stepped || d.checkedAt == 0 || steady-d.checkedAt > second {
		d.offset, d.checkedAt = offset, max(steady, 1) // slewing moves it slowly
	}
	return stepped
}
