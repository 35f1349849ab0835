package engine

import (
	"testing"

	"quilldoor/internal/policy"
)

const ms, start = int64(1000), int64(1_000_000_000)

// world is a core that knows two caches and an origin, with its mailbox's bell.
type world struct {
	*Engine
	rings int
}

func newWorld(change func(*policy.Settings)) *world {
	set := policy.Settings{
		Routers: 1, Zone: "z", Zones: []string{"z"}, EndpointKinds: []string{"box", "origin"},
		Contract:  policy.Contract{AnswerSlack: 8 * ms, SlowStartFor: 1000 * ms, SlowStartFrom: 0.5, OverloadWindow: 1000 * ms, OverloadMultiple: 2},
		Limits:    policy.Limits{Cancel: true, Hedging: true, MaxAttempts: 6},
		Hierarchy: policy.Hierarchy{CacheBypass: true, ParentKind: -1, OriginKind: 1, PurgeSettleTime: 6000 * ms},
		Classes: []policy.TrafficClass{
			{Name: "read", Effect: policy.EffectIdempotent, LatencyObjective: 200 * ms, PriorityWeight: 1},
			{Name: "write", Effect: policy.EffectUnsafe, LatencyObjective: 200 * ms, PriorityWeight: 1, Write: true},
		},
	}
	if change != nil {
		change(&set)
	}
	w := &world{Engine: New(&set, 1, func() {})}
	w.UpdateEndpoints(start, "disk", []Endpoint{
		{Endpoint: policy.Endpoint{ID: "a", Zone: "z", Kind: "box", State: policy.EndpointActive, Weight: 8}, Address: "a:1"},
		{Endpoint: policy.Endpoint{ID: "b", Zone: "z", Kind: "box", State: policy.EndpointActive, Weight: 8}, Address: "b:1"},
		{Endpoint: policy.Endpoint{ID: "o", Zone: "z", Kind: "origin", State: policy.EndpointActive, Weight: 1}, Address: "o:1"},
	})
	return w
}

func (w *world) ask(t *testing.T, rule string) *Request {
	t.Helper()
	txn, err := w.Open(start, policy.Event{
		Request: "t", Class: rule, Object: "x", Remaining: 1000 * ms,
		Write: rule == "write",
	}, func() { w.rings++ })
	if err != nil {
		t.Fatal(err)
	}
	return txn
}

// next gives the one order in the mailbox, and fails the test if it is of
// another kind.
func next(t *testing.T, txn *Request, kind CommandKind) Command {
	t.Helper()
	box := txn.TakeCommands()
	if len(box) != 1 || box[0].Kind != kind {
		t.Fatalf("orders %+v, want one of kind %d", box, kind)
	}
	return box[0]
}

type reply struct{ released int }

func (r *reply) Release() { r.released++ }

func TestFirstDoneIsTheAnswerAndALaterOneIsReleased(t *testing.T) {
	w := newWorld(nil)
	txn := w.ask(t, "read")
	h := next(t, txn, CommandSend).Attempt
	if w.rings == 0 || h.Source != "o" || h.Deadline != start+400*ms && h.Deadline != start+1000*ms {
		t.Fatalf("hop %+v after %d rings", h, w.rings)
	}
	first, second := &reply{}, &reply{}
	w.AttemptEnded(start+ms, h, Result{Outcome: policy.OutcomeDone, Response: first})
	w.AttemptEnded(start+2*ms, h, Result{Outcome: policy.OutcomeDone, Response: second})
	if o := next(t, txn, CommandRespond); o.Response != Response(first) || first.released != 0 || second.released != 1 {
		t.Fatalf("answer %+v, released %d and %d", o, first.released, second.released)
	}
	// Timers once held ended txns for seconds; one, the module's, stays.
	if n, _ := w.Count(); n != 0 || len(w.txns) != 0 || len(w.timers) != 1 {
		t.Fatalf("%d txns open, %d remembered, %d timers", n, len(w.txns), len(w.timers))
	}
}

// A client that had left was once answered, and its hop went on.
func TestLeaveGivesTheHopUpAndOwesNothing(t *testing.T) {
	w := newWorld(nil)
	txn := w.ask(t, "read")
	h := next(t, txn, CommandSend).Attempt
	h.Begin()
	w.ClientGone(start+ms, txn)
	if o := next(t, txn, CommandDrop); o.Attempt != h {
		t.Fatalf("dropped %+v", o.Attempt)
	}
	late := &reply{}
	w.AttemptEnded(start+2*ms, h, Result{Outcome: policy.OutcomeDone, Response: late})
	if box := txn.TakeCommands(); len(box) != 0 || late.released != 1 {
		t.Fatalf("orders %+v, released %d", box, late.released)
	}
}

func TestTimeLimitBringsOneAnswer(t *testing.T) {
	w := newWorld(nil)
	txn := w.ask(t, "write")
	h := next(t, txn, CommandSend).Attempt
	h.Begin()
	if w.Run(start + 1000*ms - 1); len(txn.TakeCommands()) != 0 {
		t.Fatal("something happened before the time limit")
	}
	w.Run(start + 1000*ms)
	box := txn.TakeCommands()
	if len(box) != 2 || box[0].Kind != CommandDrop || !box[0].Silent || box[1].Kind != CommandFail {
		t.Fatalf("orders %+v, want a silent drop and an abort", box)
	}
	if w.Run(start + 1100*ms); len(txn.TakeCommands()) != 0 {
		t.Fatal("answered again")
	}
}

// An unrepeatable txn whose hop never reached a connection may be tried again;
// one that may have come whole is aborted.
func TestProofThatNothingRan(t *testing.T) {
	for begun, want := range map[bool]CommandKind{false: CommandReject, true: CommandFail} {
		w := newWorld(nil)
		txn := w.ask(t, "write")
		h := next(t, txn, CommandSend).Attempt
		if begun && !h.Begin() {
			t.Fatal("not begun")
		}
		code := policy.OutcomeConnectionReset
		if h.Withdraw() {
			code = policy.OutcomeConnectionRefused
		}
		if h.Begin() {
			t.Fatal("written after it was withdrawn or begun")
		}
		w.AttemptEnded(start+950*ms, h, Result{Outcome: code})
		next(t, txn, want)
	}
}

func TestDrainedServerIsNotSentTo(t *testing.T) {
	w := newWorld(nil)
	var list []Endpoint
	for _, id := range []string{"a", "b"} {
		list = append(list, Endpoint{Endpoint: policy.Endpoint{ID: id, Zone: "z", Kind: "box", State: policy.EndpointDraining, Weight: 8}})
	}
	if gone := w.UpdateEndpoints(start, policy.ScopeDiff, list); len(gone) != 2 {
		t.Fatalf("retired %v", gone)
	}
	if h := next(t, w.ask(t, "read"), CommandSend).Attempt; h.Endpoint.ID != "o" || h.Source != "" {
		t.Fatalf("sent to %s with source %q", h.Endpoint.ID, h.Source)
	}
	if gone := w.UpdateEndpoints(start, policy.ScopeSnapshot, nil); len(gone) != 3 {
		t.Fatalf("a whole list without them retired %v", gone)
	}
}

// Hops that waited for a connection to a server's old address once had no
// outcome until their time was over.
func TestChangedAddressRetiresTheOldOne(t *testing.T) {
	w := newWorld(nil)
	moved := Endpoint{Endpoint: w.servers["a"].Endpoint, Address: "a:2"}
	if gone := w.UpdateEndpoints(start, policy.ScopeDiff, []Endpoint{moved}); len(gone) != 1 || gone[0].Address != "a:1" {
		t.Fatalf("retired %v", gone)
	}
	if gone := w.UpdateEndpoints(start, policy.ScopeDiff, []Endpoint{moved}); len(gone) != 0 {
		t.Fatalf("retired %v though nothing changed", gone)
	}
}

func TestOpenIsBounded(t *testing.T) {
	w := newWorld(func(s *policy.Settings) { s.Limits.MaxOpenRequests = 2 })
	w.ask(t, "read")
	if _, err := w.Open(start, policy.Event{Request: "t", Class: "read"}, nil); err != ErrDuplicate {
		t.Fatalf("the same id again: %v", err)
	}
	w.Open(start, policy.Event{Request: "u", Class: "read", Object: "x", Remaining: ms}, func() {})
	if _, err := w.Open(start, policy.Event{Request: "v", Class: "read"}, nil); err != ErrFull {
		t.Fatalf("one too many: %v", err)
	}
}

// Orders that come once nobody reads the mailbox were once lost.
func TestOrdersAfterDetachAreErrands(t *testing.T) {
	w := newWorld(func(s *policy.Settings) { s.Limits.Cancel = false })
	txn := w.ask(t, "read")
	h := next(t, txn, CommandSend).Attempt
	h.Begin()
	w.ClientGone(start+ms, txn)
	txn.Detach()
	if _, errands := w.Run(start + 1000*ms); len(errands) != 1 || errands[0].Kind != CommandDrop || errands[0].Attempt != h {
		t.Fatalf("errands %+v", errands)
	}
}

func TestOldPurgesAreNotTold(t *testing.T) {
	w := newWorld(nil)
	w.Purge(start, "x", 0, start-7000*ms)
	if h := next(t, w.ask(t, "read"), CommandSend).Attempt; h.MaxAge != 0 {
		t.Fatalf("age %d by a purge that binds no more", h.MaxAge)
	}
	w = newWorld(nil)
	w.Purge(start, "", 0, start-500*ms)
	if h := next(t, w.ask(t, "read"), CommandSend).Attempt; h.MaxAge <= 0 || h.MaxAge >= 500*ms {
		t.Fatalf("age %d by a purge 500 ms ago", h.MaxAge)
	}
}

// A whole body that came for a hop out of time is not an answer, and the timer
// of a hop that has ended does nothing.
func TestTimersOfEndedHopsAreIgnored(t *testing.T) {
	w := newWorld(nil)
	txn := w.ask(t, "read")
	h := next(t, txn, CommandSend).Attempt
	h.Begin()
	w.AttemptEnded(start+ms, h, Result{Outcome: policy.OutcomeMiss})
	again := next(t, txn, CommandSend).Attempt
	if again.Number != 1 || again == h {
		t.Fatalf("second hop %+v", again)
	}
	again.Begin()
	w.AttemptEnded(start+2*ms, again, Result{Outcome: policy.OutcomeDone, Response: &reply{}})
	next(t, txn, CommandRespond)
	if w.Run(start + 2000*ms); len(txn.TakeCommands()) != 0 {
		t.Fatal("an ended txn has orders")
	}
}

// Where a site lets nobody cancel, a hop that waits for its connection once went out
// for a client that had left, or behind its txn's answer.
func TestNothingBeginsForAClosedTxnWhereNobodyMayCancel(t *testing.T) {
	w := newWorld(func(s *policy.Settings) { s.Limits.Cancel = false })
	txn := w.ask(t, "read")
	h := next(t, txn, CommandSend).Attempt
	w.ClientGone(start+ms, txn)
	if h.Begin() {
		t.Error("the hop begins")
	}
	next(t, txn, CommandDrop)
	if open, _ := w.Count(); open != 0 || len(w.txns) != 0 {
		t.Errorf("%d open, %d kept", open, len(w.txns))
	}
	// One that may be on the wire stays out until its end.
	txn = w.ask(t, "read")
	h = next(t, txn, CommandSend).Attempt
	h.Begin()
	w.ClientGone(start+ms, txn)
	if len(txn.TakeCommands()) != 0 || len(w.txns) != 1 {
		t.Error("it was given up")
	}
}

// The bound on a keyed repeat comes from the module to where it is written.
func TestARepeatStandsWithinItsWindowOnly(t *testing.T) {
	w := newWorld(func(s *policy.Settings) {
		s.Classes[0] = policy.TrafficClass{Name: "read", Effect: policy.EffectIdempotencyKey, DedupWindow: 300 * ms, LatencyObjective: 200 * ms, PriorityWeight: 1}
	})
	txn := w.ask(t, "read")
	first := next(t, txn, CommandSend).Attempt
	first.Begin()
	if !first.MayBeSent(start+399*ms, 1e6) {
		t.Error("the first hop has no window")
	}
	w.AttemptEnded(start+100*ms, first, Result{Outcome: policy.OutcomeConnectionReset})
	again := next(t, txn, CommandSend).Attempt
	if !again.MayBeSent(start+299*ms, 1e6) || again.MayBeSent(start+300*ms, 1e6) {
		t.Errorf("repeat until %d", again.SendBefore-start)
	}
	if again.MayBeSent(start+290*ms, 100*ms) {
		t.Error("an old decision stands")
	}
}
