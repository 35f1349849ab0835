package main

import (
	"fmt"
	"os"
	"testing"

	"quilldoor/internal/emulator"
)

// Guards against routers that serve copies from before a purge, or send to endpoints that drain or are gone, because
// their discovery services are slow: late as a whole, busy with one poll at a time, slow to send a body, or silent on
// every second poll. Routers count as notified 6.2 s after an event or a little later; the platform says 7 s.
func TestSlowDiscoveryAmongProcesses(t *testing.T) {
	for name, members := range map[string]bool{"without gossip": false, "with gossip": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			result, err := playScenario(t, fmt.Sprintf(`
settle_s: 1
fleet: {offices: 3, routers: 2, trunks: 2, caches: 3, cores: 3, members: %v, board_ms: 200, death_ms: 500, cold_s: 2}
load: {txns_per_s: 90, objects: 800}
length_s: 24
troubles:
  - {kind: late_board, at: 0.1, for: 24, strength: 6}
  - {kind: deploy, at: 2.5, for: 1, every: 1, strength: 1, office: 1}
  - {kind: purge, at: 4, share: 0.9}
  - {kind: preempt, at: 5, for: 30, share: 0.5, office: 2, strength: 14}
  - {kind: purge, at: 9, share: 0.9}
  - {kind: purge, at: 13.3, share: 0.9}
`, members), emulator.Options{}, emulator.SocketOptions{Program: os.Args[0], SlowDiscovery: true})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("score %.3f, %d judged", result.EarnedShare(), result.Judged)
			for _, violation := range result.Violations {
				t.Error(violation)
			}
			if result.Judged < 1000 {
				t.Errorf("%d requests judged: too few for a conclusion", result.Judged)
			}
		})
	}
}
