package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"quilldoor/internal/emulator"
	"quilldoor/internal/rollout"
	"quilldoor/internal/scenario"
)

const (
	rolloutRouters   = 24
	routersPerOffice = 2
	rolloutTrialS    = 3  // seconds that the upgrade of a router takes
	rolloutStartS    = 20 // seconds from the start of a run
	rolloutStages    = 3
	ruleArrayLength  = 6 // length of a count by rule: the checker numbers its rules from 1
)

// rolloutScenario is formatted with the length in seconds and the YAML of a set of faults.
const rolloutScenario = `
settle_s: 15
length_s: %g
fleet: {offices: 12, routers: 2, trunks: 3, caches: 3, cores: 4, link_share: 0.6}
load: {txns_per_s: 240, objects: 3000}
%s`

// rolloutsOptions are the flags of rollouts.
type rolloutsOptions struct {
	runs     int
	sameRuns int
	faultSet string
	program  string
	watchS   float64
	lengthS  float64
}

// rolloutsCommand simulates rollouts of the same program and of faulty ones.
func rolloutsCommand() *cobra.Command {
	var options rolloutsOptions
	command := &cobra.Command{
		Use:   "rollouts",
		Short: "Compare rollouts of the same program and of faulty programs to 24 routers; simulated",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return options.run(command.Context()) },
	}
	flags := command.Flags()
	flags.IntVar(&options.runs, "runs", 40, "number of runs for each table line")
	flags.StringVar(&options.faultSet, "day", "", "play only with the set of faults of this name; default: all")
	flags.StringVar(&options.program, "variant", "", "play only the new program of this name; default: all")
	flags.IntVar(&options.sameRuns, "same", 200, "number of runs for each table line with the same program and canary analysis")
	flags.Float64Var(&options.watchS, "watch", 240,
		"maximum seconds to watch the first stage; the second stage is watched for half as long")
	flags.Float64Var(&options.lengthS, "length", 600, "length of a run in simulated seconds")
	return command
}

// run plays the selected cases with the selected sets of faults, and prints a line of the table for
// each combination.
func (o *rolloutsOptions) run(ctx context.Context) error {
	plan, err := rolloutPlan(o.watchS)
	if err != nil {
		return err
	}
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer table.Flush()
	fmt.Fprintln(table, "day\tnew program\tmode\truns\tdone\trolled back\tpaused\tat stage 1\t2\t3\tweight earned\t"+
		"requests harmed\trolled back s after first harm, p50\tmost\tall back s after\tend s p50\t"+
		"rules violated by number\trouters accused\t")
	for _, faultSet := range rolloutFaultSets {
		if o.faultSet != "" && o.faultSet != faultSet.name {
			continue
		}
		for i := range rolloutCases {
			c := &rolloutCases[i]
			if !c.playedWith(faultSet) || o.program != "" && o.program != c.program {
				continue
			}
			results, err := playRollouts(ctx, faultSet, c, plan, o.lengthS, o.runCount(c))
			if err != nil {
				return err
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t", faultSet.name, c.program, c.mode)
			summarize(results).print(table)
			table.Flush()
		}
	}
	return nil
}

// runCount returns the number of runs of a case.
func (o *rolloutsOptions) runCount(c *rolloutCase) int {
	if c.mode == modeAnalyzed && c.program == sameProgram {
		return o.sameRuns
	}
	return o.runs
}

// rolloutPlan returns a plan for 24 routers of twelve offices in three stages.
func rolloutPlan(watchS float64) (*rollout.Plan, error) {
	var plan strings.Builder
	fmt.Fprintf(&plan, "name: trial\nprogram: /opt/new\nsilent_s: 30\nrouters:\n")
	for i := range rolloutRouters {
		fmt.Fprintf(&plan, "  - {name: n%d, office: o%d}\n", i, i/routersPerOffice)
	}
	fmt.Fprintf(&plan, "stages:\n  - {routers: [n0, n6], watch_s: %g, least_s: 20}\n", watchS)
	fmt.Fprintf(&plan, "  - {share: 0.5, watch_s: %g, least_s: 20}\n", watchS/2)
	fmt.Fprintf(&plan, "  - {share: 1, watch_s: 20, least_s: 20}\n")
	return rollout.ParsePlan("plan.yaml", []byte(plan.String()))
}

// playRollouts plays a case once with each seed from 1 on.
func playRollouts(
	ctx context.Context, faultSet rolloutFaultSet, c *rolloutCase, plan *rollout.Plan, lengthS float64, runs int,
) ([]*emulator.RolloutResult, error) {
	options := c.options
	options.Plan = plan
	options.TrialS = rolloutTrialS
	if options.StartS == 0 {
		options.StartS = rolloutStartS
	}
	results := make([]*emulator.RolloutResult, runs)
	err := parallel(runs, runtime.NumCPU(), func(i int) error {
		s, err := scenario.Parse(faultSet.name, fmt.Appendf(nil, rolloutScenario, lengthS, faultSet.faults))
		if err != nil {
			return err
		}
		results[i], err = emulator.VirtualRollout(ctx, s, uint64(i+1), options)
		return err
	})
	return results, err
}
