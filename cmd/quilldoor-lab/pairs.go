package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"quilldoor/internal/emulator"
	"quilldoor/internal/scenario"
	"quilldoor/scenarios"
)

// pairsCommand plays rehearsals with and without routers that know each other, the
// same seeds on both sides.
func pairsCommand() *cobra.Command {
	var seeds int
	var shares []float64
	c := &cobra.Command{Use: "pairs SCRIPT...", Short: "Rehearsals with members off and on, paired by seed; simulated", Args: cobra.MinimumNArgs(1)}
	c.Flags().IntVar(&seeds, "seeds", 16, "of each")
	c.Flags().Float64SliceVar(&shares, "killed", nil, "play each with so many of the routers killed by its first router_dies")
	c.RunE = func(c *cobra.Command, names []string) error {
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
		defer w.Flush()
		fmt.Fprintln(w, "script\tkilled\toff: mean\tworst\tbreaks\tpushed over\ton: mean\tworst\tbreaks\tpushed over\tdifference\t95%\t")
		for _, name := range names {
			for _, share := range append(slices.Clone(shares), -1)[:max(len(shares), 1)] {
				off, err := playAll(c.Context(), name, share, seeds, false)
				if err != nil {
					return err
				}
				on, err := playAll(c.Context(), name, share, seeds, true)
				if err != nil {
					return err
				}
				diff := make([]float64, seeds)
				for i := range diff {
					diff[i] = on.worth[i] - off.worth[i]
				}
				mean, dev := stat.MeanStdDev(diff, nil)
				half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(seeds - 1)}.Quantile(0.975) * dev / math.Sqrt(float64(seeds))
				killed := "as told"
				if share >= 0 {
					killed = fmt.Sprintf("%.0f%%", 100*share)
				}
				fmt.Fprintf(w, "%s\t%s\t%.4f\t%.4f\t%d\t%d\t%.4f\t%.4f\t%d\t%d\t%+.4f\t%.4f\t\n", name, killed, stat.Mean(off.worth, nil), slices.Min(off.worth), off.breaks,
					off.fallen, stat.Mean(on.worth, nil), slices.Min(on.worth), on.breaks, on.fallen, mean, half)
				w.Flush()
			}
		}
		return nil
	}
	return c
}

type played struct {
	worth          []float64
	breaks, fallen int
}

func playAll(ctx context.Context, name string, share float64, seeds int, members bool) (p played, err error) {
	p.worth = make([]float64, seeds)
	var mu sync.Mutex
	var all sync.WaitGroup
	places := make(chan struct{}, max(runtime.NumCPU()-1, 1))
	for i := range seeds {
		all.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			s, e := scenarios.Load(name)
			var r *emulator.Result
			if e == nil {
				s.Fleet.Membership = members
				if share >= 0 {
					kill(s, share)
				}
				r, e = emulator.Virtual(ctx, s, emulator.Options{Seed: uint64(i + 1)})
			}
			mu.Lock()
			defer mu.Unlock()
			if e != nil {
				err = e
				return
			}
			p.worth[i] = r.Worth()
			p.breaks += len(r.Breaks)
			p.fallen += r.Fallen
		})
	}
	all.Wait()
	return p, err
}

func kill(s *scenario.Scenario, share float64) {
	for i := range s.Faults {
		if s.Faults[i].Kind == "router_dies" {
			s.Faults[i].Share = share
			return
		}
	}
}
