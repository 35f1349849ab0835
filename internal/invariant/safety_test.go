package invariant

import (
	"testing"

	"quilldoor/internal/policy"
)

// Without one of the checks a router that keeps the rules is accused.
func TestSafetyChecksAreNeeded(t *testing.T) {
	useA := func(now int64) *Activity {
		return &Activity{Endpoints: []EndpointUse{{Endpoint: "a", LastSentMicros: now}}}
	}
	drain := func(m *Monitor, now int64) {
		m.EndpointsChanged(now, false, []policy.Endpoint{listed("a", policy.EndpointDraining, 0)})
	}
	// The process learns of each return a little sooner than the monitor.
	returnsSooner := func(m *Monitor) Violations {
		return play(m, epoch, epoch+30*second, func(now int64) *Activity {
			switch at := (now - epoch) % (5 * second); {
			case at == 0:
				drain(m, now)
			case at == 4*second:
				m.EndpointsChanged(now, false, []policy.Endpoint{listed("a", policy.EndpointActive, 0)})
			case at >= 3500*millisecond:
				return useA(now)
			}
			return nil
		})
	}
	// The process's connection to discovery hangs.
	stalls := func(m *Monitor) Violations {
		drain(m, epoch)
		return play(m, epoch, epoch+6*second, useA)
	}
	// The endpoint returns while the monitor can't reach discovery.
	returnsUnseen := func(m *Monitor) Violations {
		drain(m, epoch)
		m.SetDisconnected(epoch+second, true)
		return play(m, epoch+5*second, epoch+20*second, useA)
	}
	// Reports of an endpoint in slow start come late and together.
	reportsLate := func(m *Monitor) Violations {
		m.EndpointsChanged(epoch, false, []policy.Endpoint{listed("a", policy.EndpointActive, epoch)})
		for i := range int64(30) {
			use := EndpointUse{Endpoint: "a", LastSentMicros: epoch + i*second/10, WorkMicros: 0.09e6}
			m.Observe(epoch+3*second, 1, &Activity{Endpoints: []EndpointUse{use}})
		}
		return m.Violations(1)
	}
	for name, c := range map[string]struct {
		weaken func(*safetyChecks)
		do     func(*Monitor) Violations
	}{
		"activity is judged at once": {
			func(c *safetyChecks) { c.settled = func(int64) bool { return true } }, returnsSooner,
		},
		"a stall counts as a fault": {
			func(c *safetyChecks) { c.outlastsStall = func(int64) bool { return true } }, stalls,
		},
		"an old endpoint list counts": {
			func(c *safetyChecks) { c.drainsKnown = func(bool, int64, int64) bool { return true } }, returnsUnseen,
		},
		"work counts when its report comes": {
			func(c *safetyChecks) { c.workTime = func(_, received int64) int64 { return received } }, reportsLate,
		},
	} {
		for _, off := range []bool{false, true} {
			m := New(testSettings)
			if off {
				c.weaken(&m.checks)
			}
			m.EndpointsChanged(epoch-100*second, true, []policy.Endpoint{listed("a", policy.EndpointActive, 0)})
			if v := c.do(m); (v.Rules != 0) != off {
				t.Errorf("%s, check off %v: %+v", name, off, v)
			}
		}
	}
}
