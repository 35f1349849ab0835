package clock

import (
	"testing"
	"time"
)

// Guards against a time of decisions that follows the system's clock where the two differ.
func TestTimeOfDecisionsFollowsTheMonotonicClock(t *testing.T) {
	now := time.Now()
	if got, want := At(now.Add(time.Second))-At(now), time.Second.Microseconds(); got != want {
		t.Errorf("a second of the monotonic clock is %d us, want %d", got, want)
	}
	if step := Step(); step != 0 {
		t.Errorf("a step of %d us on a machine whose clock was not stepped", step)
	}
}

// Guards against readings of the two clocks that count as a step because they were taken one after the other.
func TestStepIsTheDifferenceOfTheClocks(t *testing.T) {
	const system = int64(1_700_000_000_000_000)
	for difference, want := range map[int64]int64{
		0: 0, 9_000: 0, -9_000: 0, 400_000: 400_000, -3_000_000: -3_000_000,
	} {
		if got := stepOf(system, system-difference); got != want {
			t.Errorf("clocks that differ by %d us: a step of %d us, want %d", difference, got, want)
		}
	}
}
