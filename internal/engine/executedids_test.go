package engine

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"quilldoor/internal/policy"
)

// Guards against a second execution under an id that may have been executed, and against refusing
// one whose attempts are all proven not to have been executed.
func TestIDThatMayHaveBeenExecutedIsNotOpenedAgain(t *testing.T) {
	for name, test := range map[string]struct {
		end  func(e *testEngine, request *Request, attempt *Attempt)
		want error
	}{
		"client left": {func(e *testEngine, request *Request, attempt *Attempt) {
			attempt.Begin()
			e.ClientDisconnected(start+millisecond, request)
		}, ErrExecuted},
		"client left before the attempt began": {func(e *testEngine, request *Request, _ *Attempt) {
			e.ClientDisconnected(start+millisecond, request)
		}, nil},
		"answered": {func(e *testEngine, _ *Request, attempt *Attempt) {
			attempt.Begin()
			e.AttemptEnded(start+millisecond, attempt, Result{Outcome: policy.OutcomeDone, Response: &countedResponse{}})
		}, ErrExecuted},
		"connection reset": {func(e *testEngine, _ *Request, attempt *Attempt) {
			attempt.Begin()
			e.AttemptEnded(start+millisecond, attempt, Result{Outcome: policy.OutcomeConnectionReset})
		}, ErrExecuted},
		"still open": {func(*testEngine, *Request, *Attempt) {}, ErrExecuted},
	} {
		e := newTestEngine(nil)
		request, attempt := e.openAttempt(t, "write")
		test.end(e, request, attempt)
		_, err := e.Open(start+2*millisecond, policy.Event{
			Request: "t", Class: "write", Object: "x", Remaining: 1000 * millisecond, Write: true,
		}, func() {})
		if !errors.Is(err, test.want) {
			t.Errorf("%s: error %v, want %v", name, err, test.want)
		}
	}
}

// Guards against memory that grows with each write, and against forgetting a later id for an
// earlier one.
func TestExecutedIDsAreBounded(t *testing.T) {
	const more = 100
	ids := newExecutedIDs()
	ids.add(0)
	ids.remove(fmt.Sprint(0))
	ids.add(0) // again, as the latest
	for number := uint64(1); number < maxExecutedIDs+more; number++ {
		ids.add(number)
	}
	known := ids.all()
	if len(known) != maxExecutedIDs || len(ids.known) != len(known) || !slices.IsSorted(known) {
		t.Fatalf("%d ids known, %d of them in order", len(ids.known), len(known))
	}
	if known[0] != more || ids.forgotten != more {
		t.Errorf("the oldest is %d, %d are forgotten, want %d", known[0], ids.forgotten, more)
	}
}
