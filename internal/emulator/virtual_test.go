package emulator

import (
	"bytes"
	"context"
	"encoding/json"
	"strings"
	"testing"

	"quilldoor/internal/eventlog"
	"quilldoor/internal/scenario"
	"quilldoor/internal/settings"
	"quilldoor/internal/simulation"
	"quilldoor/scenarios"
)

func play(t *testing.T, s *scenario.Scenario, opt Options) *Result {
	t.Helper()
	if opt.Seed == 0 {
		opt.Seed = 1
	}
	r, err := RunVirtual(context.Background(), s, opt)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func load(t *testing.T, name string) *scenario.Scenario {
	t.Helper()
	s, err := scenarios.Load(name)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Each scenario is played twice: the same to the byte, event log included, and the router
// violates no rule.
func TestScenariosAreRepeatable(t *testing.T) {
	names := scenarios.Names()
	if len(names) < 12 {
		t.Fatalf("%d rehearsals", len(names))
	}
	for _, name := range names {
		if load(t, name).LengthS > 120 { // for people to look at
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var first []byte
			for range 2 {
				var all bytes.Buffer
				enc := json.NewEncoder(&all)
				r := play(t, load(t, name), Options{Record: func(e *eventlog.Entry) { encode(t, enc, e) }})
				encode(t, enc, r)
				if first == nil {
					first = all.Bytes()
				} else if !bytes.Equal(first, all.Bytes()) {
					t.Fatal("two runs of one script and seed differ")
				}
				for _, b := range r.Violations {
					t.Error(b)
				}
				if r.Judged < 3000 || r.EarnedShare() < 0.6 {
					t.Errorf("%d tries judged, worth %.3f", r.Judged, r.EarnedShare())
				}
			}
		})
	}
}

// A router that ignores a rule violates this one and no other.
func TestFaultyRoutersAreCaught(t *testing.T) {
	for name, c := range map[string]struct {
		script string
		opt    Options
		rule   int
	}{
		"loses answers": {"calm", Options{AnswerCount: func(txn string, _ int) int {
			if strings.HasSuffix(txn, "77") {
				return 0
			}
			return 1
		}}, 1},
		"answers twice": {"calm", Options{AnswerCount: func(txn string, _ int) int {
			if strings.HasSuffix(txn, "77") {
				return 2
			}
			return 1
		}}, 1},
		"repeats acceptances": {"rude-answers", Options{Settings: func(s *settings.Setup) {
			s.Classes[scenario.ClassAccept].Effect = "safe"
		}}, 2},
		"deaf to drains": {"deploy-waves", Options{MissesUpdate: func(_ int, n simulation.DiscoveryEvent) bool {
			return !n.Purge && n.Servers[0].State != "active"
		}}, 3},
		"deaf to purges": {"blind-purge", Options{MissesUpdate: func(_ int, n simulation.DiscoveryEvent) bool { return n.Purge }}, 5},
	} {
		s := load(t, c.script)
		r := play(t, s, c.opt)
		if r.CountByRule[c.rule] == 0 {
			t.Errorf("%s: rule %d is kept, %v broken", name, c.rule, r.CountByRule)
		}
		for i, n := range r.CountByRule {
			if i != c.rule && n > 0 {
				t.Errorf("%s: rule %d broken %d times: %v", name, i, n, r.Violations[0])
			}
		}
	}
}

// coldStart is a fleet in which caches of an office come back cold under a load that the
// office can serve when it is warm.
func coldStart() *scenario.Scenario {
	s := scenario.Default()
	s.LengthS = 40
	s.Fleet.Offices, s.Fleet.Trunks, s.Fleet.Caches = 1, 1, 6
	s.Fleet.SlowStartFrom, s.Fleet.OverloadMultiple = 0.15, 1.5
	s.Load.RequestsPerS = 100
	s.Faults = []scenario.Fault{{Kind: "die", At: 15, For: 4, Share: 0.34}}
	return &s
}

// A router without slow start overloads cold caches until they fall; the real one does not.
func TestColdCachesFallUnderRoutersWithoutSlowStart(t *testing.T) {
	right := play(t, coldStart(), Options{})
	if right.Collapsed > 0 || right.CountByRule[4] > 0 {
		t.Fatalf("the right router pushed %d over: %v", right.Collapsed, right.Violations)
	}
	wrong := play(t, coldStart(), Options{Settings: func(s *settings.Setup) {
		s.Contract.ColdFrom, s.Contract.FallMultiple = 1, 1000
	}})
	if wrong.Collapsed == 0 || wrong.CountByRule[4] != wrong.Collapsed {
		t.Fatalf("%d fell, %d told", wrong.Collapsed, wrong.CountByRule[4])
	}
	if wrong.EarnedShare() >= right.EarnedShare() {
		t.Errorf("worth %.3f with fallen caches, %.3f without", wrong.EarnedShare(), right.EarnedShare())
	}
}

// Every request ends once, no link carries more than its rate, and no server works while it
// is down.
func TestRequestsEndOnceAndLinksHold(t *testing.T) {
	for _, name := range []string{"all-at-once", "rude-answers", "deploy-waves"} {
		s := load(t, name)
		up := map[string]bool{}
		dead := 0
		r := play(t, s, Options{Record: func(e *eventlog.Entry) {
			switch e.Kind {
			case eventlog.KindDown:
				up[e.Endpoint] = false
			case eventlog.KindStarted:
				up[e.Endpoint] = true
			case eventlog.KindArrived, eventlog.KindRan, eventlog.KindEffect:
				if alive, told := up[e.Endpoint]; told && !alive {
					dead++
				}
			}
		}})
		if dead > 0 {
			t.Errorf("%s: %d times a dead server worked", name, dead)
		}
		for _, k := range r.Classes {
			for p, o := range k.Phases {
				if ends := o.InTime + o.Late + o.Rejected + o.Failed; ends != o.Requests {
					t.Errorf("%s: %s in %s: %d asked, %d ends", name, k.Name, p, o.Requests, ends)
				}
			}
		}
		for _, second := range r.Timeline {
			if second.LinkUtilization > 1.0001 {
				t.Errorf("%s: a link at %.3f of its room", name, second.LinkUtilization)
			}
		}
	}
}

func encode(t *testing.T, encoder *json.Encoder, value any) {
	t.Helper()
	if err := encoder.Encode(value); err != nil {
		t.Error(err)
	}
}
