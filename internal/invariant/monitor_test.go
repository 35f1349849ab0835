package invariant

import (
	"fmt"
	"strings"
	"testing"

	"quilldoor/internal/policy"
)

// testSettings of a small site: budgets of 4 cores and 2 routers, windows of a second.
var testSettings = Settings{
	DrainGraceMicros: 500 * millisecond, PurgeGraceMicros: 300 * millisecond, WindowMicros: second,
	SlowStart: map[string]SlowStartBudget{"edge": {From: 0.25, Multiple: 2, DurationMicros: 10 * second, Routers: 2}},
}

// epoch is the time at which tests begin.
const epoch = 1_000_000 * second

func listed(id string, state policy.EndpointState, startedAt int64) policy.Endpoint {
	return policy.Endpoint{ID: id, Kind: "edge", State: state, Weight: 4, StartedAt: startedAt}
}

// play reports activity ten times a second from one time to another, and judges it.
func play(m *Monitor, from, to int64, do func(now int64) *Activity) Violations {
	for now := from; now < to; now += second / 10 {
		if a := do(now); a != nil {
			m.Observe(now, 1, a)
		}
		m.Tick(now)
	}
	for range 15 { // what is pending
		m.Tick(to + 2*second)
	}
	return m.Violations(1)
}

// What proves a violation of each rule, and what does not.
func TestRulesAreProvenByWhatCantBeDelay(t *testing.T) {
	useOf := func(id string, work float64) func(int64) *Activity {
		return func(now int64) *Activity {
			return &Activity{Endpoints: []EndpointUse{{Endpoint: id, LastSentMicros: now, WorkMicros: work}}}
		}
	}
	for _, c := range []struct {
		name string
		want Rule // 0: nothing is proven
		do   func(m *Monitor) Violations
	}{
		{"calm", 0, func(m *Monitor) Violations { return play(m, epoch, epoch+30*second, useOf("a", 0.05e6)) }},
		{"drained, and used on and on", RuleDrained, func(m *Monitor) Violations {
			m.EndpointsChanged(epoch, false, []policy.Endpoint{listed("a", policy.EndpointDraining, 0)})
			return play(m, epoch, epoch+12*second, useOf("a", 0))
		}},
		{"named as source", RuleDrained, func(m *Monitor) Violations {
			m.EndpointsChanged(epoch, false, []policy.Endpoint{listed("a", policy.EndpointGone, 0)})
			return play(m, epoch, epoch+12*second, func(now int64) *Activity {
				return &Activity{Endpoints: []EndpointUse{{Endpoint: "a", LastSourcedMicros: now}}}
			})
		}},
		{"drained, as long as a connection to discovery may hang", 0, func(m *Monitor) Violations {
			m.EndpointsChanged(epoch, false, []policy.Endpoint{listed("a", policy.EndpointDraining, 0)})
			return play(m, epoch, epoch+7*second, useOf("a", 0))
		}},
		{"drained, and back before the monitor learns of it", 0, func(m *Monitor) Violations {
			m.EndpointsChanged(epoch, false, []policy.Endpoint{listed("a", policy.EndpointDraining, 0)})
			return play(m, epoch+10*second, epoch+30*second, func(now int64) *Activity {
				if now == epoch+10*second+900*millisecond {
					m.EndpointsChanged(now, false, []policy.Endpoint{listed("a", policy.EndpointActive, 0)})
				}
				return useOf("a", 0)(now)
			})
		}},
		{"drained, while discovery can't be reached", 0, func(m *Monitor) Violations {
			m.EndpointsChanged(epoch, false, []policy.Endpoint{listed("a", policy.EndpointDraining, 0)})
			m.SetDisconnected(epoch+second, true)
			return play(m, epoch+10*second, epoch+30*second, useOf("a", 0))
		}},
		{"missing from a complete list", RuleDrained, func(m *Monitor) Violations {
			m.EndpointsChanged(epoch, true, []policy.Endpoint{listed("b", policy.EndpointActive, 0)})
			return play(m, epoch, epoch+12*second, useOf("a", 0))
		}},
		{"old copies, on and on", RuleStale, func(m *Monitor) Violations {
			m.Purged(epoch, "", 7, epoch-second)
			return play(m, epoch, epoch+12*second, func(now int64) *Activity {
				return &Activity{Responses: []Response{
					{Object: hashObject("x"), Group: 7, SentMicros: now, IssuedMicros: epoch - 2*second},
				}}
			})
		}},
		{"of an object by name", RuleStale, func(m *Monitor) Violations {
			m.Purged(epoch, "x", 0, epoch-second)
			return play(m, epoch, epoch+12*second, func(now int64) *Activity {
				return &Activity{Responses: []Response{
					{Object: hashObject("x"), Group: 9, SentMicros: now, IssuedMicros: epoch - 2*second},
				}}
			})
		}},
		{"of another object, and newer ones", 0, func(m *Monitor) Violations {
			m.Purged(epoch, "x", 0, epoch-second)
			m.Purged(epoch, "", 7, epoch-second)
			return play(m, epoch, epoch+12*second, func(now int64) *Activity {
				return &Activity{Responses: []Response{
					{Object: hashObject("y"), Group: 9, SentMicros: now, IssuedMicros: epoch - 2*second},
					{Object: hashObject("x"), Group: 7, SentMicros: now, IssuedMicros: epoch - second},
				}}
			})
		}},
		{"sent before the purge was received", 0, func(m *Monitor) Violations {
			m.Purged(epoch, "", 7, epoch-second)
			return play(m, epoch, epoch+12*second, func(int64) *Activity {
				return &Activity{Responses: []Response{{Group: 7, SentMicros: epoch - millisecond, IssuedMicros: epoch - 2*second}}}
			})
		}},
		{"twice the allowance of an endpoint in slow start", RuleOverBudget, func(m *Monitor) Violations {
			m.EndpointsChanged(epoch, false, []policy.Endpoint{listed("a", policy.EndpointActive, epoch)})
			// 3 s of work a second; at 1 s the allowance is 2 * (0.25+0.075) * 4 / 2.
			return play(m, epoch, epoch+2*second, useOf("a", 0.3e6))
		}},
		{"the allowance of an endpoint in slow start", 0, func(m *Monitor) Violations {
			m.EndpointsChanged(epoch, false, []policy.Endpoint{listed("a", policy.EndpointActive, epoch)})
			return play(m, epoch, epoch+20*second, useOf("a", 0.09e6))
		}},
		{"an endpoint after its slow start", 0, func(m *Monitor) Violations {
			m.EndpointsChanged(epoch, false, []policy.Endpoint{listed("a", policy.EndpointActive, epoch-11*second)})
			return play(m, epoch, epoch+5*second, useOf("a", 2e6))
		}},
		{"reports that come late and together", 0, func(m *Monitor) Violations {
			m.EndpointsChanged(epoch, false, []policy.Endpoint{listed("a", policy.EndpointActive, epoch)})
			for i := range int64(30) {
				m.Observe(epoch+3*second, 1, useOf("a", 0.09e6)(epoch+i*second/10))
			}
			return m.Violations(1)
		}},
		{"a duplicate attempt", RuleDuplicate, func(m *Monitor) Violations {
			return play(m, epoch, epoch+second, func(now int64) *Activity {
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
			v := c.do(m)
			want := uint8(0)
			if c.want != 0 {
				want = 1 << c.want
			}
			if v.Rules != want || (v.Text != "") != (want != 0) {
				t.Errorf("%+v", v)
			}
			if c.want != 0 && !strings.HasPrefix(v.Text, fmt.Sprintf("rule %d, ", c.want)) {
				t.Error(v.Text)
			}
			for range 100 { // old violations expire
				m.Tick(epoch + 200*second)
			}
			if v := m.Violations(1); v.Rules != 0 {
				t.Errorf("after minutes: %+v", v)
			}
		})
	}
}

// A jump of the clock accuses nobody.
func TestClockJumpAccusesNobody(t *testing.T) {
	for _, by := range []int64{-20 * second, 20 * second} {
		m := New(testSettings)
		m.EndpointsChanged(epoch, true, []policy.Endpoint{listed("a", policy.EndpointDraining, 0)})
		m.Purged(epoch, "", 7, epoch)
		m.ClockJumped(epoch+by+100*millisecond, by)
		v := play(m, epoch+by, epoch+by+2*second, func(now int64) *Activity {
			return &Activity{
				Endpoints: []EndpointUse{{Endpoint: "a", LastSentMicros: now}},
				Responses: []Response{{Group: 7, SentMicros: now, IssuedMicros: epoch - second}},
			}
		})
		if v.Rules != 0 {
			t.Errorf("%+d s: %+v", by/second, v)
		}
	}
}

// Bounds hold whatever comes, and nothing else is lost.
func TestMemoryIsBounded(t *testing.T) {
	r := NewRecorder()
	for i := range 3 * maxRecordedEndpoints {
		r.RecordAttempt(epoch, fmt.Sprint("s", i), fmt.Sprint("p", i), "page", false)
		r.RecordResponse("page", "x", 1, epoch, epoch-second, 1000)
	}
	a := r.Take()
	if len(a.Endpoints) > maxRecordedEndpoints || len(a.Responses) > maxRecordedResponses || a.Dropped == 0 {
		t.Error(len(a.Endpoints), len(a.Responses), a.Dropped)
	}
	if b := r.Take(); len(b.Endpoints)+len(b.Responses)+b.Dropped != 0 {
		t.Errorf("%+v", b)
	}
	m := New(testSettings)
	for i := range 2 * maxPurges {
		m.Purged(epoch, "", int64(i), epoch)
	}
	for i := range 2 * maxEndpoints {
		m.EndpointsChanged(epoch, false, []policy.Endpoint{listed(fmt.Sprint("s", i), policy.EndpointGone, 0)})
	}
	for p := range uint64(2 * maxProcesses) {
		for range 2 * maxPending {
			m.Observe(epoch, p, a)
		}
	}
	if len(m.purges) > maxPurges || len(m.endpoints) > maxEndpoints || len(m.processes) > maxProcesses ||
		len(m.processes[0].pending) > maxPending || m.Dropped == 0 {
		t.Error(len(m.purges), len(m.endpoints), len(m.processes), m.Dropped)
	}
	m.EndpointsChanged(epoch+goneTTL+second, false, nil)
	if len(m.endpoints) != 0 {
		t.Errorf("%d endpoints that went long ago", len(m.endpoints))
	}
	var none *Recorder
	none.RecordAttempt(1, "a", "b", "page", true)
	none.RecordResponse("page", "x", 1, 1, 1, 1)
	if none.Take() != nil {
		t.Error("a nil recorder records")
	}
	// The work of an attempt is the mean sending time of responses.
	r.RecordAttempt(epoch, "a", "a", "page", true)
	if a := r.Take(); a.DuplicateAttempts != 1 || len(a.Endpoints) != 1 ||
		a.Endpoints[0].WorkMicros < 999 || a.Endpoints[0].WorkMicros > 1001 {
		t.Errorf("%+v", a)
	}
}
