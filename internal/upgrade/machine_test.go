package upgrade

import (
	"testing"
)

// A settled generation that crashes in a loop is restarted with a bounded backoff; one
// that has served for long begins anew.
func TestCrashLoopBacksOff(t *testing.T) {
	m := NewMachine(modelTimeouts, 1)
	now := int64(1)
	var waits []int64
	for range 12 {
		began := now
		for m.State == StateDown {
			now = m.DueMicros()
			m.Tick(now)
		}
		waits = append(waits, now-began)
		m.Handle(now, InputOldReady)
		m.Handle(now, InputOldServes)
		if m.State != StateSteady {
			t.Fatal(m.State)
		}
		m.Handle(now, InputOldGone)
	}
	if waits[0] != 0 || waits[1] != 0 || waits[2] != restartBackoffMin || waits[11] != restartBackoffMax {
		t.Errorf("%v", waits)
	}
	for m.State == StateDown {
		now = m.DueMicros()
		m.Tick(now)
	}
	m.Handle(now, InputOldServes)
	now += backoffResetAfter
	m.Handle(now, InputOldGone)
	if m.DueMicros() != now {
		t.Errorf("it waits %d us", m.DueMicros()-now)
	}
	// A supervisor that did not run does not take it for its processes' silence.
	adopted := NewAdoptedMachine(modelTimeouts, 1, true)
	adopted.Paused(10 * second)
	if adopted.Tick(1+modelTimeouts.TrialMicros) != nil || adopted.State != StateOnTrial {
		t.Error(adopted.State)
	}
}
