package invariant

import (
	"fmt"
	"strings"
	"testing"

	"quilldoor/internal/policy"
)

// testSettings are those of a small site: two routers share the slow-start budgets, and
// windows last a second. listed gives endpoints a weight of 4.
var testSettings = Settings{
	DrainGraceMicros: 500 * millisecond, PurgeGraceMicros: 300 * millisecond, WindowMicros: second,
	SlowStart: map[string]SlowStartBudget{"edge": {From: 0.25, Multiple: 2, DurationMicros: 10 * second, Routers: 2}},
}

// epoch is the start time of the tests.
const epoch = 1_000_000 * second

func listed(id string, state policy.EndpointState, startedAt int64) policy.Endpoint {
	return policy.Endpoint{ID: id, Kind: "edge", State: state, Weight: 4, StartedAt: startedAt}
}

// reportActivity reports the activity of process 1 ten times per second from one time to
// another, and returns the violations proven once all of it has been checked.
func reportActivity(m *Monitor, from, to int64, activityAt func(now int64) *Activity) Violations {
	for now := from; now < to; now += second / 10 {
		if activity := activityAt(now); activity != nil {
			m.Observe(now, 1, activity)
		}
		m.Tick(now)
	}
	for range 15 { // checks the reports that still wait
		m.Tick(to + 2*second)
	}
	return m.Violations(1)
}

// Guards against a violation of a rule that goes unreported, and against a report of one
// that a delay of discovery or a rule's allowance explains.
func TestViolationsAreProvenBeyondDiscoveryDelay(t *testing.T) {
	useOf := func(id string, work float64) func(int64) *Activity {
		return func(now int64) *Activity {
			return &Activity{Endpoints: []EndpointUse{{Endpoint: id, LastSentMicros: now, WorkMicros: work}}}
		}
	}
	for _, c := range []struct {
		name string
		want Rule // 0: no violation is proven
		run  func(m *Monitor) Violations
	}{
		{"no drain or purge", 0, func(m *Monitor) Violations { return reportActivity(m, epoch, epoch+30*second, useOf("a", 0.05e6)) }},
		{"used long after a drain", RuleDrained, func(m *Monitor) Violations {
			m.EndpointsChanged(epoch, false, []policy.Endpoint{listed("a", policy.EndpointDraining, 0)})
			return reportActivity(m, epoch, epoch+12*second, useOf("a", 0))
		}},
		{"named as the source of fills long after removal", RuleDrained, func(m *Monitor) Violations {
			m.EndpointsChanged(epoch, false, []policy.Endpoint{listed("a", policy.EndpointRemoved, 0)})
			return reportActivity(m, epoch, epoch+12*second, func(now int64) *Activity {
				return &Activity{Endpoints: []EndpointUse{{Endpoint: "a", LastSourcedMicros: now}}}
			})
		}},
		{"used after a drain while a connection to discovery may hang", 0, func(m *Monitor) Violations {
			m.EndpointsChanged(epoch, false, []policy.Endpoint{listed("a", policy.EndpointDraining, 0)})
			return reportActivity(m, epoch, epoch+7*second, useOf("a", 0))
		}},
		{"drained, and its return received by the process before the monitor", 0, func(m *Monitor) Violations {
			m.EndpointsChanged(epoch, false, []policy.Endpoint{listed("a", policy.EndpointDraining, 0)})
			return reportActivity(m, epoch+10*second, epoch+30*second, func(now int64) *Activity {
				if now == epoch+10*second+900*millisecond {
					m.EndpointsChanged(now, false, []policy.Endpoint{listed("a", policy.EndpointActive, 0)})
				}
				return useOf("a", 0)(now)
			})
		}},
		{"used after a drain while discovery can't be reached", 0, func(m *Monitor) Violations {
			m.EndpointsChanged(epoch, false, []policy.Endpoint{listed("a", policy.EndpointDraining, 0)})
			m.SetDisconnected(epoch+second, true)
			return reportActivity(m, epoch+10*second, epoch+30*second, useOf("a", 0))
		}},
		{"used long after a complete list without it", RuleDrained, func(m *Monitor) Violations {
			m.EndpointsChanged(epoch, true, []policy.Endpoint{listed("b", policy.EndpointActive, 0)})
			return reportActivity(m, epoch, epoch+12*second, useOf("a", 0))
		}},
		{"stale copies long after a purge of their group", RuleStale, func(m *Monitor) Violations {
			m.Purged(epoch, "", 7, epoch-second)
			return reportActivity(m, epoch, epoch+12*second, func(now int64) *Activity {
				return &Activity{Responses: []Response{
					{Object: hashObject("x"), Group: 7, SentMicros: now, IssuedMicros: epoch - 2*second},
				}}
			})
		}},
		{"stale copies long after a purge of their object", RuleStale, func(m *Monitor) Violations {
			m.Purged(epoch, "x", 0, epoch-second)
			return reportActivity(m, epoch, epoch+12*second, func(now int64) *Activity {
				return &Activity{Responses: []Response{
					{Object: hashObject("x"), Group: 9, SentMicros: now, IssuedMicros: epoch - 2*second},
				}}
			})
		}},
		{"copies of another object, and copies no older than the purge", 0, func(m *Monitor) Violations {
			m.Purged(epoch, "x", 0, epoch-second)
			m.Purged(epoch, "", 7, epoch-second)
			return reportActivity(m, epoch, epoch+12*second, func(now int64) *Activity {
				return &Activity{Responses: []Response{
					{Object: hashObject("y"), Group: 9, SentMicros: now, IssuedMicros: epoch - 2*second},
					{Object: hashObject("x"), Group: 7, SentMicros: now, IssuedMicros: epoch - second},
				}}
			})
		}},
		{"attempts sent before the purge was received", 0, func(m *Monitor) Violations {
			m.Purged(epoch, "", 7, epoch-second)
			return reportActivity(m, epoch, epoch+12*second, func(int64) *Activity {
				return &Activity{Responses: []Response{{Group: 7, SentMicros: epoch - millisecond, IssuedMicros: epoch - 2*second}}}
			})
		}},
		{"more than the allowance of an endpoint in slow start", RuleOverBudget, func(m *Monitor) Violations {
			m.EndpointsChanged(epoch, false, []policy.Endpoint{listed("a", policy.EndpointActive, epoch)})
			// 3 s of work per second; at the age of 1 s the allowance is
			// 2 * (0.25+0.075) * 4 / 2 = 1.3 s.
			return reportActivity(m, epoch, epoch+2*second, useOf("a", 0.3e6))
		}},
		{"less than the allowance of an endpoint in slow start", 0, func(m *Monitor) Violations {
			m.EndpointsChanged(epoch, false, []policy.Endpoint{listed("a", policy.EndpointActive, epoch)})
			return reportActivity(m, epoch, epoch+20*second, useOf("a", 0.09e6))
		}},
		{"more work to an endpoint after its slow start", 0, func(m *Monitor) Violations {
			m.EndpointsChanged(epoch, false, []policy.Endpoint{listed("a", policy.EndpointActive, epoch-11*second)})
			return reportActivity(m, epoch, epoch+5*second, useOf("a", 2e6))
		}},
		{"late reports that arrive together", 0, func(m *Monitor) Violations {
			m.EndpointsChanged(epoch, false, []policy.Endpoint{listed("a", policy.EndpointActive, epoch)})
			for i := range int64(30) {
				m.Observe(epoch+3*second, 1, useOf("a", 0.09e6)(epoch+i*second/10))
			}
			return m.Violations(1)
		}},
		{"one duplicate attempt", RuleDuplicate, func(m *Monitor) Violations {
			return reportActivity(m, epoch, epoch+second, func(now int64) *Activity {
				if now == epoch {
					return &Activity{DuplicateAttempts: 1}
				}
				return nil
			})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			m := New(testSettings)
			m.EndpointsChanged(epoch-100*second, true, []policy.Endpoint{
				listed("a", policy.EndpointActive, 0), listed("b", policy.EndpointActive, 0),
			})
			violations := c.run(m)
			want := uint8(0)
			if c.want != 0 {
				want = 1 << c.want
			}
			if violations.Rules != want || (violations.Text != "") != (want != 0) {
				t.Errorf("proven violations are %+v, want rule bits %b", violations, want)
			}
			if c.want != 0 && !strings.HasPrefix(violations.Text, fmt.Sprintf("rule %d, ", c.want)) {
				t.Errorf("text %q does not begin with rule %d", violations.Text, c.want)
			}
			for range 100 { // old violations expire
				m.Tick(epoch + 200*second)
			}
			if violations := m.Violations(1); violations.Rules != 0 {
				t.Errorf("200 s after the start, still proven: %+v", violations)
			}
		})
	}
}

// Guards against a jump of the clock that makes recent drains and purges look old, so that
// permitted use of them is reported.
func TestClockJumpReportsNoViolation(t *testing.T) {
	for _, by := range []int64{-20 * second, 20 * second} {
		m := New(testSettings)
		m.EndpointsChanged(epoch, true, []policy.Endpoint{listed("a", policy.EndpointDraining, 0)})
		m.Purged(epoch, "", 7, epoch)
		m.ClockStepped(epoch+by+100*millisecond, by)
		violations := reportActivity(m, epoch+by, epoch+by+2*second, func(now int64) *Activity {
			return &Activity{
				Endpoints: []EndpointUse{{Endpoint: "a", LastSentMicros: now}},
				Responses: []Response{{Group: 7, SentMicros: now, IssuedMicros: epoch - second}},
			}
		})
		if violations.Rules != 0 {
			t.Errorf("clock jumped by %+d s: proven violations %+v", by/second, violations)
		}
	}
}

// Guards against a recorder or monitor that grows without bound. Records beyond the bounds
// are dropped and counted.
func TestMemoryIsBounded(t *testing.T) {
	r := NewRecorder()
	for i := range 3 * maxRecordedEndpoints {
		r.RecordAttempt(epoch, fmt.Sprint("s", i), fmt.Sprint("p", i), "page", false)
		r.RecordResponse("page", "x", 1, epoch, epoch-second, 1000)
	}
	report := r.Take()
	if len(report.Endpoints) > maxRecordedEndpoints || len(report.Responses) > maxRecordedResponses || report.Dropped == 0 {
		t.Errorf("report has %d endpoints, %d responses, %d dropped", len(report.Endpoints), len(report.Responses), report.Dropped)
	}
	if next := r.Take(); len(next.Endpoints)+len(next.Responses)+next.Dropped != 0 {
		t.Errorf("second report is not empty: %+v", next)
	}
	m := New(testSettings)
	for i := range 2 * maxPurges {
		m.Purged(epoch, "", int64(i), epoch)
	}
	for i := range 2 * maxEndpoints {
		m.EndpointsChanged(epoch, false, []policy.Endpoint{listed(fmt.Sprint("s", i), policy.EndpointRemoved, 0)})
	}
	for p := range uint64(2 * maxProcesses) {
		for range 2 * maxPending {
			m.Observe(epoch, p, report)
		}
	}
	if len(m.purges) > maxPurges || len(m.endpoints) > maxEndpoints || len(m.processes) > maxProcesses ||
		len(m.processes[0].pending) > maxPending || m.Dropped == 0 {
		t.Errorf("monitor holds %d purges, %d endpoints, %d processes, %d pending reports of process 0; %d dropped",
			len(m.purges), len(m.endpoints), len(m.processes), len(m.processes[0].pending), m.Dropped)
	}
	m.EndpointsChanged(epoch+removedEndpointTTL+second, false, nil)
	if len(m.endpoints) != 0 {
		t.Errorf("%d endpoints are still held after removedEndpointTTL", len(m.endpoints))
	}
	var none *Recorder
	none.RecordAttempt(1, "a", "b", "page", true)
	none.RecordResponse("page", "x", 1, 1, 1, 1)
	if none.Take() != nil {
		t.Error("a nil recorder returned a report")
	}
	// The work of an attempt is the mean sending time of the earlier responses, 1000 µs.
	r.RecordAttempt(epoch, "a", "a", "page", true)
	if report := r.Take(); report.DuplicateAttempts != 1 || len(report.Endpoints) != 1 ||
		report.Endpoints[0].WorkMicros < 999 || report.Endpoints[0].WorkMicros > 1001 {
		t.Errorf("want one duplicate attempt with 1000 µs of work, got %+v", report)
	}
}
