package invariant

import (
	"testing"

	"quilldoor/internal/policy"
)

// Guards against a safety check that prevents no false positive: with any one of them
// disabled, the monitor reports a router that keeps the rules.
func TestSafetyChecksAreNeeded(t *testing.T) {
	useA := func(now int64) *Activity {
		return &Activity{Endpoints: []EndpointUse{{Endpoint: "a", LastSentMicros: now}}}
	}
	drain := func(m *Monitor, now int64) {
		m.EndpointsChanged(now, false, []policy.Endpoint{listed("a", policy.EndpointDraining, 0)})
	}
	// The process receives each return of the endpoint 0.5 s before the monitor does.
	returnsReceivedEarlier := func(m *Monitor) Violations {
		return reportActivity(m, epoch, epoch+30*second, func(now int64) *Activity {
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
	connectionHangs := func(m *Monitor) Violations {
		drain(m, epoch)
		return reportActivity(m, epoch, epoch+6*second, useA)
	}
	// The endpoint returns while the monitor can't reach discovery.
	returnsWhileDisconnected := func(m *Monitor) Violations {
		drain(m, epoch)
		m.SetDisconnected(epoch+second, true)
		return reportActivity(m, epoch+5*second, epoch+20*second, useA)
	}
	// Late reports about an endpoint in slow start arrive together.
	lateReports := func(m *Monitor) Violations {
		m.EndpointsChanged(epoch, false, []policy.Endpoint{listed("a", policy.EndpointActive, epoch)})
		for i := range int64(30) {
			use := EndpointUse{Endpoint: "a", LastSentMicros: epoch + i*second/10, WorkMicros: 0.09e6}
			m.Observe(epoch+3*second, 1, &Activity{Endpoints: []EndpointUse{use}})
		}
		return m.Violations(1)
	}
	for name, c := range map[string]struct {
		disable func(*safetyChecks)
		run     func(*Monitor) Violations
	}{
		"reports are checked without delay": {
			func(c *safetyChecks) { c.settled = func(int64) bool { return true } }, returnsReceivedEarlier,
		},
		"a hanging connection counts as a fault": {
			func(c *safetyChecks) { c.outlastsStall = func(int64) bool { return true } }, connectionHangs,
		},
		"an outdated endpoint list counts": {
			func(c *safetyChecks) { c.drainsKnown = func(bool, int64, int64) bool { return true } }, returnsWhileDisconnected,
		},
		"work counts when its report is received": {
			func(c *safetyChecks) { c.workTime = func(_, received int64) int64 { return received } }, lateReports,
		},
	} {
		for _, disabled := range []bool{false, true} {
			m := New(testSettings)
			if disabled {
				c.disable(&m.checks)
			}
			m.EndpointsChanged(epoch-100*second, true, []policy.Endpoint{listed("a", policy.EndpointActive, 0)})
			if violations := c.run(m); (violations.Rules != 0) != disabled {
				t.Errorf("%s (check disabled: %v): proven violations %+v", name, disabled, violations)
			}
		}
	}
}
