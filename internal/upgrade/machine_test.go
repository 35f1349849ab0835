package upgrade

import (
	"testing"
)

// Guards against a settled generation that crashes in a loop and is restarted without a
// backoff or with an unbounded one, against a backoff that is not reset after a long
// service, and against a trial that times out while the supervisor itself is paused.
func TestCrashLoopBacksOff(t *testing.T) {
	m := NewMachine(modelTimeouts, 1)
	now := int64(1)
	var delays []int64
	for range 12 {
		crashedAt := now
		for m.State == StateDown {
			now = m.DueMicros()
			m.Tick(now)
		}
		delays = append(delays, now-crashedAt)
		m.Handle(now, InputOldReady)
		m.Handle(now, InputOldServes)
		if m.State != StateSteady {
			t.Fatalf("state after a restart: %v", m.State)
		}
		m.Handle(now, InputOldEnded)
	}
	if delays[0] != 0 || delays[1] != 0 || delays[2] != restartBackoffMin || delays[11] != restartBackoffMax {
		t.Errorf("restart delays in us: %v", delays)
	}
	for m.State == StateDown {
		now = m.DueMicros()
		m.Tick(now)
	}
	m.Handle(now, InputOldServes)
	now += backoffResetAfter
	m.Handle(now, InputOldEnded)
	if m.DueMicros() != now {
		t.Errorf("restart after a long service is delayed by %d us", m.DueMicros()-now)
	}
	// A pause of the supervisor extends the trial.
	adopted := NewAdoptedMachine(modelTimeouts, 1, true)
	adopted.Paused(10 * second)
	if adopted.Tick(1+modelTimeouts.TrialMicros) != nil || adopted.State != StateOnTrial {
		t.Errorf("state at the end of the trial without the pause: %v", adopted.State)
	}
}
