package policy

import "testing"

func TestRequestFailsAtItsDeadline(t *testing.T) {
	r := newRouter(nil)
	sent := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend)
	actions := r.Handle(begin+3*second, attemptEnded(sent.Endpoint, OutcomeTimeout), nil)
	onlyAction(t, actions, ActionFail)
	noAction(t, r.Handle(begin+3*second, attemptEnded(sent.Endpoint, OutcomeTimeout), nil),
		ActionFail, ActionReject, ActionSend)
}

// Against stuck fills that take capacity until the client leaves, with and without a size.
func TestAttemptTimeoutIsTwiceTheLatencyObjective(t *testing.T) {
	r := newRouter(nil)
	e := newRequest("read")
	if a := onlyAction(t, r.Handle(begin, e, nil), ActionSend); a.Timeout != second {
		t.Fatalf("time-out %d, want twice the latency objective", a.Timeout)
	}
	e.Request, e.SizeKB = "u", 0
	if a := onlyAction(t, r.Handle(begin, e, nil), ActionSend); a.Timeout != second {
		t.Fatalf("time-out %d of an attempt of unknown size", a.Timeout)
	}
	// Past the caches it takes no capacity of theirs.
	e.Request, e.Class = "v", "once"
	if a := onlyAction(t, r.Handle(begin, e, nil), ActionSend); a.Timeout != e.Remaining {
		t.Fatalf("time-out %d of a write", a.Timeout)
	}
}

// Against limits that come down only once responses miss the objective.
func TestAttemptIsOverdueBeforeItsLatencyObjective(t *testing.T) {
	for share, want := range map[int64]bool{79: false, 81: true} {
		r := newRouter(nil)
		sent := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend)
		objective := r.requests["t"].latencyObjective
		end := attemptEnded(sent.Endpoint, OutcomeDone)
		end.Final = true
		r.Handle(begin+objective*share/100, end, nil)
		if got := r.endpoints[sent.Endpoint].limiters[attemptFill].samples[0].bad; got != want {
			t.Fatalf("late %v after %d%% of the latency objective", got, share)
		}
	}
}
