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
	rolloutRouters     = 24
	routersPerOffice   = 2
	rolloutTrialS      = 3  // seconds of a new generation's trial
	rolloutStartS      = 20 // seconds into a run
	rolloutStages      = 3
	rolloutRuleNumbers = 6 // the checker's rules count from 1
)

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
	day      string
	program  string
	watchS   float64
	lengthS  float64
}

// rolloutsCommand plays rollouts of good and of worse programs.
func rolloutsCommand() *cobra.Command {
	var options rolloutsOptions
	command := &cobra.Command{
		Use:   "rollouts",
		Short: "Rollouts of the same and of worse programs through 24 routers; simulated",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return options.run(command.Context()) },
	}
	flags := command.Flags()
	flags.IntVar(&options.runs, "runs", 40, "of each row")
	flags.StringVar(&options.day, "day", "", "one of the days; default: all")
	flags.StringVar(&options.program, "variant", "", "one of the programs; default: all")
	flags.IntVar(&options.sameRuns, "same", 200, "runs of each row with the same program, judged")
	flags.Float64Var(&options.watchS, "watch", 240,
		"seconds that the first stage is watched at most; the second: half of it")
	flags.Float64Var(&options.lengthS, "length", 600, "simulated seconds")
	return command
}

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
	for _, day := range rolloutDays {
		if o.day != "" && o.day != day.name {
			continue
		}
		for i := range rolloutCases {
			c := &rolloutCases[i]
			if !c.on(day) || o.program != "" && o.program != c.program {
				continue
			}
			results, err := playRollouts(ctx, day, c, plan, o.lengthS, o.runsOf(c))
			if err != nil {
				return err
			}
			fmt.Fprintf(table, "%s\t%s\t%s\t", day.name, c.program, c.mode)
			summarize(results).print(table)
			table.Flush()
		}
	}
	return nil
}

// runsOf is how often a case is played.
func (o *rolloutsOptions) runsOf(c *rolloutCase) int {
	if c.mode == modeJudged && c.program == sameProgram {
		return o.sameRuns
	}
	return o.runs
}

// rolloutPlan is a plan for 24 routers of twelve offices in three stages.
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

// playRollouts plays a case once with each seed.
func playRollouts(
	ctx context.Context, day rolloutDay, c *rolloutCase, plan *rollout.Plan, lengthS float64, runs int,
) ([]*emulator.RolloutResult, error) {
	rolling := c.rolling
	rolling.Plan = plan
	rolling.TrialS = rolloutTrialS
	if rolling.StartS == 0 {
		rolling.StartS = rolloutStartS
	}
	results := make([]*emulator.RolloutResult, runs)
	err := parallel(runs, runtime.NumCPU(), func(i int) error {
		s, err := scenario.Parse(day.name, fmt.Appendf(nil, rolloutScenario, lengthS, day.faults))
		if err != nil {
			return err
		}
		results[i], err = emulator.VirtualRollout(ctx, s, uint64(i+1), rolling)
		return err
	})
	return results, err
}
