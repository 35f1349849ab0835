package main

import (
	"strings"
	"testing"
	"time"

	"quilldoor/internal/emulator"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/settings"
)

// Guards against router processes that violate an invariant while endpoints, discovery and
// routers fail in all kinds of ways.
func TestEmulatedFaults(t *testing.T) {
	t.Parallel()
	result, err := playWithOwnProgram(t, `
length_s: 7
settle_s: 1
fleet: {offices: 2, routers: 1, caches: 3, cold_s: 2, death_ms: 500, board_ms: 200}
load: {txns_per_s: 60, objects: 500}
troubles:
  - {kind: die, at: 1.5, for: 1.5, office: 1, share: 0.34}
  - {kind: silent, at: 2, for: 2, office: 2, share: 0.34}
  - {kind: purge, at: 2.5, share: 0.5}
  - {kind: spoilt, at: 1, for: 3, share: 0.02}
  - {kind: resets, at: 1, for: 3, share: 0.02}
  - {kind: endless, at: 1, for: 3, share: 0.02}
  - {kind: ledger_resets, at: 3, for: 2, share: 0.1}
  - {kind: router_dies, at: 4, for: 0.7, share: 0.5}
  - {kind: deploy, at: 4.5, for: 1, every: 0.5, strength: 1, office: 2}
`, emulator.Options{})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range result.Violations {
		t.Error(violation)
	}
	answered := 0
	for _, class := range result.Classes {
		for phase, outcomes := range class.Phases {
			answered += outcomes.InTime + outcomes.Late
			if outcomes.InTime+outcomes.Late+outcomes.Rejected+outcomes.Failed != outcomes.Requests {
				t.Errorf("%s in %s: %+v", class.Name, phase, *outcomes)
			}
		}
	}
	if answered < 200 || result.Collapsed > 0 || result.Judged < answered {
		t.Errorf("%d answered, %d judged, %d overloaded", answered, result.Judged, result.Collapsed)
	}
}

// Guards against a run that continues, or does not report the reason, when a router process
// ends.
func TestDeadRouterEndsTheRun(t *testing.T) {
	began := time.Now()
	invalid := emulator.Options{Settings: func(s *settings.Setup) { s.Classes[0].Effect = "odd" }}
	_, err := playWithOwnProgram(t, "length_s: 60\nfleet: {offices: 1, trunks: 1}\n", invalid)
	if err == nil || !strings.Contains(err.Error(), "settings.Classes[0].Effect") || time.Since(began) > 30*time.Second {
		t.Fatalf("after %v: %v", time.Since(began), err)
	}
	tooLarge := "fleet: {offices: 100, routers: 5, caches: 10}\nload: {txns_per_s: 10}\n"
	_, err = playWithOwnProgram(t, tooLarge, emulator.Options{})
	if err == nil || !strings.Contains(err.Error(), "listeners") {
		t.Fatalf("more listeners than the machine has: %v", err)
	}
}

// Guards against gateways that lose a request, execute it twice or serve a copy older than a
// purge, while the link between their sites is cut and a router is killed.
func TestEmulatedSites(t *testing.T) {
	for name, text := range map[string]string{
		"two": `
length_s: 9
settle_s: 1
fleet: {offices: 2, trunks: 2, caches: 2, cores: 3, link_share: 0.2, board_ms: 200,
  sites: 2, site_ms: 5}
load: {txns_per_s: 70, objects: 2000, weights: [3, 0.3]}
troubles:
  - {kind: purge, at: 3, share: 0.4}
  - {kind: site_cut, at: 4, for: 0.4}
  - {kind: site_cut, at: 5.5, for: 1.8}
`,
		"four": `
length_s: 9
settle_s: 1
fleet: {offices: 4, trunks: 2, caches: 2, cores: 3, link_share: 0.2, board_ms: 200, death_ms: 500,
  sites: 2, site_ms: 5}
load: {txns_per_s: 110, objects: 2000, weights: [2, 0.3, 2, 0.3]}
troubles:
  - {kind: ledger_resets, at: 2, for: 5, share: 0.1}
  - {kind: site_cut, at: 3, for: 1.5}
  - {kind: router_dies, at: 5, for: 0.8, share: 0.25}
  - {kind: resets, at: 2, for: 5, share: 0.02}
`,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			forwarded := 0
			result, err := playWithOwnProgram(t, text, emulator.Options{Record: func(e *eventlog.Entry) {
				if e.Kind == eventlog.KindForwarded {
					forwarded++
				}
			}})
			if err != nil {
				t.Fatal(err)
			}
			for _, violation := range result.Violations {
				t.Error(violation)
			}
			t.Logf("%d judged, %d forwarded to another site", result.Judged, forwarded)
			if forwarded < 3 {
				t.Errorf("%d requests forwarded: too few for a conclusion", forwarded)
			}
		})
	}
}
