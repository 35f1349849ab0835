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

func play(t *testing.T, s *scenario.Scenario, options Options) *Result {
	t.Helper()
	if options.Seed == 0 {
		options.Seed = 1
	}
	result, err := RunVirtual(context.Background(), s, options)
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func load(t *testing.T, name string) *scenario.Scenario {
	t.Helper()
	s, err := scenarios.Load(name)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// Two runs of a scenario with the same seed must give the same bytes, event log included, and the
// router must violate no rule.
func TestScenariosAreRepeatable(t *testing.T) {
	names := scenarios.Names()
	if len(names) < 12 {
		t.Fatalf("%d scenarios, want at least 12", len(names))
	}
	for _, name := range names {
		if load(t, name).LengthS > 120 { // a demonstration, too long for a test
			continue
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var first []byte
			for range 2 {
				var output bytes.Buffer
				encoder := json.NewEncoder(&output)
				result := play(t, load(t, name), Options{Record: func(entry *eventlog.Entry) { encode(t, encoder, entry) }})
				encode(t, encoder, result)
				if first == nil {
					first = output.Bytes()
				} else if !bytes.Equal(first, output.Bytes()) {
					t.Fatal("two runs of one scenario and seed differ")
				}
				for _, violation := range result.Violations {
					t.Error(violation)
				}
				if result.Judged < 3000 || result.EarnedShare() < 0.6 {
					t.Errorf("%d requests checked, %.3f of the weight earned, want at least 3000 and 0.6",
						result.Judged, result.EarnedShare())
				}
			}
		})
	}
}

// The checker must report a router with one fault for the rule that the fault violates, and for no
// other rule.
func TestFaultyRoutersAreCaught(t *testing.T) {
	for name, test := range map[string]struct {
		scenario string
		options  Options
		rule     int
	}{
		"loses answers": {"calm", Options{AnswerCount: func(requestID string) int {
			if strings.HasSuffix(requestID, "77") {
				return 0
			}
			return 1
		}}, 1},
		"answers twice": {"calm", Options{AnswerCount: func(requestID string) int {
			if strings.HasSuffix(requestID, "77") {
				return 2
			}
			return 1
		}}, 1},
		"repeats acceptances": {"rude-answers", Options{Settings: func(s *settings.Setup) {
			s.Classes[scenario.ClassAccept].Effect = "safe"
		}}, 2},
		"misses drains": {"deploy-waves", Options{MissesUpdate: func(_ int, event simulation.DiscoveryEvent) bool {
			return !event.Purge && event.Endpoints[0].State != "active"
		}}, 3},
		"misses purges": {"blind-purge", Options{MissesUpdate: func(_ int, event simulation.DiscoveryEvent) bool {
			return event.Purge
		}}, 5},
	} {
		s := load(t, test.scenario)
		result := play(t, s, test.options)
		if result.CountByRule[test.rule] == 0 {
			t.Errorf("%s: no violation of rule %d; violations by rule: %v", name, test.rule, result.CountByRule)
		}
		for rule, count := range result.CountByRule {
			if rule != test.rule && count > 0 {
				t.Errorf("%s: rule %d violated %d times: %v", name, rule, count, result.Violations[0])
			}
		}
	}
}

// coldStart is a scenario in which caches of an office restart cold under a load that the office
// can serve only when they are warm.
func coldStart() *scenario.Scenario {
	s := scenario.Default()
	s.LengthS = 40
	s.Fleet.Offices, s.Fleet.Trunks, s.Fleet.Caches = 1, 1, 6
	s.Fleet.SlowStartFrom, s.Fleet.OverloadMultiple = 0.15, 1.5
	s.Load.RequestsPerS = 100
	s.Faults = []scenario.Fault{{Kind: "die", At: 15, For: 4, Share: 0.34}}
	return &s
}

// A router without slow start must overload cold caches until they collapse, and the checker must
// report each collapse. A router with slow start must let none collapse.
func TestColdCachesCollapseUnderRoutersWithoutSlowStart(t *testing.T) {
	correct := play(t, coldStart(), Options{})
	if correct.Collapsed > 0 || correct.CountByRule[4] > 0 {
		t.Fatalf("with slow start %d caches collapsed: %v", correct.Collapsed, correct.Violations)
	}
	faulty := play(t, coldStart(), Options{Settings: func(s *settings.Setup) {
		s.Contract.ColdFrom, s.Contract.FallMultiple = 1, 1000
	}})
	if faulty.Collapsed == 0 || faulty.CountByRule[4] != faulty.Collapsed {
		t.Fatalf("without slow start %d caches collapsed, %d violations of rule 4", faulty.Collapsed, faulty.CountByRule[4])
	}
	if faulty.EarnedShare() >= correct.EarnedShare() {
		t.Errorf("%.3f of the weight earned without slow start, %.3f with it", faulty.EarnedShare(), correct.EarnedShare())
	}
}

// Every request must end exactly once, no link may carry more than its rate, and no server may work
// while it is down.
func TestRequestsEndOnceAndLinksHold(t *testing.T) {
	for _, name := range []string{"all-at-once", "rude-answers", "deploy-waves"} {
		s := load(t, name)
		up := map[string]bool{}
		workedWhileDown := 0
		result := play(t, s, Options{Record: func(entry *eventlog.Entry) {
			switch entry.Kind {
			case eventlog.KindDown:
				up[entry.Endpoint] = false
			case eventlog.KindStarted:
				up[entry.Endpoint] = true
			case eventlog.KindArrived, eventlog.KindRan, eventlog.KindEffect:
				if alive, known := up[entry.Endpoint]; known && !alive {
					workedWhileDown++
				}
			}
		}})
		if workedWhileDown > 0 {
			t.Errorf("%s: servers worked %d times while they were down", name, workedWhileDown)
		}
		for _, class := range result.Classes {
			for phase, outcomes := range class.Phases {
				ends := outcomes.InTime + outcomes.Late + outcomes.Rejected + outcomes.Failed
				if ends != outcomes.Requests {
					t.Errorf("%s: %s in %s: %d requests, %d ends", name, class.Name, phase, outcomes.Requests, ends)
				}
			}
		}
		for _, second := range result.Timeline {
			if second.LinkUtilization > 1.0001 {
				t.Errorf("%s: a link at %.3f of its capacity", name, second.LinkUtilization)
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
