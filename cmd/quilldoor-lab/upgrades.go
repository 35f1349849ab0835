package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"

	"quilldoor/internal/emulator"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/handoff"
	"quilldoor/internal/scenario"
)

const (
	// upgradeAt is when all routers are upgraded, and upgradeWindow how long the figures count
	// from then on.
	upgradeAt     = 10 * time.Second
	upgradeWindow = 10 * time.Second
	// upgradeSettleTime is how long an upgrade may take until the old process is gone.
	upgradeSettleTime = 10 * time.Second
	// upgradeTries is how often a run is played when the machine is too busy for it.
	upgradeTries = 4
	// maxLatencyUS bounds the latency histograms, in microseconds.
	maxLatencyUS = 60_000_000
	// latencyDigits is the precision of the latency histograms.
	latencyDigits = 3
)

// errBusy says that a run was undecided because the emulation itself was late.
var errBusy = errors.New("undecided: the machine is too busy")

const upgradeScenario = `
settle_s: 5
length_s: 22
fleet: {offices: 3, routers: 1, trunks: 2, caches: 6, cores: 5, keep: %v, trial_s: 3}
load: {txns_per_s: %g, objects: 1500}
`

// upgradeCase is something that is done to all routers at once.
type upgradeCase struct {
	name       string
	supervised bool
	act        func(routers *emulator.Supervised, router int) error
}

// upgradeCases begin with the baseline that the others are compared with.
var upgradeCases = []upgradeCase{
	{"calm", true, func(*emulator.Supervised, int) error { return nil }},
	{"change", true, applyUpgrade},
	{"crash on trial", true, crashOnTrial},
	{"restart", false, func(routers *emulator.Supervised, router int) error { return routers.Restart(router) }},
}

// applyUpgrade asks a router's supervisor for a new generation.
func applyUpgrade(routers *emulator.Supervised, router int) error {
	reply, err := routers.Ask(router, &handoff.Message{Kind: handoff.KindApply})
	if err != nil {
		return err
	}
	if !reply.OK {
		return fmt.Errorf("router %d: %s", router, reply.Note)
	}
	return nil
}

// crashOnTrial kills the new generation while it is on trial.
func crashOnTrial(routers *emulator.Supervised, router int) error {
	applied := make(chan error, 1)
	go func() {
		_, err := routers.Ask(router, &handoff.Message{Kind: handoff.KindApply})
		applied <- err
	}()
	status, err := routers.WaitStatus(router, upgradeSettleTime, func(s *handoff.Status) bool {
		return s.State == "on trial" && s.Next != nil
	})
	if err != nil {
		return err
	}
	time.Sleep(time.Second)
	if err := routers.Signal(router, status.Next.PID, syscall.SIGKILL); err != nil {
		return err
	}
	return <-applied
}

// changesOptions are the flags of changes.
type changesOptions struct {
	seeds        int
	requestsPerS float64
	row          int
	routerBin    string
}

// changesCommand compares upgrades of router processes with calm runs and restarts.
func changesCommand() *cobra.Command {
	var options changesOptions
	c := &cobra.Command{
		Use:   "changes",
		Short: "What an upgrade of all routers costs, on loopback against router processes",
		Args:  cobra.NoArgs,
		Long: "All routers of three offices are upgraded at once, beside calm runs, plain restarts and new generations\n" +
			"that crash; the same seeds on all sides. --row N: one router is upgraded N times in a row instead.",
		RunE: func(c *cobra.Command, _ []string) error {
			if options.row > 0 {
				return options.upgradeInARow(c.Context())
			}
			return options.compareCases(c.Context())
		},
	}
	c.Flags().IntVar(&options.seeds, "seeds", 6, "of each")
	c.Flags().Float64Var(&options.requestsPerS, "txns", 200, "requests a second, over all routers")
	c.Flags().IntVar(&options.row, "row", 0, "upgrades of one router, one after another")
	c.Flags().StringVar(&options.routerBin, "router", "", routerFlagHelp)
	return c
}

func (o *changesOptions) compareCases(ctx context.Context) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer table.Flush()
	fmt.Fprintln(table, "case\truns\tweight earned in 10 s\tagainst calm\t95%\tp50 ms\tp99 ms\trefused\tbroken off\t"+
		"rules violated\trecovered after ms\told one gone after ms\tMB of a router\t")
	var calm []float64
	for _, upgrade := range upgradeCases {
		total := newUpgradeFigures()
		for seed := range o.seeds {
			figures, err := o.play(ctx, uint64(seed+1), upgrade)
			if err != nil {
				return fmt.Errorf("%s, seed %d: %w", upgrade.name, seed+1, err)
			}
			total.add(figures)
		}
		if calm == nil {
			calm = total.earned
		}
		total.print(table, upgrade.name, calm)
		table.Flush()
	}
	return nil
}

// upgradeFigures are the figures of one run, or of all runs of a case.
type upgradeFigures struct {
	earned     []float64 // share of the offered weight in the window, by run
	latency    *hdrhistogram.Histogram
	refused    int // connections
	brokenOff  int // connections
	violations int
	recoveryMS []float64 // of crashed generations
	drainedMS  []float64 // until the old generation's process was gone
	peakMB     []float64 // of the largest router, by run
}

func newUpgradeFigures() *upgradeFigures {
	return &upgradeFigures{latency: hdrhistogram.New(1, maxLatencyUS, latencyDigits)}
}

func (f *upgradeFigures) add(run *upgradeFigures) {
	f.earned = append(f.earned, run.earned...)
	f.latency.Merge(run.latency)
	f.refused += run.refused
	f.brokenOff += run.brokenOff
	f.violations += run.violations
	f.recoveryMS = append(f.recoveryMS, run.recoveryMS...)
	f.drainedMS = append(f.drainedMS, run.drainedMS...)
	f.peakMB = append(f.peakMB, run.peakMB...)
}

// print writes the figures as a line of the table.
func (f *upgradeFigures) print(to io.Writer, name string, calm []float64) {
	mean, halfWidth := pairedDifference(calm, f.earned)
	fmt.Fprintf(to, "%s\t%d\t%.4f\t%+.4f\t%.4f\t", name, len(f.earned), stat.Mean(f.earned, nil), mean, halfWidth)
	p50, p99 := f.latency.ValueAtQuantile(50), f.latency.ValueAtQuantile(99)
	fmt.Fprintf(to, "%.1f\t%.1f\t", float64(p50)/1000, float64(p99)/1000)
	fmt.Fprintf(to, "%d\t%d\t%d\t", f.refused, f.brokenOff, f.violations)
	fmt.Fprintf(to, "%s\t%s\t%.0f\t\n", largest(f.recoveryMS), largest(f.drainedMS), stat.Mean(f.peakMB, nil))
}

// largest formats the largest number of a list.
func largest(list []float64) string {
	if len(list) == 0 {
		return "-"
	}
	return fmt.Sprintf("%.0f", slices.Max(list))
}

// play plays one run, again if it was undecided.
func (o *changesOptions) play(ctx context.Context, seed uint64, upgrade upgradeCase) (*upgradeFigures, error) {
	for range upgradeTries {
		s, err := scenario.Parse("changes", fmt.Appendf(nil, upgradeScenario, upgrade.supervised, o.requestsPerS))
		if err != nil {
			return nil, err
		}
		figures := newUpgradeFigures()
		window := newWindowRecorder(s, figures.latency)
		driver := &upgradeDriver{upgrade: upgrade, figures: figures}
		result, err := emulator.RunOnSockets(ctx, s,
			emulator.Options{Seed: seed, Record: window.record},
			emulator.Routers{Program: o.routerBin, Drive: driver.drive})
		if result != nil && result.MaxDelay > emulator.MaxLateMicros {
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

// windowRecorder counts the requests that came within the window after the upgrade.
type windowRecorder struct {
	weights         map[string]float64 // priority weight by traffic class
	open            map[string]openRequest
	latency         *hdrhistogram.Histogram
	earned, offered float64 // weight
}

// openRequest is a request without a response so far.
type openRequest struct {
	at    int64 // microseconds
	class string
}

func newWindowRecorder(s *scenario.Scenario, latency *hdrhistogram.Histogram) *windowRecorder {
	w := &windowRecorder{weights: map[string]float64{}, open: map[string]openRequest{}, latency: latency}
	for _, class := range s.Classes() {
		w.weights[class.Name] = class.PriorityWeight
	}
	return w
}

// record takes the events of the run in order.
func (w *windowRecorder) record(e *eventlog.Entry) {
	from, to := upgradeAt.Microseconds(), (upgradeAt + upgradeWindow).Microseconds()
	switch e.Kind {
	case eventlog.KindTaken:
		if e.At >= from && e.At < to {
			w.open[e.Request] = openRequest{at: e.At, class: e.Class}
			w.offered += w.weights[e.Class]
		}
	case eventlog.KindAnswered:
		if request, ok := w.open[e.Request]; ok && e.Outcome == "completed" {
			w.latency.RecordValue(e.At - request.at)
			w.earned += w.weights[request.class]
		}
	}
}

// upgradeDriver upgrades all routers of a run.
type upgradeDriver struct {
	upgrade upgradeCase

	mu      sync.Mutex
	figures *upgradeFigures
	peakMB  float64
}

// drive acts on all routers at once and waits until they are steady again.
func (d *upgradeDriver) drive(_ context.Context, routers *emulator.Supervised) error {
	time.Sleep(upgradeAt)
	began := time.Now()
	done := make(chan error, routers.Count())
	for router := range routers.Count() {
		go func() { done <- d.upgradeOne(routers, router, began) }()
	}
	for range routers.Count() {
		if err := <-done; err != nil {
			return err
		}
	}
	return nil
}

func (d *upgradeDriver) upgradeOne(routers *emulator.Supervised, router int, began time.Time) error {
	if err := d.upgrade.act(routers, router); err != nil {
		return err
	}
	if !d.upgrade.supervised {
		return nil
	}
	status, err := routers.WaitStatus(router, upgradeSettleTime, func(s *handoff.Status) bool {
		return s.State == "steady" && s.DrainingProcesses == 0
	})
	if err != nil {
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.figures.drainedMS = append(d.figures.drainedMS, float64(time.Since(began).Milliseconds()))
	d.figures.recoveryMS = append(d.figures.recoveryMS, float64(status.LastCrashMS))
	d.peakMB = max(d.peakMB, float64(status.PeakMB))
	return nil
}

const rowScenario = `
settle_s: 1
length_s: %d
fleet: {offices: 1, routers: 1, trunks: 1, caches: 12, cores: 6, link_share: 0.6, parents: 2, keep: true, trial_s: 0.5}
load: {txns_per_s: %g}
`

// upgradeInARow upgrades one router again and again.
func (o *changesOptions) upgradeInARow(ctx context.Context) error {
	s, err := scenario.Parse("row", fmt.Appendf(nil, rowScenario, o.row, o.requestsPerS))
	if err != nil {
		return err
	}
	latency := hdrhistogram.New(1, maxLatencyUS, latencyDigits)
	var last *handoff.Status
	drive := func(_ context.Context, routers *emulator.Supervised) error {
		for i := range o.row {
			began := time.Now()
			if err := applyUpgrade(routers, 0); err != nil {
				return fmt.Errorf("upgrade %d: %w", i+1, err)
			}
			latency.RecordValue(time.Since(began).Microseconds())
		}
		var err error
		last, err = routers.Status(0)
		return err
	}
	r, err := emulator.RunOnSockets(ctx, s, emulator.Options{Seed: 1}, emulator.Routers{Program: o.routerBin, Drive: drive})
	if err != nil {
		return err
	}
	fmt.Printf("%d upgrades, each with a trial of 0.5 s, took p50 %d, at most %d ms; "+
		"%d requests judged, %d connections refused, %d broken off, rules violated: %v; weight earned %.4f; "+
		"%d MB and %d descriptors of all processes at the most; the model was %d ms late\n",
		o.row, latency.ValueAtQuantile(50)/1000, latency.Max()/1000,
		r.Judged, r.RefusedConnections, r.BrokenConnections, r.Violations, r.EarnedShare(),
		last.PeakMB, last.PeakDescriptors, r.MaxDelay/1000)
	return nil
}
