package engine

import (
	"errors"
	"testing"

	"quilldoor/internal/policy"
)

const millisecond, start = int64(1000), int64(1_000_000_000)

// testEngine is an engine with two caches and an origin. It counts the calls of
// notify.
type testEngine struct {
	*Engine
	notifications int
}

func newTestEngine(change func(*policy.Settings)) *testEngine {
	settings := policy.Settings{
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
		change(&settings)
	}
	e := &testEngine{Engine: New(&settings, 1, func() {})}
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
	}, func() { e.notifications++ })
	if err != nil {
		t.Fatal(err)
	}
	return request
}

// openAttempt opens a request and returns it with its first attempt.
func (e *testEngine) openAttempt(t *testing.T, class string) (*Request, *Attempt) {
	t.Helper()
	request := e.open(t, class)
	return request, onlyCommand(t, request, CommandSend).Attempt
}

// onlyCommand returns the only command in the command queue. It fails the test if
// there is not exactly one, or if it is of another kind.
func onlyCommand(t *testing.T, request *Request, kind CommandKind) Command {
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
	if e.notifications == 0 || attempt.Source != "o" || attempt.Deadline != start+400*millisecond && attempt.Deadline != start+1000*millisecond {
		t.Fatalf("attempt %+v after %d notifications", attempt, e.notifications)
	}
	first, second := &countedResponse{}, &countedResponse{}
	e.AttemptEnded(start+millisecond, attempt, Result{Outcome: policy.OutcomeDone, Response: first})
	e.AttemptEnded(start+2*millisecond, attempt, Result{Outcome: policy.OutcomeDone, Response: second})
	command := onlyCommand(t, request, CommandRespond)
	if command.Response != Response(first) || first.released != 0 || second.released != 1 {
		t.Fatalf("command %+v; responses released %d and %d times, want 0 and 1", command, first.released, second.released)
	}
	// A timer that is not removed when its request ends keeps the request in memory
	// for seconds. Only the policy's own timer remains.
	if open, _ := e.Count(); open != 0 || len(e.requests) != 0 || len(e.timers) != 1 {
		t.Fatalf("%d requests open, %d kept, %d timers; want 0, 0 and 1", open, len(e.requests), len(e.timers))
	}
}

// Guards against answering a client that has disconnected, and against letting its
// attempt continue.
func TestClientGoneDropsTheAttemptAndNeedsNoAnswer(t *testing.T) {
	e := newTestEngine(nil)
	request, attempt := e.openAttempt(t, "read")
	attempt.Begin()
	e.ClientDisconnected(start+millisecond, request)
	if command := onlyCommand(t, request, CommandDrop); command.Attempt != attempt {
		t.Fatalf("dropped attempt %+v, want %+v", command.Attempt, attempt)
	}
	late := &countedResponse{}
	e.AttemptEnded(start+2*millisecond, attempt, Result{Outcome: policy.OutcomeDone, Response: late})
	if commands := request.TakeCommands(); len(commands) != 0 || late.released != 1 {
		t.Fatalf("commands %+v, want none; the late response was released %d times, want 1", commands, late.released)
	}
}

func TestDeadlineBringsOneAnswer(t *testing.T) {
	e := newTestEngine(nil)
	request, attempt := e.openAttempt(t, "write")
	attempt.Begin()
	if e.Run(start + 1000*millisecond - 1); len(request.TakeCommands()) != 0 {
		t.Fatal("the request got a command before its deadline")
	}
	e.Run(start + 1000*millisecond)
	commands := request.TakeCommands()
	if len(commands) != 2 || commands[0].Kind != CommandDrop || !commands[0].TimedOut || commands[1].Kind != CommandFail {
		t.Fatalf("commands %+v, want a drop of an attempt that timed out, then fail", commands)
	}
	if e.Run(start + 1100*millisecond); len(request.TakeCommands()) != 0 {
		t.Fatal("the request got another command after it had failed")
	}
}

// An unsafe request is rejected, so that its client may repeat it, if no byte of its
// attempt was written. It fails if the endpoint may have received the attempt.
func TestUnsafeRequestIsRejectedOnlyIfItNeverRan(t *testing.T) {
	for begun, want := range map[bool]CommandKind{false: CommandReject, true: CommandFail} {
		e := newTestEngine(nil)
		request, attempt := e.openAttempt(t, "write")
		if begun && !attempt.Begin() {
			t.Fatal("Begin returned false for a new attempt")
		}
		outcome := policy.OutcomeConnectionReset
		if attempt.Withdraw() {
			outcome = policy.OutcomeConnectionRefused
		}
		if attempt.Begin() {
			t.Fatal("Begin returned true for an attempt that was withdrawn or had begun")
		}
		e.AttemptEnded(start+950*millisecond, attempt, Result{Outcome: outcome})
		onlyCommand(t, request, want)
	}
}

func TestDrainingEndpointGetsNoAttempt(t *testing.T) {
	e := newTestEngine(nil)
	var list []Endpoint
	for _, id := range []string{"a", "b"} {
		list = append(list, Endpoint{Endpoint: policy.Endpoint{ID: id, Zone: "z", Kind: "box", State: policy.EndpointDraining, Weight: 8}})
	}
	if retired := e.UpdateEndpoints(start, policy.ScopeDiff, list); len(retired) != 2 {
		t.Fatalf("draining both caches retired %v", retired)
	}
	if _, attempt := e.openAttempt(t, "read"); attempt.Endpoint.ID != "o" || attempt.Source != "" {
		t.Fatalf("attempt at endpoint %q with source %q, want endpoint \"o\" and no source", attempt.Endpoint.ID, attempt.Source)
	}
	if retired := e.UpdateEndpoints(start, policy.ScopeSnapshot, nil); len(retired) != 3 {
		t.Fatalf("an empty complete list retired %v, want all 3 endpoints", retired)
	}
}

// UpdateEndpoints must return the previous entry of an endpoint whose address
// changes. Otherwise attempts that wait for a connection to the old address get no
// outcome until their deadline.
func TestChangedAddressRetiresTheOldOne(t *testing.T) {
	e := newTestEngine(nil)
	moved := Endpoint{Endpoint: e.endpoints["a"].Endpoint, Address: "a:2"}
	if retired := e.UpdateEndpoints(start, policy.ScopeDiff, []Endpoint{moved}); len(retired) != 1 || retired[0].Address != "a:1" {
		t.Fatalf("a new address retired %v, want the entry with address a:1", retired)
	}
	if retired := e.UpdateEndpoints(start, policy.ScopeDiff, []Endpoint{moved}); len(retired) != 0 {
		t.Fatalf("an update without a change retired %v", retired)
	}
}

func TestOpenRequestsAreBounded(t *testing.T) {
	e := newTestEngine(func(s *policy.Settings) { s.Limits.MaxOpenRequests = 2 })
	e.open(t, "read")
	if _, err := e.Open(start, policy.Event{Request: "t", Class: "read"}, nil); !errors.Is(err, ErrDuplicate) {
		t.Fatalf("second request with the same id: error %v, want ErrDuplicate", err)
	}
	other := policy.Event{Request: "u", Class: "read", Object: "x", Remaining: millisecond}
	if _, err := e.Open(start, other, func() {}); err != nil {
		t.Fatal(err)
	}
	if _, err := e.Open(start, policy.Event{Request: "v", Class: "read"}, nil); !errors.Is(err, ErrFull) {
		t.Fatalf("third open request with a limit of 2: error %v, want ErrFull", err)
	}
}

// Guards against losing commands that are posted after Detach, when the command
// queue is no longer read.
func TestCommandsAfterDetachAreBackground(t *testing.T) {
	e := newTestEngine(func(s *policy.Settings) { s.Limits.Cancel = false })
	request, attempt := e.openAttempt(t, "read")
	attempt.Begin()
	e.ClientDisconnected(start+millisecond, request)
	request.Detach()
	_, background := e.Run(start + 1000*millisecond)
	if len(background) != 1 || background[0].Kind != CommandDrop || background[0].Attempt != attempt {
		t.Fatalf("background commands %+v, want one drop of the attempt", background)
	}
}

func TestOldPurgesAreIgnored(t *testing.T) {
	e := newTestEngine(nil)
	e.Purge(start, "x", 0, start-7000*millisecond)
	if _, attempt := e.openAttempt(t, "read"); attempt.MaxAge != 0 {
		t.Fatalf("maximum age %d after a purge older than the settle time, want 0", attempt.MaxAge)
	}
	e = newTestEngine(nil)
	e.Purge(start, "", 0, start-500*millisecond)
	if _, attempt := e.openAttempt(t, "read"); attempt.MaxAge <= 0 || attempt.MaxAge >= 500*millisecond {
		t.Fatalf("maximum age %d after a purge 500 ms ago, want more than 0 and less than 500000", attempt.MaxAge)
	}
}

// Guards against a timer that still fires for an attempt that has ended or for a
// request that was answered.
func TestTimersOfEndedAttemptsAreIgnored(t *testing.T) {
	e := newTestEngine(nil)
	request, attempt := e.openAttempt(t, "read")
	attempt.Begin()
	e.AttemptEnded(start+millisecond, attempt, Result{Outcome: policy.OutcomeMiss})
	retry := onlyCommand(t, request, CommandSend).Attempt
	if retry.Number != 1 || retry == attempt {
		t.Fatalf("attempt after a miss %+v, want a new one with number 1", retry)
	}
	retry.Begin()
	e.AttemptEnded(start+2*millisecond, retry, Result{Outcome: policy.OutcomeDone, Response: &countedResponse{}})
	onlyCommand(t, request, CommandRespond)
	if e.Run(start + 2000*millisecond); len(request.TakeCommands()) != 0 {
		t.Fatal("a request that was answered got another command")
	}
}

// Guards against sending an attempt that waits for its connection although the client
// has disconnected or was answered, at a site that does not permit cancelling.
func TestNothingBeginsForAClosedRequestWithoutCancelling(t *testing.T) {
	e := newTestEngine(func(s *policy.Settings) { s.Limits.Cancel = false })
	request, attempt := e.openAttempt(t, "read")
	e.ClientDisconnected(start+millisecond, request)
	if attempt.Begin() {
		t.Error("Begin returned true for an attempt of a closed request")
	}
	onlyCommand(t, request, CommandDrop)
	if open, _ := e.Count(); open != 0 || len(e.requests) != 0 {
		t.Errorf("%d requests open, %d kept; want none", open, len(e.requests))
	}
	// An attempt that has begun stays in flight until it ends.
	request, attempt = e.openAttempt(t, "read")
	attempt.Begin()
	e.ClientDisconnected(start+millisecond, request)
	if len(request.TakeCommands()) != 0 || len(e.requests) != 1 {
		t.Error("an attempt that had begun was dropped, or its request was removed")
	}
}

// Guards against writing a retry after the deduplication window of its idempotency
// key, which counts from the first attempt. SendBefore passes the window to the
// writer.
func TestRetryMayBeSentWithinItsWindowOnly(t *testing.T) {
	e := newTestEngine(func(s *policy.Settings) {
		s.Classes[0] = policy.TrafficClass{
			Name: "read", Effect: policy.EffectIdempotencyKey, DedupWindow: 300 * millisecond, LatencyObjective: 200 * millisecond, PriorityWeight: 1,
		}
	})
	request, first := e.openAttempt(t, "read")
	first.Begin()
	if !first.MayBeSent(start+399*millisecond, 1e6) {
		t.Error("the first attempt may not be sent after 399 ms; the window must not bound it")
	}
	e.AttemptEnded(start+100*millisecond, first, Result{Outcome: policy.OutcomeConnectionReset})
	retry := onlyCommand(t, request, CommandSend).Attempt
	if !retry.MayBeSent(start+299*millisecond, 1e6) || retry.MayBeSent(start+300*millisecond, 1e6) {
		t.Errorf("the retry may be sent until %d µs after the start, want 300000", retry.SendBefore-start)
	}
	if retry.MayBeSent(start+290*millisecond, 100*millisecond) {
		t.Error("the retry may be sent though its decision is older than the maximum age")
	}
}
