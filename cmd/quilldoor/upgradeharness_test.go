package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"quilldoor/internal/checker"
	"quilldoor/internal/emulator"
)

// supervisedFleet is one supervised router in front of caches and an origin.
const supervisedFleet = `
settle_s: 0.5
fleet: {offices: 1, routers: 1, trunks: 1, caches: 12, cores: 6, link_share: 0.6, parents: 2,
  keep: true, trial_s: 0.4, board_ms: 200, death_ms: 500, cold_s: 2}
`

// playUpgrades plays a scenario with supervised routers while drive upgrades them.
func playUpgrades(t *testing.T, text string, drive func(*emulator.RunningRouters) error) *emulator.Result {
	t.Helper()
	return playUpgradesWith(t, text, playOptions{}, drive)
}

// playOptions are options of a scenario with supervised routers.
type playOptions struct {
	allowed      func(checker.Violation) bool // violations that the program under test is meant to cause
	endWithDrive bool                         // the load ends when drive returns
}

// playUpgradesWith is playUpgrades with options.
func playUpgradesWith(
	t *testing.T, text string, options playOptions, drive func(*emulator.RunningRouters) error,
) *emulator.Result {
	t.Helper()
	result, err := playScenario(t, text, emulator.Options{}, emulator.SocketOptions{
		Program: os.Args[0], EndWithDrive: options.endWithDrive,
		Drive: func(_ context.Context, fleet *emulator.RunningRouters) error { return drive(fleet) },
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range result.Violations {
		if options.allowed == nil || !options.allowed(violation) {
			t.Error(violation)
		}
	}
	t.Logf("score %.4f, %d judged, %d excused, %d refused, %d broken off",
		result.EarnedShare(), result.Judged, result.Excused, result.RefusedConnections, result.BrokenConnections)
	if result.Judged < 150 {
		t.Errorf("%d requests: too few for a conclusion", result.Judged)
	}
	return result
}

// checkHealth returns an error unless a router's health endpoint answers with status 200.
func checkHealth(listen string) error {
	status, err := healthStatus(listen)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return fmt.Errorf("health: status %d", status)
	}
	return nil
}

// healthStatus requests a router's health endpoint on a new connection and returns the status.
func healthStatus(listen string) (int, error) {
	client := http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + listen + "/health")
	if err != nil {
		return 0, err
	}
	response.Body.Close()
	return response.StatusCode, nil
}
