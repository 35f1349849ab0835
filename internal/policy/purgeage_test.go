package policy

import "testing"

func TestPurgesBoundTheMaxAge(t *testing.T) {
	r := newRouter(nil)
	r.Handle(begin, Event{Kind: EventPurge, Group: 7, Age: 40 * millisecond}, nil)
	a := onlyAction(t, r.Handle(begin+60*millisecond, newRequest("read"), nil), ActionSend)
	if a.MaxAge <= 0 || a.MaxAge >= 100*millisecond {
		t.Fatalf("MaxAge %d, 100 ms after a purge of the group", a.MaxAge)
	}
	r.Handle(begin, Event{Kind: EventPurge, Object: "x", Group: 7}, nil)
	if a := r.maxAge(&request{object: "x", class: &trafficClass{}}, 0); a != 1 {
		t.Fatalf("maxAge %d at the time of a purge of the object", a)
	}
	r.now = begin + 7*second
	if a := r.maxAge(&request{object: "x", group: 7, class: &trafficClass{}}, 0); a != 0 {
		t.Fatalf("maxAge %d after the purge has reached all caches", a)
	}
}

// Guards against passing on a copy from before a purge that the router knew when it asked, and against asking for the
// same copy again because the greatest age is computed from a clock that is ahead of that of discovery and the origin.
func TestCopyFromBeforeAPurgeIsRejected(t *testing.T) {
	const (
		clockAhead = 400 * millisecond // of this router
		purgedAt   = begin             // on the clock of the origin
		receivedAt = purgedAt + clockAhead + 50*millisecond
		sentAt     = receivedAt + 100*millisecond
	)
	r := newRouter(nil)
	r.Handle(receivedAt, Event{Kind: EventPurge, Group: 7, Age: receivedAt - purgedAt, PurgedAt: purgedAt}, nil)
	first := onlyAction(t, r.Handle(sentAt, newRequest("read"), nil), ActionSend)
	if r.RejectPurgedCopy("t", 0, purgedAt) || r.RejectPurgedCopy("t", 0, purgedAt+millisecond) {
		t.Error("a copy from after the purge is rejected")
	}
	if r.RejectPurgedCopy("t", 1, purgedAt-1) || r.RejectPurgedCopy("u", 0, purgedAt-1) {
		t.Error("the response to an unknown attempt is rejected")
	}
	if !r.RejectPurgedCopy("t", 0, purgedAt-1) {
		t.Fatal("a copy from before the purge is passed on")
	}
	failed := attemptEnded(first.Endpoint, OutcomeError)
	second := onlyAction(t, r.Handle(sentAt+10*millisecond, failed, nil), ActionSend)
	if sinceReceipt := sentAt + 10*millisecond - receivedAt; second.MaxAge >= sinceReceipt {
		t.Errorf("after the purged copy the greatest age is %d us, want less than the %d us since the receipt of the purge",
			second.MaxAge, sinceReceipt)
	}
	if second.Endpoint == first.Endpoint {
		t.Errorf("%s is asked again", second.Endpoint)
	}
}

// Guards against rejecting the response to an attempt that was sent before the router received the purge: the attempt
// asked for no newer copy.
func TestCopyOfAnAttemptSentBeforeThePurgeIsPassedOn(t *testing.T) {
	r := newRouter(nil)
	onlyAction(t, r.Handle(begin, newRequest("read"), nil), ActionSend)
	r.Handle(begin+millisecond, Event{Kind: EventPurge, Group: 7, PurgedAt: begin + millisecond}, nil)
	if r.RejectPurgedCopy("t", 0, begin-second) {
		t.Error("the copy is rejected")
	}
}
