package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"quilldoor/internal/emulator"
	"quilldoor/internal/scenario"
)

const (
	// upgradeAt is the time from the start of a run until all routers are upgraded.
	upgradeAt = 10 * time.Second
	// upgradeWindow is the time after upgradeAt in which requests are counted.
	upgradeWindow = 10 * time.Second
	// maxUpgradePlays limits how often a run is played when the machine is too busy.
	maxUpgradePlays = 4
	// minLatencyUS and maxLatencyUS bound the latency histograms, in microseconds.
	minLatencyUS = 1
	maxLatencyUS = 60_000_000
	// latencyDigits is the precision of the latency histograms.
	latencyDigits = 3
)

// errBusy reports that a run stayed inconclusive because the emulator ran late each time.
var errBusy = errors.New("inconclusive: the machine is too busy for the emulator")

// upgradeScenario is formatted with whether routers are supervised and the requests per second.
const upgradeScenario = `
settle_s: 5
length_s: 22
fleet: {offices: 3, routers: 1, trunks: 2, caches: 6, cores: 5, keep: %v, trial_s: 3}
load: {txns_per_s: %g, objects: 1500}
`

// changesOptions are the flags of changes.
type changesOptions struct {
	seeds        int
	requestsPerS float64
	consecutive  int
	routerBin    string
}

// changesCommand compares upgrades of router processes with runs without upgrades and with
// restarts.
func changesCommand() *cobra.Command {
	var options changesOptions
	command := &cobra.Command{
		Use:   "changes",
		Short: "Measure the cost of an upgrade of all routers, with router processes on loopback",
		Args:  cobra.NoArgs,
		Long: "Upgrades all routers of three offices at once, and compares this with calm runs, plain restarts and new\n" +
			"generations that crash. All cases use the same seeds. With --row N, upgrades one router N times in a row instead.",
		RunE: func(command *cobra.Command, _ []string) error {
			if options.consecutive > 0 {
				return options.upgradeConsecutively(command.Context())
			}
			return options.compareCases(command.Context())
		},
	}
	command.Flags().IntVar(&options.seeds, "seeds", 6, "number of runs for each case")
	command.Flags().Float64Var(&options.requestsPerS, "txns", 200, "requests per second, over all routers")
	command.Flags().IntVar(&options.consecutive, "row", 0, "number of upgrades of one router in a row; 0: compare the cases")
	command.Flags().StringVar(&options.routerBin, "router", "", routerFlagHelp)
	return command
}

// compareCases plays each upgrade case with each seed and prints a line of the table for each case.
func (o *changesOptions) compareCases(ctx context.Context) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer table.Flush()
	fmt.Fprintln(table, "case\truns\tweight earned in 10 s\tagainst calm\t95%\tp50 ms\tp99 ms\trefused\tbroken off\t"+
		"rules violated\trecovered after ms\told one gone after ms\tMB of a router\t")
	var baseline []float64
	for _, upgrade := range upgradeCases {
		total := newUpgradeFigures()
		for seed := range o.seeds {
			figures, err := o.play(ctx, uint64(seed+1), upgrade)
			if err != nil {
				return fmt.Errorf("%s, seed %d: %w", upgrade.name, seed+1, err)
			}
			total.add(figures)
		}
		if baseline == nil {
			baseline = total.earned
		}
		total.print(table, upgrade.name, baseline)
		table.Flush()
	}
	return nil
}

// play plays one run, and repeats it while it is inconclusive, maxUpgradePlays times at most.
func (o *changesOptions) play(ctx context.Context, seed uint64, upgrade upgradeCase) (*upgradeFigures, error) {
	for range maxUpgradePlays {
		s, err := scenario.Parse("changes", fmt.Appendf(nil, upgradeScenario, upgrade.supervised, o.requestsPerS))
		if err != nil {
			return nil, err
		}
		figures := newUpgradeFigures()
		window := newWindowRecorder(s, figures.latency)
		driver := &upgradeDriver{upgrade: upgrade, figures: figures}
		result, err := emulator.RunOnSockets(ctx, s,
			emulator.Options{Seed: seed, Record: window.record},
			emulator.SocketOptions{Program: o.routerBin, Drive: driver.drive})
		if result != nil && result.MaxDelay > emulator.MaxDelayMicros {
			continue
		}
		if err != nil {
			return nil, err
		}
		figures.earned = []float64{window.earned / max(window.offered, 1)}
		figures.peakMB = []float64{driver.peakMB}
		figures.refused = result.RefusedConnections
		figures.brokenOff = result.BrokenConnections
		figures.violations = len(result.Violations)
		return figures, nil
	}
	return nil, errBusy
}
