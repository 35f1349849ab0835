package emulator

import (
	"testing"
	"time"
)

// Guards against violations that the machine's delays cause being counted against routers: the
// results of a run must not be checked if the emulator itself was delayed for longer than answers
// may be late.
func TestDelayOfTheEmulatorCountsAgainstItsRun(t *testing.T) {
	const answerSlack = 58 * time.Millisecond
	if allowed := time.Duration(MaxDelayMicros) * time.Microsecond; allowed > answerSlack {
		t.Errorf("the emulator may be delayed by %v, want at most the slack of answers, %v", allowed, answerSlack)
	}
	var monitor delayMonitor
	for _, delay := range []time.Duration{time.Millisecond, 70 * time.Millisecond, 3 * time.Millisecond} {
		monitor.observe(delay)
	}
	if got := monitor.longestMicros.Load(); got != 70_000 {
		t.Errorf("longest delay: %d us, want 70000", got)
	}
}
