package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"quilldoor/internal/emulator"
	"quilldoor/internal/faultsearch"
	"quilldoor/internal/scenario"
)

// huntOptions are the flags of hunt.
type huntOptions struct {
	draws              int
	seed               uint64
	jobs               int
	reducePerViolation int
	maxPlays           int
	outFolder          string
	space              faultsearch.Space
}

// huntCommand searches random scenarios for violated rules.
func huntCommand() *cobra.Command {
	options := huntOptions{space: faultsearch.DefaultSpace()}
	command := &cobra.Command{
		Use:   "hunt",
		Short: "Search random scenarios for violated rules and reduce those that violate one; simulated",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return options.run(command.Context()) },
	}
	flags := command.Flags()
	space := &options.space
	flags.IntVar(&options.draws, "days", 500, "number of scenarios to draw")
	flags.Uint64Var(&options.seed, "seed", 1, "seed of the random scenarios")
	flags.IntVar(&options.jobs, "jobs", runtime.NumCPU(), "scenarios played at once")
	flags.IntVar(&options.reducePerViolation, "shrink", 2, "number of scenarios to reduce for each kind of violation")
	flags.IntVar(&options.maxPlays, "plays", 300, "maximum number of runs to reduce one scenario")
	flags.StringVar(&options.outFolder, "out", "", "folder for the reduced scenarios; default: print them")
	flags.BoolVar(&space.Membership, "members", space.Membership, "also draw fleets with membership")
	flags.BoolVar(&space.Sites, "sites", space.Sites, "also draw fleets of two sites")
	flags.IntVar(&space.MaxFaults, "most", space.MaxFaults, "maximum number of faults of a scenario")
	flags.Float64Var(&space.LengthS, "length", space.LengthS, "length of a scenario in seconds")
	flags.StringSliceVar(&space.FaultKinds, "kinds", nil, "kinds of faults to draw; default: all")
	return command
}

// run searches, prints a summary and the reduced scenarios, and returns errViolation if any scenario
// violated a rule.
func (o *huntOptions) run(ctx context.Context) error {
	for _, kind := range o.space.FaultKinds {
		if _, known := scenario.FaultKinds[kind]; !known {
			return fmt.Errorf("--kinds: unknown kind of fault %q", kind)
		}
	}
	findings, err := o.search(ctx)
	if err != nil {
		return err
	}
	byViolation := map[string][]*faultsearch.Finding{}
	for _, finding := range findings {
		if finding.Violation != "" {
			byViolation[finding.Violation] = append(byViolation[finding.Violation], finding)
		}
	}
	o.printSummary(findings, byViolation)
	reduced, err := o.reduce(ctx, byViolation)
	if err != nil {
		return err
	}
	for _, finding := range reduced {
		if err := o.write(finding); err != nil {
			return err
		}
	}
	if len(byViolation) > 0 {
		return errViolation
	}
	return nil
}

// search draws scenarios, plays them and returns a finding for each, in the order of the draw.
func (o *huntOptions) search(ctx context.Context) ([]*faultsearch.Finding, error) {
	findings := make([]*faultsearch.Finding, o.draws)
	err := parallel(o.draws, o.jobs, func(i int) error {
		s := faultsearch.Draw(rand.New(rand.NewPCG(o.seed, uint64(i))), o.space)
		violation, earned := playDrawn(ctx, s)
		findings[i] = &faultsearch.Finding{Number: i + 1, Violation: violation, EarnedShare: earned, Scenario: s}
		return nil
	})
	return findings, errors.Join(err, ctx.Err())
}

// reduce shrinks the first reducePerViolation scenarios of each kind of violation.
func (o *huntOptions) reduce(
	ctx context.Context, byViolation map[string][]*faultsearch.Finding,
) ([]*faultsearch.Finding, error) {
	var chosen []*faultsearch.Finding
	for _, violation := range slices.Sorted(maps.Keys(byViolation)) {
		findings := byViolation[violation]
		chosen = append(chosen, findings[:min(o.reducePerViolation, len(findings))]...)
	}
	err := parallel(len(chosen), o.jobs, func(i int) error {
		finding := chosen[i]
		finding.Scenario, _ = faultsearch.Shrink(finding.Scenario, func(s *scenario.Scenario) bool {
			violation, earned := playDrawn(ctx, s)
			if violation != finding.Violation {
				return false
			}
			finding.EarnedShare = earned
			return true
		}, o.maxPlays)
		return nil
	})
	return chosen, err
}

// earnedShareSteps is the number of steps that sorting tells apart in an earned share, which lies
// between 0 and 1.
const earnedShareSteps = 1e6

// printSummary prints the number of scenarios for each kind of violation, and the distribution of
// the earned share over all scenarios.
func (o *huntOptions) printSummary(findings []*faultsearch.Finding, byViolation map[string][]*faultsearch.Finding) {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "scenarios\t%d\t\n", o.draws)
	for _, violation := range slices.Sorted(maps.Keys(byViolation)) {
		found := byViolation[violation]
		fmt.Fprintf(table, "%s\t%d\t%s\n", violation, len(found), formatNumbers(found))
	}
	table.Flush()
	sorted := slices.Clone(findings)
	slices.SortFunc(sorted, func(a, b *faultsearch.Finding) int {
		return int(earnedShareSteps * (a.EarnedShare - b.EarnedShare))
	})
	sum := 0.0
	for _, finding := range sorted {
		sum += finding.EarnedShare
	}
	fmt.Printf("weight earned: mean %.4f, least %.3f (scenario %d), a twentieth under %.3f, half under %.3f\n",
		sum/float64(o.draws), sorted[0].EarnedShare, sorted[0].Number,
		sorted[o.draws/20].EarnedShare, sorted[o.draws/2].EarnedShare)
}

// write prints a reduced scenario, or writes it to a file in outFolder if that is set.
func (o *huntOptions) write(finding *faultsearch.Finding) error {
	text, err := faultsearch.Marshal(finding.Scenario)
	if err != nil {
		return err
	}
	if o.outFolder == "" {
		fmt.Printf("\n# %v\n%s", finding, text)
		return nil
	}
	if err := os.MkdirAll(o.outFolder, 0o755); err != nil {
		return err
	}
	path := filepath.Join(o.outFolder, fmt.Sprintf("day-%d.yaml", finding.Number))
	return os.WriteFile(path, fmt.Appendf(nil, "# %v\n%s", finding, text), 0o644)
}

// playDrawn plays a scenario on the virtual clock. The violation names the violated rules and is
// empty if there are none. A panic or an error counts as a violation, so that the search continues
// and can reduce the scenario.
func playDrawn(ctx context.Context, s *scenario.Scenario) (violation string, earnedShare float64) {
	defer func() {
		if r := recover(); r != nil {
			violation = fmt.Sprintf("panic: %v", r)
		}
	}()
	result, err := emulator.RunVirtual(ctx, s, emulator.Options{Seed: s.Seed})
	if err != nil {
		return "error: " + err.Error(), 0
	}
	var rules []string
	for rule, count := range result.CountByRule {
		if count > 0 {
			rules = append(rules, fmt.Sprint("rule ", rule))
		}
	}
	return strings.Join(rules, ", "), result.EarnedShare()
}

// formatNumbers formats the numbers of the first findings, maxShown at most.
func formatNumbers(findings []*faultsearch.Finding) string {
	const maxShown = 12
	var numbers []string
	for _, finding := range findings[:min(maxShown, len(findings))] {
		numbers = append(numbers, fmt.Sprint(finding.Number))
	}
	if len(findings) > maxShown {
		numbers = append(numbers, "...")
	}
	return strings.Join(numbers, " ")
}
