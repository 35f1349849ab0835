package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"quilldoor/internal/emulator"
	"quilldoor/internal/rollout"
	"quilldoor/internal/scenario"
)

// rolloutCostScenario is formatted with the length in seconds and the requests per second.
const rolloutCostScenario = `
settle_s: 3
length_s: %g
fleet: {offices: 4, routers: 2, trunks: 2, caches: 5, cores: 5, link_share: 0.8, keep: true, trial_s: 2, members: true}
load: {txns_per_s: %g, objects: 800}
`

const (
	// maxRolloutCostPlays limits how often a run is played when the machine is too busy.
	maxRolloutCostPlays = 3
	// rolloutPollInterval is the time between polls of the routers' rollout status.
	rolloutPollInterval = 200 * time.Millisecond
	// startingRouter is the index of the router that receives the command to start. Any router
	// accepts it.
	startingRouter = 1
)

// rolloutCostOptions are the flags of rollout-cost.
type rolloutCostOptions struct {
	seeds        int
	requestsPerS float64
	lengthS      float64
	routerBin    string
}

// rolloutCostCommand compares runs in which eight router processes roll out the program that they
// already run with runs without a rollout. Both use the same seeds.
func rolloutCostCommand() *cobra.Command {
	var options rolloutCostOptions
	command := &cobra.Command{
		Use:   "rollout-cost",
		Short: "Measure the cost of a rollout of the same program to eight router processes on loopback, against calm runs",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return options.run(command.Context()) },
	}
	command.Flags().IntVar(&options.seeds, "seeds", 4, "number of seeds, each played with and without a rollout")
	command.Flags().Float64Var(&options.requestsPerS, "txns", 240, "requests per second, over all routers")
	command.Flags().Float64Var(&options.lengthS, "length", 100, "length of a run in seconds")
	command.Flags().StringVar(&options.routerBin, "router", "", routerFlagHelp)
	return command
}

// run plays the seeds without and with a rollout, and prints the difference in earned weight.
func (o *rolloutCostOptions) run(ctx context.Context) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer table.Flush()
	fmt.Fprintln(table, "seed\tcase\tweight earned\trequests\trefused\tbroken off\trules violated\tended after s\tCPU s\t")
	var baselineEarned, rolloutEarned []float64
	for seed := uint64(1); seed <= uint64(o.seeds); seed++ {
		earned, err := o.playRow(ctx, table, seed, "calm", false)
		if err != nil {
			return err
		}
		baselineEarned = append(baselineEarned, earned)
		earned, err = o.playRow(ctx, table, seed, "rollout", true)
		if err != nil {
			return err
		}
		rolloutEarned = append(rolloutEarned, earned)
		table.Flush()
	}
	mean, halfWidth := pairedDifference(baselineEarned, rolloutEarned)
	fmt.Printf("a rollout against a calm run: %+.4f +- %.4f\n", mean, halfWidth)
	return nil
}

// playRow plays a run, writes its line of the table and returns the share of the weight earned.
func (o *rolloutCostOptions) playRow(
	ctx context.Context, to io.Writer, seed uint64, name string, withRollout bool,
) (float64, error) {
	result, took, err := o.play(ctx, seed, withRollout)
	if err != nil {
		return 0, fmt.Errorf("%s, seed %d: %w", name, seed, err)
	}
	fmt.Fprintf(to, "%d\t%s\t%.4f\t%d\t%d\t%d\t%d\t%.0f\t%.1f\t\n",
		seed, name, result.EarnedShare(), result.Judged, result.RefusedConnections, result.BrokenConnections,
		len(result.Violations), took.Seconds(), result.Cost.CPU.Seconds())
	return result.EarnedShare(), nil
}

// play plays one run, and repeats it while it is inconclusive, maxRolloutCostPlays times at most. It
// returns the duration of the rollout, or 0 without one.
func (o *rolloutCostOptions) play(
	ctx context.Context, seed uint64, withRollout bool,
) (*emulator.Result, time.Duration, error) {
	for range maxRolloutCostPlays {
		s, err := scenario.Parse("rollout", fmt.Appendf(nil, rolloutCostScenario, o.lengthS, o.requestsPerS))
		if err != nil {
			return nil, 0, err
		}
		var took time.Duration
		drive := func(ctx context.Context, routers *emulator.RunningRouters) error {
			if !withRollout {
				return nil
			}
			start := time.Now()
			defer func() { took = time.Since(start) }()
			return driveRollout(ctx, routers, time.Duration(o.lengthS)*time.Second)
		}
		result, err := emulator.RunOnSockets(ctx, s, emulator.Options{Seed: seed},
			emulator.SocketOptions{Program: o.routerBin, Drive: drive})
		if result == nil || result.MaxDelay <= emulator.MaxDelayMicros {
			return result, took, err
		}
	}
	return nil, 0, errBusy
}

// driveRollout rolls out the running program to all routers again. It starts the rollout once all
// routers have recovered their state, and returns when it is done.
func driveRollout(ctx context.Context, routers *emulator.RunningRouters, limit time.Duration) error {
	status, err := routers.Status(0)
	if err != nil {
		return err
	}
	plan := sameProgramPlan(routers, status.Settled.Program)
	if err := os.WriteFile(routers.PlanPath(), []byte(plan), 0o600); err != nil {
		return err
	}
	started := false
	lastStatus := ""
	for deadline := time.Now().Add(limit); time.Now().Before(deadline) && ctx.Err() == nil; time.Sleep(rolloutPollInterval) {
		poll := pollRollout(routers)
		if started && poll.done {
			return nil
		}
		lastStatus = cmp.Or(poll.lastStatus, lastStatus)
		if !started && poll.ready == routers.Count() {
			if _, err := routers.Rollout(startingRouter, rollout.CommandStart); err != nil {
				return err
			}
			started = true
		}
	}
	return fmt.Errorf("rollout not done after %v, last status: %s", limit, lastStatus)
}

// rolloutPoll summarizes one poll of all routers' rollout status.
type rolloutPoll struct {
	ready      int    // routers that have recovered their state
	done       bool   // at least one router reports that the rollout is done
	lastStatus string // phase and reason reported by the last router that answered; empty: none did
}

// pollRollout requests the rollout status of every router. Routers that return an error are skipped.
func pollRollout(routers *emulator.RunningRouters) rolloutPoll {
	var poll rolloutPoll
	for router := range routers.Count() {
		status, err := routers.Rollout(router, rollout.CommandNone)
		if err != nil {
			continue // a router whose process is being replaced briefly has no status
		}
		poll.lastStatus = status.Phase + ": " + status.Reason
		poll.done = poll.done || status.Phase == rollout.PhaseDone.String()
		if !status.Recovering {
			poll.ready++
		}
	}
	return poll
}

// sameProgramPlan returns a rollout plan in YAML with three stages: the first router, half of the
// routers, and all of them.
func sameProgramPlan(routers *emulator.RunningRouters, program string) string {
	var plan strings.Builder
	fmt.Fprintf(&plan, "name: cost\nprogram: %s\nsilent_s: 15\n", program)
	fmt.Fprintf(&plan, "guards: {most_loss: 0.25, loss: 0.05, refusals: 0.05, failures: 0.05}\nrouters:\n")
	for router := range routers.Count() {
		name, office := routers.Name(router)
		fmt.Fprintf(&plan, "  - {name: %s, office: %s}\n", name, office)
	}
	first, _ := routers.Name(0)
	fmt.Fprintf(&plan, "stages:\n  - {routers: [%s], watch_s: 40, least_s: 2}\n", first)
	fmt.Fprint(&plan, "  - {share: 0.5, watch_s: 30, least_s: 2}\n  - {share: 1, watch_s: 2, least_s: 2}\n")
	return plan.String()
}
