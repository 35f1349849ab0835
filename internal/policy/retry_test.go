package policy

import "testing"

// Checks the action that immediately follows each outcome of an attempt, by traffic class.
func TestRetryAfterEachOutcome(t *testing.T) {
	const retry, fail, reject, retryAfterPause = ActionSend, ActionFail, ActionReject, ActionSetTimer
	for _, testCase := range []struct {
		class   string
		outcome Outcome
		want    ActionKind
	}{
		{"read", OutcomeBusy, retry},
		{"read", OutcomeError, retry},
		{"read", OutcomeTimeout, retry},
		{"read", OutcomeConnectionRefused, retry},
		{"read", OutcomeConnectionReset, retry},
		{"read", OutcomeMiss, retry},
		{"read", OutcomeSkipped, retry},
		{"read", OutcomeCancelled, retry},
		{"keyed", OutcomeBusy, retryAfterPause},
		{"keyed", OutcomeError, retryAfterPause},
		{"keyed", OutcomeTimeout, retryAfterPause},
		{"keyed", OutcomeConnectionRefused, retryAfterPause},
		{"keyed", OutcomeConnectionReset, retryAfterPause},
		{"keyed", OutcomeSkipped, retryAfterPause},
		{"zoned", OutcomeBusy, retry},
		{"zoned", OutcomeConnectionReset, retry},
		{"once", OutcomeBusy, retryAfterPause},
		{"once", OutcomeConnectionRefused, retryAfterPause},
		{"once", OutcomeMiss, retryAfterPause},
		{"once", OutcomeSkipped, retryAfterPause},
		{"once", OutcomeError, fail},
		{"once", OutcomeTimeout, fail},
		{"once", OutcomeConnectionReset, fail},
		{"once", OutcomeCancelled, fail},
	} {
		t.Run(testCase.class+" "+testCase.outcome.String(), func(t *testing.T) {
			r := newRouter(nil)
			sent := onlyAction(t, r.Handle(begin, newRequest(testCase.class), nil), ActionSend)
			actions := r.Handle(begin+100*millisecond, attemptEnded(sent.Endpoint, testCase.outcome), nil)
			if testCase.want == retryAfterPause {
				noAction(t, actions, retry, fail, reject)
				if r.requests["t"].retryAt == 0 {
					t.Fatal("no retry is scheduled")
				}
				return
			}
			onlyAction(t, actions, testCase.want)
		})
	}
}

func TestKeyedRetryStaysInsideItsDedupWindow(t *testing.T) {
	r := newRouter(nil)
	sent := onlyAction(t, r.Handle(begin, newRequest("keyed"), nil), ActionSend)
	r.Handle(begin+1990*millisecond, attemptEnded(sent.Endpoint, OutcomeTimeout), nil)
	actions := r.Handle(begin+2060*millisecond, Event{Kind: EventTimer, Token: 1}, nil)
	noAction(t, actions, ActionSend)
	onlyAction(t, actions, ActionReject)
}

func TestKeyedZoneIsNeverRejectedOnceMaybeExecuted(t *testing.T) {
	r := newRouter(nil)
	r.endpoints[cacheA].active = false
	sent := onlyAction(t, r.Handle(begin, newRequest("zoned"), nil), ActionSend)
	r.endpoints[cacheB].active = false
	onlyAction(t, r.Handle(begin+second, attemptEnded(sent.Endpoint, OutcomeError), nil), ActionFail)
}

func TestReadIsRetriedWhileFewFillsFail(t *testing.T) {
	for failed, want := range map[int]ActionKind{minSamples/4 - 2: ActionSend, minSamples/4 - 1: ActionReject} {
		r := newRouter(nil)
		for i := range minSamples - 1 {
			r.fillAttemptSamples = append(r.fillAttemptSamples, sample{begin, i < failed})
		}
		sent := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend)
		end := attemptEnded(sent.Endpoint, OutcomeBusy)
		onlyAction(t, r.Handle(begin+millisecond, end, nil), want)
	}
}

// Guards against a retry whose pause ends after the request's deadline.
func TestWriteRetryEndsBeforeTheDeadline(t *testing.T) {
	r := newRouter(nil)
	sent := onlyAction(t, r.Handle(begin, newRequest("once"), nil), ActionSend)
	actions := r.Handle(begin+3*second-100*millisecond, attemptEnded(sent.Endpoint, OutcomeBusy), nil)
	onlyAction(t, actions, ActionReject)
}

// Guards against a retry in a cell where the idempotency key is unknown. An attempt that was never executed does not
// determine the cell, even if it was sent at the same time as the first executed one.
func TestKeyedRetryStaysInTheCellOfTheFirstExecutedAttempt(t *testing.T) {
	r := New(testSettingsWithCells(), 1)
	list := testEndpoints()
	list[0].Cell, list[1].Cell = 1, 2
	r.Handle(begin, Event{Kind: EventEndpoints, Scope: ScopeSnapshot, Endpoints: list}, nil)
	skipped := onlyAction(t, r.Handle(begin, newRequest("zoned"), nil), ActionSend)
	executed := onlyAction(t, r.Handle(begin, attemptEnded(skipped.Endpoint, OutcomeSkipped), nil), ActionSend)
	if executed.Endpoint == skipped.Endpoint {
		t.Fatal("both attempts go to the same cache")
	}
	end := attemptEnded(executed.Endpoint, OutcomeTimeout)
	end.Attempt = 1
	for _, a := range r.Handle(begin+100*millisecond, end, nil) {
		if a.Kind == ActionSend && a.Endpoint != executed.Endpoint {
			t.Errorf("sent to %s after an attempt at %s that may have been executed", a.Endpoint, executed.Endpoint)
		}
	}
}

// testSettingsWithCells returns settings in which the endpoints of a cell share their idempotency keys.
func testSettingsWithCells() Settings {
	settings := testSettings()
	settings.Classes[2].DedupGroup = DedupGroupCell
	return settings
}

// Guards against a read that is rejected while its last permitted attempt is in flight: a hedge beyond that number ended
// the request before the attempt did.
func TestReadWithoutAnAttemptLeftWaitsForTheOneInFlight(t *testing.T) {
	r := newRouter(nil)
	sent := onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend)
	now := begin
	for i := range maxReadAttempts - 1 {
		now += millisecond
		end := attemptEnded(sent.Endpoint, OutcomeError)
		end.Attempt = i
		sent = onlyAction(t, r.Handle(now, end, nil), ActionSend)
	}
	r.now = now + millisecond
	r.endpoints[sent.Endpoint].health = suspect
	r.observe(r.endpoints[sent.Endpoint], signalFailed)
	noAction(t, r.Handle(now+second/2, Event{Kind: EventTimer, Token: 1}, nil), ActionReject, ActionFail)
}

// Guards against limits that are reduced by attempts that were never sent: their ends do not show the endpoint's
// capacity.
func TestSkippedAttemptsLeaveTheLimitAlone(t *testing.T) {
	r := newRouter(nil)
	for _, id := range []string{cacheA, cacheB} {
		r.endpoints[id].limiters[attemptFill].limit = 150
	}
	for i := range int64(40) {
		at := begin + i*100*millisecond
		sent := onlyAction(t, r.Handle(at, newRequest("read"), nil), ActionSend)
		r.Handle(at, attemptEnded(sent.Endpoint, OutcomeSkipped), nil)
		r.Handle(at, Event{Kind: EventRequestClosed, Request: "t"}, nil)
	}
	for _, id := range []string{cacheA, cacheB} {
		if limit := r.endpoints[id].limiters[attemptFill].limit; limit < 150 {
			t.Errorf("%s: limit reduced to %v", id, limit)
		}
	}
}
