package policy

import "testing"

// fill sends a request for an object and ends its attempt; it reports whether that was to fill.
func fill(r *Router, index int, end Event) bool {
	e := newRequest("read")
	e.Request, e.Object = "f"+string(rune('a'+index%26))+string(rune('0'+index/26%10)), string(rune('a'+index%26))
	for _, a := range r.Handle(r.now, e, nil) {
		if a.Kind == ActionSend && a.Source != a.Endpoint && a.FillMode&FillNoFetch == 0 {
			end.Kind = EventAttemptEnded
			end.Request, end.Endpoint = e.Request, a.Endpoint
			end.Final = end.Outcome == OutcomeDone
			r.Handle(r.now, end, nil)
			r.Handle(r.now, Event{Kind: EventClientGone, Request: e.Request}, nil)
			return true
		}
	}
	r.Handle(r.now, Event{Kind: EventClientGone, Request: e.Request}, nil)
	return false
}

// Against many routers that overload a slow origin together, each with too few fills to reduce a limit.
func TestFillsAreShedAsTheOriginSlows(t *testing.T) {
	countFills := func(r *Router, n int, end Event) (fills int) {
		for i := range n {
			r.now += 300 * millisecond
			if fill(r, i, end) {
				fills++
			}
		}
		return fills
	}
	filledByOrigin := func(wait int64) Event {
		return Event{Outcome: OutcomeDone, Reason: ReasonMissOrigin, OriginWait: wait, RTT: 150 * millisecond}
	}
	atBaseline, slow := filledByOrigin(100*millisecond), filledByOrigin(1600*millisecond)
	r := newRouter(nil)
	if got := countFills(r, 40, atBaseline); got != 40 {
		t.Fatalf("at the baseline %d of 40 fills", got)
	}
	for range 40 { // fills that are overdue while reported delays are as usual: their caches are slow
		r.originDelay.observeOverdue(float64(2 * second))
	}
	if r.originDelay.current > toleratedDelayRatio*r.originDelay.baseline {
		t.Error("overdue fills alone count as the origin's")
	}
	// Up to twice as long is bearable.
	if got := countFills(r, 40, filledByOrigin(180*millisecond)); got != 40 {
		t.Errorf("at 1.8 times the baseline %d of 40 fills", got)
	}
	r = newRouter(nil)
	countFills(r, 40, atBaseline)
	countFills(r, 6, slow)
	if got := countFills(r, 100, slow); got > 40 {
		t.Errorf("at sixteen times the baseline %d of 100 fills", got)
	} else if got == 0 {
		t.Error("nobody finds out when it is back")
	}
	countFills(r, 60, atBaseline)
	if got := countFills(r, 40, atBaseline); got != 40 {
		t.Errorf("back at the baseline %d of 40 fills", got)
	}
	// Where no reasons are given, nothing is shed.
	r = newRouter(nil)
	countFills(r, 10, Event{Outcome: OutcomeDone, RTT: 150 * millisecond})
	if got := countFills(r, 40, Event{Outcome: OutcomeDone, RTT: 150 * millisecond}); got != 40 {
		t.Errorf("without reasons: %d of 40 fills", got)
	}
}

// Each failure of the origin sheds more, a while without any ends it, and a request that the origin failed asks it
// no more.
func TestFailingOriginGetsFewerFills(t *testing.T) {
	d := originDelay{}
	d.observeFailure()
	if d.current != 0 {
		t.Fatal("nothing was reported, but it counts")
	}
	d.observeReported(second, 100)
	d.observeFailure()
	first := d.current
	for range 100 {
		d.observeFailure()
	}
	if first <= toleratedDelayRatio*d.baseline || d.current <= first || d.current > 64*d.baseline {
		t.Errorf("delay %g after the first, %g after all", first, d.current)
	}
	for range int(20 * second / timerInterval) {
		d.decay(timerInterval)
	}
	if d.current > toleratedDelayRatio*d.baseline {
		t.Errorf("delay %g after 20 s", d.current)
	}
	r := newRouter(nil)
	fill(r, 1, Event{Outcome: OutcomeDone, Reason: ReasonMissOrigin, OriginWait: 100 * millisecond})
	sent := onlyAction(t, r.Handle(r.now, newRequest("read"), nil), ActionSend)
	end := attemptEnded(sent.Endpoint, OutcomeBusy)
	end.Reason = ReasonOriginError
	for _, a := range r.Handle(r.now+millisecond, end, nil) {
		if a.Kind == ActionSend && a.Source != a.Endpoint && a.FillMode&FillNoFetch == 0 {
			t.Errorf("asks the origin again: %+v", a)
		}
	}
}
