// Package clock gives the time of a router's decisions. It starts as the system's time
// and advances with the machine's monotonic clock, so that a step of the system's clock
// moves no deadline and no age. Times are Unix microseconds.
package clock

import "time"

// start is when the process began, with a reading of the monotonic clock.
var start = time.Now()

// minStep is the least difference between the two clocks that counts as a step.
const minStep = 10 * time.Millisecond

// Now returns the time of decisions.
func Now() int64 { return At(time.Now()) }

// At returns the time of decisions at t, which must have a reading of the monotonic clock.
func At(t time.Time) int64 { return start.UnixMicro() + t.Sub(start).Microseconds() }

// System returns the system's time, which times from other machines refer to.
func System() int64 { return time.Now().UnixMicro() }

// Step returns how many microseconds the system's clock has been stepped forward since the
// process began, negative if back; 0 if it has not been stepped.
func Step() int64 {
	now := time.Now()
	return stepOf(now.UnixMicro(), At(now))
}

func stepOf(system, decisions int64) int64 {
	step := system - decisions
	if max(step, -step) < minStep.Microseconds() {
		return 0
	}
	return step
}
