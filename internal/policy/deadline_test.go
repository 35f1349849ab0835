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

// Guards against stuck fills that occupy capacity until the client disconnects, with and without a known size.
func TestAttemptTimeoutIsTwiceTheLatencyObjective(t *testing.T) {
	r := newRouter(nil)
	e := newRequest("read")
	if a := onlyAction(t, r.Handle(begin, e, nil), ActionSend); a.Timeout != second {
		t.Fatalf("timeout %d, want twice the latency objective", a.Timeout)
	}
	e.Request, e.SizeKB = "u", 0
	if a := onlyAction(t, r.Handle(begin, e, nil), ActionSend); a.Timeout != second {
		t.Fatalf("timeout %d of an attempt of unknown size, want twice the latency objective", a.Timeout)
	}
	// A write bypasses the caches and occupies none of their capacity.
	e.Request, e.Class = "v", "once"
	if a := onlyAction(t, r.Handle(begin, e, nil), ActionSend); a.Timeout != e.Remaining {
		t.Fatalf("timeout %d of a write, want the time until its deadline", a.Timeout)
	}
}

// Guards against limits that are reduced only once responses miss the latency objective.
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
