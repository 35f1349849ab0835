package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"runtime"
	"slices"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"

	"quilldoor/internal/emulator"
	"quilldoor/internal/scenario"
	"quilldoor/scenarios"
)

// unchangedShare keeps the share of killed routers that the scenario sets.
const unchangedShare = -1

// pairsCommand compares scenarios without and with membership, both played with the same seeds.
func pairsCommand() *cobra.Command {
	var seeds int
	var killedShares []float64
	command := &cobra.Command{
		Use:   "pairs SCENARIO...",
		Short: "Compare scenarios without and with membership, paired by seed; simulated",
		Args:  cobra.MinimumNArgs(1),
	}
	command.Flags().IntVar(&seeds, "seeds", 16, "number of seeds for each scenario, without and with membership")
	command.Flags().Float64SliceVar(&killedShares, "killed", nil,
		"shares of the routers that the first router_dies of a scenario kills; default: the scenario's own")
	command.RunE = func(command *cobra.Command, names []string) error {
		if len(killedShares) == 0 {
			killedShares = []float64{unchangedShare}
		}
		table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
		defer table.Flush()
		fmt.Fprintln(table, "scenario\tkilled\toff: mean\tworst\tviolations\toverloaded\t"+
			"on: mean\tworst\tviolations\toverloaded\tdifference\t95%\t")
		for _, name := range names {
			for _, share := range killedShares {
				if err := comparePair(command.Context(), table, name, share, seeds); err != nil {
					return err
				}
				table.Flush()
			}
		}
		return nil
	}
	return command
}

// comparePair plays a scenario without and with membership and writes its line of the table.
func comparePair(ctx context.Context, to io.Writer, name string, killedShare float64, seeds int) error {
	off, err := playSeeds(ctx, name, killedShare, seeds, false)
	if err != nil {
		return err
	}
	on, err := playSeeds(ctx, name, killedShare, seeds, true)
	if err != nil {
		return err
	}
	mean, halfWidth := pairedDifference(off.earned, on.earned)
	killed := "unchanged"
	if killedShare >= 0 {
		killed = fmt.Sprintf("%.0f%%", 100*killedShare)
	}
	fmt.Fprintf(to, "%s\t%s\t%s\t%s\t%+.4f\t%.4f\t\n", name, killed, off, on, mean, halfWidth)
	return nil
}

// seedFigures are the results of a scenario over all seeds.
type seedFigures struct {
	earned     []float64 // share of the offered weight, by seed
	violations int
	overloaded int // servers that collapsed while they warmed up
}

// String formats the four cells of the table: mean, worst, violations and overloaded.
func (f *seedFigures) String() string {
	return fmt.Sprintf("%.4f\t%.4f\t%d\t%d", stat.Mean(f.earned, nil), slices.Min(f.earned), f.violations, f.overloaded)
}

// playSeeds plays a scenario once with each seed from 1 on. It leaves one core free.
func playSeeds(
	ctx context.Context, name string, killedShare float64, seeds int, membership bool,
) (*seedFigures, error) {
	results := make([]*emulator.Result, seeds)
	err := parallel(seeds, runtime.NumCPU()-1, func(i int) error {
		s, err := scenarios.Load(name)
		if err != nil {
			return err
		}
		s.Fleet.Membership = membership
		if killedShare >= 0 {
			setKilledShare(s, killedShare)
		}
		results[i], err = emulator.RunVirtual(ctx, s, emulator.Options{Seed: uint64(i + 1)})
		return err
	})
	if err != nil {
		return nil, err
	}
	figures := new(seedFigures)
	for _, result := range results {
		figures.earned = append(figures.earned, result.EarnedShare())
		figures.violations += len(result.Violations)
		figures.overloaded += result.Collapsed
	}
	return figures, nil
}

// setKilledShare sets the share of the routers that the first router_dies of a scenario kills.
func setKilledShare(s *scenario.Scenario, share float64) {
	for i := range s.Faults {
		if s.Faults[i].Kind == scenario.KindRouterKill {
			s.Faults[i].Share = share
			return
		}
	}
}
