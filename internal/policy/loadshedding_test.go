package policy

import "testing"

// fill handles a request for one of 26 objects, whose attempt ends with end if it may fill from the origin. It reports
// whether the attempt may do so.
func fill(r *Router, index int, end Event) bool {
	e := newRequest("read")
	e.Request, e.Object = "f"+string(rune('a'+index%26))+string(rune('0'+index/26%10)), string(rune('a'+index%26))
	for _, a := range r.Handle(r.now, e, nil) {
		if a.Kind == ActionSend && a.Source != a.Endpoint && a.FillMode&FillNoFetch == 0 {
			end.Kind = EventAttemptEnded
			end.Request, end.Endpoint = e.Request, a.Endpoint
			end.Final = end.Outcome == OutcomeDone
			r.Handle(r.now, end, nil)
			r.Handle(r.now, Event{Kind: EventRequestClosed, Request: e.Request}, nil)
			return true
		}
	}
	r.Handle(r.now, Event{Kind: EventRequestClosed, Request: e.Request}, nil)
	return false
}

// Guards against many routers that together overload a slow origin, each with too few fills to reduce its limits.
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
		t.Fatalf("%d of 40 fills at the baseline", got)
	}
	for range 40 { // overdue fills while reported delays are as usual, because of slow caches
		r.originDelay.observeOverdue(float64(2 * second))
	}
	if r.originDelay.current > toleratedDelayRatio*r.originDelay.baseline {
		t.Error("overdue fills count as delay of the origin although reported delays are as usual")
	}
	// Up to twice the baseline is tolerated.
	if got := countFills(r, 40, filledByOrigin(180*millisecond)); got != 40 {
		t.Errorf("%d of 40 fills at 1.8 times the baseline", got)
	}
	r = newRouter(nil)
	countFills(r, 40, atBaseline)
	countFills(r, 6, slow)
	if got := countFills(r, 100, slow); got > 40 {
		t.Errorf("%d of 100 fills at sixteen times the baseline", got)
	} else if got == 0 {
		t.Error("no fill that could detect the recovery of the origin")
	}
	countFills(r, 60, atBaseline)
	if got := countFills(r, 40, atBaseline); got != 40 {
		t.Errorf("%d of 40 fills after the return to the baseline", got)
	}
	// Where responses have no reasons, no fill is shed.
	r = newRouter(nil)
	countFills(r, 10, Event{Outcome: OutcomeDone, RTT: 150 * millisecond})
	if got := countFills(r, 40, Event{Outcome: OutcomeDone, RTT: 150 * millisecond}); got != 40 {
		t.Errorf("%d of 40 fills without reasons", got)
	}
}

// Each failure of the origin increases shedding, which ends some time after the last failure. A request that failed at
// the origin is not filled from it again.
func TestFailingOriginGetsFewerFills(t *testing.T) {
	d := originDelay{}
	d.observeFailure()
	if d.current != 0 {
		t.Fatal("a failure counts although no delay was reported before")
	}
	d.observeReported(second, 100)
	d.observeFailure()
	first := d.current
	for range 100 {
		d.observeFailure()
	}
	if first <= toleratedDelayRatio*d.baseline || d.current <= first || d.current > 64*d.baseline {
		t.Errorf("delay %g after the first failure, %g after all", first, d.current)
	}
	for range int(20 * second / timerInterval) {
		d.decay(timerInterval)
	}
	if d.current > toleratedDelayRatio*d.baseline {
		t.Errorf("delay %g 20 s after the last failure", d.current)
	}
	r := newRouter(nil)
	fill(r, 1, Event{Outcome: OutcomeDone, Reason: ReasonMissOrigin, OriginWait: 100 * millisecond})
	sent := onlyAction(t, r.Handle(r.now, newRequest("read"), nil), ActionSend)
	end := attemptEnded(sent.Endpoint, OutcomeBusy)
	end.Reason = ReasonOriginError
	for _, a := range r.Handle(r.now+millisecond, end, nil) {
		if a.Kind == ActionSend && a.Source != a.Endpoint && a.FillMode&FillNoFetch == 0 {
			t.Errorf("another fill from the failing origin: %+v", a)
		}
	}
}
