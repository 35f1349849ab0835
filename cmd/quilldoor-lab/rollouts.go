package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"

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

// rolloutDay is a set of faults during the rollout.
type rolloutDay struct {
	name     string
	faults   string // YAML of the scenario
	explicit bool   // played only for cases that name it
}

var rolloutDays = []rolloutDay{
	{name: "calm"},
	{name: "troubled", faults: `troubles:
  - {kind: die, at: 40, for: 10, share: 0.2}
  - {kind: purge, at: 60, share: 0.4}
  - {kind: office_lost, at: 80, for: 10, office: 3}
  - {kind: ledger_slow, at: 100, for: 20, strength: 2.5}
  - {kind: resets, at: 130, for: 20, share: 0.03}
  - {kind: die, at: 170, for: 10, share: 0.3}
  - {kind: late_reports, at: 200, for: 40, strength: 2}
  - {kind: burst, at: 230, for: 10, strength: 2}
`},
	{name: "purges and drains", explicit: true, faults: `troubles:
  - {kind: deploy, at: 30, for: 1, every: 12, strength: 1}
  - {kind: purge, at: 35, share: 0.5}
  - {kind: purge, at: 60, share: 0.5}
  - {kind: purge, at: 85, share: 0.5}
  - {kind: purge, at: 110, share: 0.5}
  - {kind: purge, at: 135, share: 0.5}
`},
}

// How a new program is rolled out.
const (
	modeJudged    = "judged"
	modeNoJudge   = "no judge"
	modeAtOnce    = "all at once"
	modeNoRollout = "no rollout"
)

// sameProgram is a rollout case without a change.
const sameProgram = "the same"

// rolloutCase is a new program and how it is rolled out.
type rolloutCase struct {
	program string
	day     string // empty: all days that are not explicit
	mode    string
	rolling emulator.RolloutOptions
}

var rolloutCases = []rolloutCase{
	{sameProgram, "", modeJudged, emulator.RolloutOptions{}},
	{"refuses 0.02", "", modeJudged, emulator.RolloutOptions{RejectShare: 0.02}},
	{"refuses 0.05", "", modeJudged, emulator.RolloutOptions{RejectShare: 0.05}},
	{"refuses 0.1", "", modeJudged, emulator.RolloutOptions{RejectShare: 0.1}},
	{"refuses 0.3", "", modeJudged, emulator.RolloutOptions{RejectShare: 0.3}},
	{"refuses 0.5 of acceptances", "", modeJudged, emulator.RolloutOptions{RejectShare: 0.5, RejectClass: "quote-accept"}},
	{"refuses 0.2 once all have it", "", modeJudged, emulator.RolloutOptions{RejectShare: 0.2, RejectOnceComplete: true}},
	{"a tenth slower", "", modeJudged, emulator.RolloutOptions{Slowdown: 0.1}},
	{"a fifth slower", "", modeJudged, emulator.RolloutOptions{Slowdown: 0.2}},
	{"half slower", "", modeJudged, emulator.RolloutOptions{Slowdown: 0.5}},
	{"refuses 0.1", "", modeNoJudge, emulator.RolloutOptions{RejectShare: 0.1, NoAnalysis: true}},
	{"refuses 0.1", "", modeAtOnce, emulator.RolloutOptions{RejectShare: 0.1, AllAtOnce: true}},
	{sameProgram, "", modeNoRollout, emulator.RolloutOptions{StartS: 1e9}},
	{sameProgram, "purges and drains", modeJudged, emulator.RolloutOptions{}},
	{"deaf to purges", "purges and drains", modeJudged, emulator.RolloutOptions{MissesPurges: true}},
	{"deaf to drains", "purges and drains", modeJudged, emulator.RolloutOptions{MissesDrains: true}},
}

// on reports whether the case is played on a day.
func (c *rolloutCase) on(day rolloutDay) bool {
	if c.day == "" {
		return !day.explicit
	}
	return c.day == day.name
}

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
	c := &cobra.Command{
		Use:   "rollouts",
		Short: "Rollouts of the same and of worse programs through 24 routers; simulated",
		Args:  cobra.NoArgs,
		RunE:  func(c *cobra.Command, _ []string) error { return options.run(c.Context()) },
	}
	f := c.Flags()
	f.IntVar(&options.runs, "runs", 40, "of each row")
	f.StringVar(&options.day, "day", "", "one of the days; default: all")
	f.StringVar(&options.program, "variant", "", "one of the programs; default: all")
	f.IntVar(&options.sameRuns, "same", 200, "runs of each row with the same program, judged")
	f.Float64Var(&options.watchS, "watch", 240, "seconds that the first stage is watched at most; the second: half of it")
	f.Float64Var(&options.lengthS, "length", 600, "simulated seconds")
	return c
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
			runs := o.runs
			if c.mode == modeJudged && c.program == sameProgram {
				runs = o.sameRuns
			}
			results, err := playRollouts(ctx, day, c, plan, o.lengthS, runs)
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

// rolloutFigures are the figures of a case over all runs. Times are in seconds.
type rolloutFigures struct {
	runs, done, rolledBack, paused int
	rolledBackAt                   [rolloutStages]int // by stage
	earned                         []float64          // share of the offered weight
	harmed                         float64            // requests, mean over the runs
	undecidedS                     []float64          // from the first harm until the rollback began
	harmToEndS                     []float64          // from the first harm until all were back
	doneAfterS                     []float64
	violations                     [rolloutRuleNumbers]int // by rule
	accused                        int                     // routers
}

func summarize(results []*emulator.RolloutResult) *rolloutFigures {
	f := &rolloutFigures{runs: len(results)}
	for _, result := range results {
		f.add(result)
	}
	return f
}

// add counts a run.
func (f *rolloutFigures) add(result *emulator.RolloutResult) {
	f.earned = append(f.earned, result.EarnedShare())
	f.harmed += float64(result.HarmedRequests) / float64(f.runs)
	f.accused += result.AccusedRouters
	for rule, n := range result.CountByRule {
		f.violations[rule] += n
	}
	switch result.Phase {
	case rollout.PhaseDone:
		f.done++
		f.doneAfterS = append(f.doneAfterS, result.EndS)
	case rollout.PhaseRolledBack, rollout.PhaseRollingBack:
		f.rolledBack++
		f.rolledBackAt[result.Stage]++
		if result.FirstHarmS > 0 {
			f.undecidedS = append(f.undecidedS, result.RollbackStartS-result.FirstHarmS)
			f.harmToEndS = append(f.harmToEndS, result.EndS-result.FirstHarmS)
		}
	case rollout.PhasePaused, rollout.PhaseForward:
		f.paused++
	}
}

// print writes the figures as the rest of a line of the table.
func (f *rolloutFigures) print(to io.Writer) {
	fmt.Fprintf(to, "%d\t%d\t%d\t%d\t", f.runs, f.done, f.rolledBack, f.paused)
	for _, n := range f.rolledBackAt {
		fmt.Fprintf(to, "%d\t", n)
	}
	fmt.Fprintf(to, "%.4f\t%.0f\t", stat.Mean(f.earned, nil), f.harmed)
	fmt.Fprintf(to, "%s\t%s\t", quantile(f.undecidedS, 0.5), quantile(f.undecidedS, 1))
	fmt.Fprintf(to, "%s\t%s\t", quantile(f.harmToEndS, 1), quantile(f.doneAfterS, 0.5))
	fmt.Fprintf(to, "%v\t%d\t\n", f.violations[1:], f.accused)
}

// quantile formats a quantile of a list of seconds.
func quantile(list []float64, q float64) string {
	if len(list) == 0 {
		return "-"
	}
	sorted := slices.Sorted(slices.Values(list))
	return fmt.Sprintf("%.0f", stat.Quantile(q, stat.Empirical, sorted, nil))
}
