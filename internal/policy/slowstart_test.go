package policy

import (
	"fmt"
	"math"
	"testing"
)

func TestSlowStartStaysInsideItsBudget(t *testing.T) {
	for _, id := range []string{cacheA, parentA} {
		r := newRouter(nil)
		ep := r.endpoints[id]
		budget := r.config.slowStart[ep.role]
		ep.startedAt = begin
		sent := int64(0)
		for i := range 400 {
			now := begin + int64(i)*millisecond
			if !r.slowStartAllows(ep, &request{cost: 50 * millisecond}) {
				break
			}
			r.now = now
			r.reserve(ep, &request{cost: 50 * millisecond})
			sent += 50 * millisecond
		}
		maxWork := budget.overloadMultiple * ep.weight * (budget.initialCapacity + 0.1) * float64(second) / budget.routers
		if sent == 0 || float64(sent) > maxWork {
			t.Fatalf("%s: sent work of %d, the budget is %.0f", id, sent, maxWork)
		}
	}
}

// Guards against a restarted router that uses its share of a slow-start budget twice within a window.
func TestRestartedRouterHoldsSlowStartForAWindow(t *testing.T) {
	settings := testSettings()
	settings.Routers, settings.Hierarchy.RoutersByZone = 1, []int{0, 1}
	r := New(settings, 1)
	list := testEndpoints()
	list[0].StartedAt, list[1].State = begin-second, EndpointRemoved
	r.Handle(begin, Event{Kind: EventEndpoints, Scope: ScopeInitial, Endpoints: list}, nil)
	if a := onlyAction(t, r.Handle(begin+second/2, newRequest("read"), nil), ActionSend); a.Endpoint == cacheA {
		t.Error("sent to a cache in slow start within the window")
	}
	e := newRequest("read")
	e.Request = "later"
	if a := onlyAction(t, r.Handle(begin+second, e, nil), ActionSend); a.Endpoint != cacheA {
		t.Errorf("sent to %s after the window, want the cache in slow start", a.Endpoint)
	}
}

// Guards against overloading an endpoint whose restart this router hears of late: what it sent since the restart, while
// it took the endpoint for a warm one, uses up the budget, too.
func TestWorkSentBeforeTheNoticeOfARestartCounts(t *testing.T) {
	const (
		restartedAt = begin
		notifiedAt  = begin + 300*millisecond
		work        = 50 * millisecond // of each request
	)
	for _, id := range []string{cacheA, parentA} {
		r := newRouter(nil)
		ep := r.endpoints[id]
		budget := r.config.slowStart[ep.role]
		sent := int64(0)
		for r.now = restartedAt; r.now < notifiedAt; r.now += 2 * millisecond {
			if r.slowStartAllows(ep, &request{cost: work}) {
				r.reserve(ep, &request{cost: work})
				sent += work
			}
		}
		r.now = notifiedAt
		ep.startedAt = restartedAt
		capacity := budget.initialCapacity + (1-budget.initialCapacity)*0.03
		maxWork := budget.overloadMultiple * ep.weight * capacity * float64(second) / budget.routers
		if float64(sent) < budgetShare*maxWork {
			t.Fatalf("%s: work of %d before the notice, the budget is %.0f: the test shows nothing", id, sent, maxWork)
		}
		if r.slowStartAllows(ep, &request{cost: work}) {
			t.Errorf("%s: it is sent more, although work of %d since its restart exceeds the budget of %.0f", id, sent, maxWork)
		}
	}
}

// Guards against overloading a small endpoint in slow start with one large copy, because the few transfer times that a
// restarted router knows of the class are small and alike.
func TestFewTransferTimesDoNotHideTheirSpread(t *testing.T) {
	const (
		known = 20 * millisecond
		few   = 10 // with as many, a tenth of the copies may be as large as the objective allows
	)
	class := &trafficClass{latencyObjective: 500 * millisecond}
	for count := range minSamples + 1 {
		req := &request{class: class}
		req.setCost()
		bound := float64(req.cost) + budgetDeviations*math.Sqrt(req.costVariance)
		if count < few && bound < float64(class.latencyObjective) {
			t.Errorf("with %d transfer times known a copy counts as %.0f us at the most, want at least the objective", count, bound)
		}
		if count == minSamples && bound != float64(known) {
			t.Errorf("with %d equal transfer times known a copy counts as %.0f us at the most, want %d", count, bound, known)
		}
		class.learnTransferTime(fmt.Sprint(count), known)
	}
}

// Guards against overloading a small endpoint in slow start with a few large copies, because the last transfer times of
// the class are those of one object that is requested again and again.
func TestOneObjectDoesNotHideTheSpreadOfItsClass(t *testing.T) {
	const known = 20 * millisecond
	class := &trafficClass{latencyObjective: 500 * millisecond}
	for range maxRecent {
		class.learnTransferTime("hot", known)
	}
	req := &request{class: class}
	req.setCost()
	if bound := float64(req.cost) + budgetDeviations*math.Sqrt(req.costVariance); bound < float64(class.latencyObjective) {
		t.Errorf("with the times of one object known a copy counts as %.0f us at the most, want at least the objective", bound)
	}
}

// Guards against overloading an endpoint in slow start with one large object that is requested many times: all of these
// copies are large, or none is.
func TestCopiesOfOneObjectAreLargeTogether(t *testing.T) {
	const (
		small, large = 100 * millisecond, 900 * millisecond
		largeOneIn   = 8
	)
	r := newRouter(nil)
	ep := r.endpoints[cacheA]
	budget := r.config.slowStart[ep.role]
	ep.startedAt = begin
	r.now = begin
	class := &trafficClass{latencyObjective: large}
	for i := range minSamples {
		transferTime := small
		if i%largeOneIn == 0 {
			transferTime = large
		}
		class.learnTransferTime(fmt.Sprint(i), transferTime)
	}
	sent := int64(0)
	for {
		req := &request{class: class, key: 7}
		req.setCost()
		if !r.slowStartAllows(ep, req) {
			break
		}
		r.reserve(ep, req)
		sent++
	}
	maxWork := budget.overloadMultiple * ep.weight * budget.initialCapacity * float64(second) / budget.routers
	if work := float64(sent * large); sent == 0 || work > maxWork {
		t.Errorf("%d copies of a large object are sent, work of %.0f; the endpoint bears %.0f", sent, work, maxWork)
	}
}

// Guards against work before an endpoint's restart that uses up the budget of its new process.
func TestWorkSentBeforeARestartDoesNotCount(t *testing.T) {
	r := newRouter(nil)
	ep := r.endpoints[cacheA]
	for range 100 {
		r.reserve(ep, &request{cost: second})
	}
	r.now = begin + second/2
	ep.startedAt = r.now
	if !r.slowStartAllows(ep, &request{cost: 50 * millisecond}) {
		t.Error("a restarted cache is sent nothing, for work that its earlier process did")
	}
}

// Guards against a list of reservations that grows with the load of a warm endpoint.
func TestReservationsOfWarmEndpointsAreBounded(t *testing.T) {
	r := newRouter(nil)
	ep := r.endpoints[cacheA]
	for range 100_000 {
		r.now += millisecond / 10
		r.reserve(ep, &request{cost: millisecond})
	}
	if len(ep.reservations) > warmSlots+1 {
		t.Errorf("%d reservations, want at most %d", len(ep.reservations), warmSlots+1)
	}
	if sum := ep.recentWork(); len(sum) != 1 || sum[0].work < 9_900*millisecond || sum[0].work > 10_400*millisecond {
		t.Errorf("handed on: %+v, want the work of one window of 1 s", sum)
	}
}
