package engine

import (
	"testing"

	"quilldoor/internal/policy"
)

const second = 1000 * millisecond

// Guards against the age of a purge that is off by a step of the system's clock, to which its time refers: copies from
// before the purge would be asked for, or it would be ignored as one that has reached all caches.
func TestClockStepDoesNotMoveTheAgeOfAPurge(t *testing.T) {
	for _, step := range []int64{0, 400 * millisecond, 20 * second, -20 * second} {
		e := newTestEngine(nil)
		e.SetClockStep(step)
		e.Purge(start, "x", 0, start+step-100*millisecond)
		_, attempt := e.openAttempt(t, "read")
		if attempt.MaxAge <= 0 || attempt.MaxAge >= 100*millisecond {
			t.Errorf("100 ms after a purge, with the clock stepped by %d us: the greatest age is %d us", step, attempt.MaxAge)
		}
	}
}

// Guards against a copy from before a purge that is passed on because the system's clock was stepped after the purge was
// received, while the times of the purge and of the copy refer to it as it was.
func TestPurgedCopyIsRejectedAcrossAClockStep(t *testing.T) {
	e := newTestEngine(nil)
	e.Purge(start, "x", 0, start)
	request, attempt := e.openAttempt(t, "read")
	attempt.Begin()
	e.SetClockStep(-20 * second)
	stale := &countedResponse{}
	e.AttemptEnded(start+10*millisecond, attempt, Result{Outcome: policy.OutcomeDone, Response: stale, IssuedAt: start - 1})
	if command := onlyCommand(t, request, CommandSend); command.Attempt == attempt || stale.released != 1 {
		t.Errorf("command %+v; the purged copy was released %d times, want 1", command, stale.released)
	}
	if rejected := e.PurgedCopies(); rejected != 1 {
		t.Errorf("%d purged copies counted, want 1", rejected)
	}
}

// Guards against an endpoint that counts as restarted, or as started at another time, because the system's clock was
// stepped.
func TestClockStepDoesNotRestartEndpoints(t *testing.T) {
	e := newTestEngine(nil)
	cold := Endpoint{Endpoint: policy.Endpoint{
		ID: "cold", Zone: "z", Kind: "box", State: policy.EndpointActive, Weight: 8, StartedAt: start - 100*millisecond,
	}, Address: "c:1"}
	startTimeAfter := func(step int64) int64 {
		e.SetClockStep(step)
		e.UpdateEndpoints(start, policy.ScopeDiff, []Endpoint{cold})
		return e.startTimes["cold"].local
	}
	first := startTimeAfter(0)
	if first != cold.StartedAt {
		t.Errorf("without a step the endpoint started at %d us, want %d", first, cold.StartedAt)
	}
	if again := startTimeAfter(20 * second); again != first {
		t.Errorf("listed again after a step: it started at %d us, want %d", again, first)
	}
	cold.StartedAt = start + 20*second - 50*millisecond
	if restarted := startTimeAfter(20 * second); restarted != start-50*millisecond {
		t.Errorf("restarted after the step: it started at %d us, want %d", restarted, start-50*millisecond)
	}
}
