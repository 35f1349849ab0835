package engine

import (
	"errors"
	"testing"

	"quilldoor/internal/policy"
)

const millisecond, start = int64(1000), int64(1_000_000_000)

// testEngine has two caches and an origin, and counts calls of wake.
type testEngine struct {
	*Engine
	wakes int
}

func newTestEngine(change func(*policy.Settings)) *testEngine {
	set := policy.Settings{
		Routers: 1, Zone: "z", Zones: []string{"z"}, EndpointKinds: []string{"box", "origin"},
		Contract: policy.Contract{
			AnswerSlack: 8 * millisecond, SlowStartFor: 1000 * millisecond, SlowStartFrom: 0.5, OverloadWindow: 1000 * millisecond, OverloadMultiple: 2,
		},
		Limits:    policy.Limits{Cancel: true, Hedging: true, MaxAttempts: 6},
		Hierarchy: policy.Hierarchy{CacheBypass: true, ParentKind: -1, OriginKind: 1, PurgeSettleTime: 6000 * millisecond},
		Classes: []policy.TrafficClass{
			{Name: "read", Effect: policy.EffectIdempotent, LatencyObjective: 200 * millisecond, PriorityWeight: 1},
			{Name: "write", Effect: policy.EffectUnsafe, LatencyObjective: 200 * millisecond, PriorityWeight: 1, Write: true},
		},
	}
	if change != nil {
		change(&set)
	}
	e := &testEngine{Engine: New(&set, 1, func() {})}
	e.UpdateEndpoints(start, policy.ScopeInitial, []Endpoint{
		{Endpoint: policy.Endpoint{ID: "a", Zone: "z", Kind: "box", State: policy.EndpointActive, Weight: 8}, Address: "a:1"},
		{Endpoint: policy.Endpoint{ID: "b", Zone: "z", Kind: "box", State: policy.EndpointActive, Weight: 8}, Address: "b:1"},
		{Endpoint: policy.Endpoint{ID: "o", Zone: "z", Kind: "origin", State: policy.EndpointActive, Weight: 1}, Address: "o:1"},
	})
	return e
}

func (e *testEngine) open(t *testing.T, class string) *Request {
	t.Helper()
	request, err := e.Open(start, policy.Event{
		Request: "t", Class: class, Object: "x", Remaining: 1000 * millisecond,
		Write: class == "write",
	}, func() { e.wakes++ })
	if err != nil {
		t.Fatal(err)
	}
	return request
}

// openAttempt opens a request and takes its first attempt.
func (e *testEngine) openAttempt(t *testing.T, class string) (*Request, *Attempt) {
	t.Helper()
	request := e.open(t, class)
	return request, next(t, request, CommandSend).Attempt
}

// next returns the one command in the command queue, and fails the test if it is of
// another kind.
func next(t *testing.T, request *Request, kind CommandKind) Command {
	t.Helper()
	commands := request.TakeCommands()
	if len(commands) != 1 || commands[0].Kind != kind {
		t.Fatalf("commands %+v, want one of kind %s", commands, kind)
	}
	return commands[0]
}

type countedResponse struct{ released int }

func (r *countedResponse) Release() { r.released++ }

func TestFirstResponseAnswersAndALaterOneIsReleased(t *testing.T) {
	e := newTestEngine(nil)
	request, attempt := e.openAttempt(t, "read")
	if e.wakes == 0 || attempt.Source != "o" || attempt.Deadline != start+400*millisecond && attempt.Deadline != start+1000*millisecond {
		t.Fatalf("attempt %+v after %d wakes", attempt, e.wakes)
	}
	first, second := &countedResponse{}, &countedResponse{}
	e.AttemptEnded(start+millisecond, attempt, Result{Outcome: policy.OutcomeDone, Response: first})
	e.AttemptEnded(start+2*millisecond, attempt, Result{Outcome: policy.OutcomeDone, Response: second})
	o := next(t, request, CommandRespond)
	if o.Response != Response(first) || first.released != 0 || second.released != 1 {
		t.Fatalf("answer %+v, released %d and %d", o, first.released, second.released)
	}
	// Timers once kept ended requests in memory for seconds; the policy's own stays.
	if n, _ := e.Count(); n != 0 || len(e.requests) != 0 || len(e.timers) != 1 {
		t.Fatalf("%d requests open, %d remembered, %d timers", n, len(e.requests), len(e.timers))
	}
}

// A client that had left was once answered, and its attempt went on.
func TestClientGoneDropsTheAttemptAndNeedsNoAnswer(t *testing.T) {
	e := newTestEngine(nil)
	request, attempt := e.openAttempt(t, "read")
	attempt.Begin()
	e.ClientGone(start+millisecond, request)
	if o := next(t, request, CommandDrop); o.Attempt != attempt {
		t.Fatalf("dropped %+v", o.Attempt)
	}
	late := &countedResponse{}
	e.AttemptEnded(start+2*millisecond, attempt, Result{Outcome: policy.OutcomeDone, Response: late})
	if commands := request.TakeCommands(); len(commands) != 0 || late.released != 1 {
		t.Fatalf("commands %+v, released %d", commands, late.released)
	}
}

func TestDeadlineBringsOneAnswer(t *testing.T) {
	e := newTestEngine(nil)
	request, attempt := e.openAttempt(t, "write")
	attempt.Begin()
	if e.Run(start + 1000*millisecond - 1); len(request.TakeCommands()) != 0 {
		t.Fatal("something happened before the time limit")
	}
	e.Run(start + 1000*millisecond)
	commands := request.TakeCommands()
	if len(commands) != 2 || commands[0].Kind != CommandDrop || !commands[0].Silent || commands[1].Kind != CommandFail {
		t.Fatalf("commands %+v, want a silent drop and a failure", commands)
	}
	if e.Run(start + 1100*millisecond); len(request.TakeCommands()) != 0 {
		t.Fatal("answered again")
	}
}

// An unsafe request whose attempt never reached a connection may be retried; one
// that may have been received fails.
func TestUnsafeRequestIsRejectedOnlyIfItNeverRan(t *testing.T) {
	for begun, want := range map[bool]CommandKind{false: CommandReject, true: CommandFail} {
		e := newTestEngine(nil)
		request, attempt := e.openAttempt(t, "write")
		if begun && !attempt.Begin() {
			t.Fatal("not begun")
		}
		outcome := policy.OutcomeConnectionReset
		if attempt.Withdraw() {
			outcome = policy.OutcomeConnectionRefused
		}
		if attempt.Begin() {
			t.Fatal("written after it was withdrawn or begun")
		}
		e.AttemptEnded(start+950*millisecond, attempt, Result{Outcome: outcome})
		next(t, request, want)
	}
}

func TestDrainingEndpointGetsNoAttempt(t *testing.T) {
	e := newTestEngine(nil)
	var list []Endpoint
	for _, id := range []string{"a", "b"} {
		list = append(list, Endpoint{Endpoint: policy.Endpoint{ID: id, Zone: "z", Kind: "box", State: policy.EndpointDraining, Weight: 8}})
	}
	if retired := e.UpdateEndpoints(start, policy.ScopeDiff, list); len(retired) != 2 {
		t.Fatalf("retired %v", retired)
	}
	if _, attempt := e.openAttempt(t, "read"); attempt.Endpoint.ID != "o" || attempt.Source != "" {
		t.Fatalf("sent to %s with source %q", attempt.Endpoint.ID, attempt.Source)
	}
	if retired := e.UpdateEndpoints(start, policy.ScopeSnapshot, nil); len(retired) != 3 {
		t.Fatalf("a whole list without them retired %v", retired)
	}
}

// Attempts that waited for a connection to an endpoint's old address once had no
// outcome until their deadline.
func TestChangedAddressRetiresTheOldOne(t *testing.T) {
	e := newTestEngine(nil)
	moved := Endpoint{Endpoint: e.endpoints["a"].Endpoint, Address: "a:2"}
	if retired := e.UpdateEndpoints(start, policy.ScopeDiff, []Endpoint{moved}); len(retired) != 1 || retired[0].Address != "a:1" {
		t.Fatalf("retired %v", retired)
	}
	if retired := e.UpdateEndpoints(start, policy.ScopeDiff, []Endpoint{moved}); len(retired) != 0 {
		t.Fatalf("retired %v though nothing changed", retired)
	}
}

func TestOpenRequestsAreBounded(t *testing.T) {
	e := newTestEngine(func(s *policy.Settings) { s.Limits.MaxOpenRequests = 2 })
	e.open(t, "read")
	if _, err := e.Open(start, policy.Event{Request: "t", Class: "read"}, nil); !errors.Is(err, ErrDuplicate) {
		t.Fatalf("the same id again: %v", err)
	}
	other := policy.Event{Request: "u", Class: "read", Object: "x", Remaining: millisecond}
	if _, err := e.Open(start, other, func() {}); err != nil {
		t.Fatal(err)
	}
	if _, err := e.Open(start, policy.Event{Request: "v", Class: "read"}, nil); !errors.Is(err, ErrFull) {
		t.Fatalf("one too many: %v", err)
	}
}

// Commands that came once nobody read the command queue were once lost.
func TestCommandsAfterDetachAreBackground(t *testing.T) {
	e := newTestEngine(func(s *policy.Settings) { s.Limits.Cancel = false })
	request, attempt := e.openAttempt(t, "read")
	attempt.Begin()
	e.ClientGone(start+millisecond, request)
	request.Detach()
	_, background := e.Run(start + 1000*millisecond)
	if len(background) != 1 || background[0].Kind != CommandDrop || background[0].Attempt != attempt {
		t.Fatalf("background commands %+v", background)
	}
}

func TestOldPurgesAreIgnored(t *testing.T) {
	e := newTestEngine(nil)
	e.Purge(start, "x", 0, start-7000*millisecond)
	if _, attempt := e.openAttempt(t, "read"); attempt.MaxAge != 0 {
		t.Fatalf("age %d by a purge that has no effect any more", attempt.MaxAge)
	}
	e = newTestEngine(nil)
	e.Purge(start, "", 0, start-500*millisecond)
	if _, attempt := e.openAttempt(t, "read"); attempt.MaxAge <= 0 || attempt.MaxAge >= 500*millisecond {
		t.Fatalf("age %d by a purge 500 ms ago", attempt.MaxAge)
	}
}

// A response that comes for an attempt after its deadline is not an answer, and
// the timer of an attempt that has ended does nothing.
func TestTimersOfEndedAttemptsAreIgnored(t *testing.T) {
	e := newTestEngine(nil)
	request, attempt := e.openAttempt(t, "read")
	attempt.Begin()
	e.AttemptEnded(start+millisecond, attempt, Result{Outcome: policy.OutcomeMiss})
	retry := next(t, request, CommandSend).Attempt
	if retry.Number != 1 || retry == attempt {
		t.Fatalf("second attempt %+v", retry)
	}
	retry.Begin()
	e.AttemptEnded(start+2*millisecond, retry, Result{Outcome: policy.OutcomeDone, Response: &countedResponse{}})
	next(t, request, CommandRespond)
	if e.Run(start + 2000*millisecond); len(request.TakeCommands()) != 0 {
		t.Fatal("an ended request has commands")
	}
}

// Where a site permits no cancelling, an attempt that waited for its connection was
// once sent for a client that had left or had its answer.
func TestNothingBeginsForAClosedRequestWithoutCancelling(t *testing.T) {
	e := newTestEngine(func(s *policy.Settings) { s.Limits.Cancel = false })
	request, attempt := e.openAttempt(t, "read")
	e.ClientGone(start+millisecond, request)
	if attempt.Begin() {
		t.Error("the attempt begins")
	}
	next(t, request, CommandDrop)
	if open, _ := e.Count(); open != 0 || len(e.requests) != 0 {
		t.Errorf("%d open, %d remembered", open, len(e.requests))
	}
	// One that may be on the wire stays in flight until its end.
	request, attempt = e.openAttempt(t, "read")
	attempt.Begin()
	e.ClientGone(start+millisecond, request)
	if len(request.TakeCommands()) != 0 || len(e.requests) != 1 {
		t.Error("it was given up")
	}
}

// The window of an idempotency key must reach the place where a retry is written.
func TestRetryMayBeSentWithinItsWindowOnly(t *testing.T) {
	e := newTestEngine(func(s *policy.Settings) {
		s.Classes[0] = policy.TrafficClass{
			Name: "read", Effect: policy.EffectIdempotencyKey, DedupWindow: 300 * millisecond, LatencyObjective: 200 * millisecond, PriorityWeight: 1,
		}
	})
	request, first := e.openAttempt(t, "read")
	first.Begin()
	if !first.MayBeSent(start+399*millisecond, 1e6) {
		t.Error("the first attempt has no window")
	}
	e.AttemptEnded(start+100*millisecond, first, Result{Outcome: policy.OutcomeConnectionReset})
	retry := next(t, request, CommandSend).Attempt
	if !retry.MayBeSent(start+299*millisecond, 1e6) || retry.MayBeSent(start+300*millisecond, 1e6) {
		t.Errorf("retry until %d", retry.SendBefore-start)
	}
	if retry.MayBeSent(start+290*millisecond, 100*millisecond) {
		t.Error("an old decision still holds")
	}
}
