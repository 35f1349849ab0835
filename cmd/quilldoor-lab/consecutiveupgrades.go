package main

import (
	"context"
	"fmt"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"quilldoor/internal/emulator"
	"quilldoor/internal/handoff"
	"quilldoor/internal/scenario"
)

// consecutiveScenario is formatted with the number of upgrades, each of which has a second, and the
// requests per second.
const consecutiveScenario = `
settle_s: 1
length_s: %d
fleet: {offices: 1, routers: 1, trunks: 1, caches: 12, cores: 6, link_share: 0.6, parents: 2, keep: true, trial_s: 0.5}
load: {txns_per_s: %g}
`

// upgradeConsecutively upgrades one router o.consecutive times in a row and prints the results.
func (o *changesOptions) upgradeConsecutively(ctx context.Context) error {
	s, err := scenario.Parse("row", fmt.Appendf(nil, consecutiveScenario, o.consecutive, o.requestsPerS))
	if err != nil {
		return err
	}
	driver := &consecutiveDriver{upgrades: o.consecutive, durations: newLatencyHistogram()}
	socketOptions := emulator.SocketOptions{Program: o.routerBin, Drive: driver.drive}
	result, err := emulator.RunOnSockets(ctx, s, emulator.Options{Seed: 1}, socketOptions)
	if err != nil {
		return err
	}
	fmt.Printf("%d upgrades, each with a trial of 0.5 s, took p50 %d, at most %d ms; "+
		"%d requests judged, %d connections refused, %d broken off, rules violated: %v; weight earned %.4f; "+
		"%d MB and %d descriptors of all processes at the most; the model was %d ms late\n",
		o.consecutive, driver.durations.ValueAtQuantile(50)/microsPerMilli, driver.durations.Max()/microsPerMilli,
		result.Judged, result.RefusedConnections, result.BrokenConnections, result.Violations, result.EarnedShare(),
		driver.status.PeakMB, driver.status.PeakDescriptors, result.MaxDelay/microsPerMilli)
	return nil
}

// consecutiveDriver upgrades the first router of a run several times in a row.
type consecutiveDriver struct {
	upgrades  int
	durations *hdrhistogram.Histogram // of each upgrade, in microseconds
	status    *handoff.Status         // after the last upgrade
}

// drive performs the upgrades and then reads the status of the router's supervisor.
func (d *consecutiveDriver) drive(_ context.Context, routers *emulator.RunningRouters) (err error) {
	for i := range d.upgrades {
		start := time.Now()
		if err := applyUpgrade(routers, 0); err != nil {
			return fmt.Errorf("upgrade %d of %d: %w", i+1, d.upgrades, err)
		}
		d.durations.RecordValue(time.Since(start).Microseconds())
	}
	d.status, err = routers.Status(0)
	return err
}
