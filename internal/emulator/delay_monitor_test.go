package emulator

import (
	"testing"
	"time"
)

// Guards against delays of the machine being charged to routers: a run in which the emulator itself was late for as
// long as answers may be late must not be judged.
func TestDelayOfTheEmulatorCountsAgainstItsRun(t *testing.T) {
	const answerSlack = 58 * time.Millisecond
	if allowed := time.Duration(MaxDelayMicros) * time.Microsecond; allowed > answerSlack {
		t.Errorf("a run is judged with the emulator %v late; answers may be %v late", allowed, answerSlack)
	}
	var monitor delayMonitor
	for _, delay := range []time.Duration{time.Millisecond, 70 * time.Millisecond, 3 * time.Millisecond} {
		monitor.observe(delay)
	}
	if got := monitor.longestMicros.Load(); got != 70_000 {
		t.Errorf("the longest delay is %d us, want 70000", got)
	}
}
