package main

import (
	"context"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"

	"quilldoor/internal/emulate"
	"quilldoor/internal/rollout"
	"quilldoor/internal/script"
)

// rolloutDays are what happens meanwhile.
var rolloutDays = []struct{ name, troubles string }{
	{"calm", ""},
	{"troubled", `troubles:
  - {kind: die, at: 40, for: 10, share: 0.2}
  - {kind: purge, at: 60, share: 0.4}
  - {kind: office_lost, at: 80, for: 10, office: 3}
  - {kind: ledger_slow, at: 100, for: 20, strength: 2.5}
  - {kind: resets, at: 130, for: 20, share: 0.03}
  - {kind: die, at: 170, for: 10, share: 0.3}
  - {kind: late_reports, at: 200, for: 40, strength: 2}
  - {kind: burst, at: 230, for: 10, strength: 2}
`}}

// rolloutPlan is for 24 routers of twelve offices.
func rolloutPlan(watch float64) (*rollout.Plan, error) {
	var b strings.Builder
	fmt.Fprintf(&b, "name: trial\nprogram: /opt/new\nsilent_s: 30\nrouters:\n")
	for i := range 24 {
		fmt.Fprintf(&b, "  - {name: n%d, office: o%d}\n", i, i/2)
	}
	fmt.Fprintf(&b, "stages:\n  - {routers: [n0, n6], watch_s: %g, least_s: 20}\n  - {share: 0.5, watch_s: %g, least_s: 20}\n  - {share: 1, watch_s: 20, least_s: 20}\n", watch, watch/2)
	return rollout.ParsePlan("plan.yaml", []byte(b.String()))
}

func rolloutsCommand() *cobra.Command {
	var runs, same int
	var watch, length float64
	var only string
	c := &cobra.Command{Use: "rollouts", Short: "Rollouts of the same and of worse programs through 24 routers; simulated", Args: cobra.NoArgs}
	c.Flags().IntVar(&runs, "runs", 40, "of each row")
	c.Flags().StringVar(&only, "day", "", "calm or troubled; else both")
	c.Flags().IntVar(&same, "same", 200, "of each row with the same program")
	c.Flags().Float64Var(&watch, "watch", 240, "seconds that the first stage is watched at the most, half of it the second")
	c.Flags().Float64Var(&length, "length", 600, "simulated seconds")
	c.RunE = func(c *cobra.Command, _ []string) error {
		plan, err := rolloutPlan(watch)
		if err != nil {
			return err
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
		defer w.Flush()
		fmt.Fprintln(w, "day\tnew program refuses\thow\truns\tdone\tturned back\theld\tat stage 1\t2\tworth\ttxns harmed\tturned s after first harm, p50\tmost\tall back s after\tend s p50\trules broken\t")
		for _, day := range rolloutDays {
			if only != "" && only != day.name {
				continue
			}
			for _, x := range []struct {
				refuses float64
				how     string
				runs    int
			}{{0, "judged", same}, {0.02, "judged", runs}, {0.05, "judged", runs}, {0.1, "judged", runs}, {0.3, "judged", runs},
				{0.1, "no judge", runs / 2}, {0.1, "all at once", runs / 2}, {0, "no rollout", runs}} {
				if err := rolloutRow(c.Context(), w, day.name, day.troubles, length, plan, x.refuses, x.how, x.runs); err != nil {
					return err
				}
				w.Flush()
			}
		}
		return nil
	}
	return c
}

func rolloutRow(ctx context.Context, w *tabwriter.Writer, day, troubles string, length float64, plan *rollout.Plan, refuses float64, how string, runs int) error {
	list := make([]*emulate.Rolled, runs)
	errs := make([]error, runs)
	var all sync.WaitGroup
	places := make(chan struct{}, max(runtime.NumCPU(), 1))
	for i := range runs {
		all.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			s, err := script.Parse(day, fmt.Appendf(nil, "settle_s: 15\nlength_s: %g\nfleet: {offices: 12, routers: 2, trunks: 3, caches: 3, cores: 4, link_share: 0.6}\nload: {txns_per_s: 240, objects: 3000}\n%s", length, troubles))
			if err == nil {
				set := emulate.Rolling{Plan: plan, StartS: 20, TrialS: 3, Refuses: refuses, NoJudge: how == "no judge", AtOnce: how == "all at once"}
				if how == "no rollout" {
					set.StartS = 1e9
				}
				list[i], err = emulate.VirtualRollout(ctx, s, uint64(i+1), set)
			}
			errs[i] = err
		})
	}
	all.Wait()
	var worth, turned, back, ended []float64
	done, undone, held, harmed, breaks := 0, 0, 0, 0.0, 0
	var stages [3]int
	for i, r := range list {
		if errs[i] != nil {
			return errs[i]
		}
		worth = append(worth, r.Worth())
		harmed += float64(r.Harmed) / float64(runs)
		breaks += len(r.Breaks)
		switch r.Way {
		case rollout.Done:
			done++
			ended = append(ended, r.EndedS)
		case rollout.Undone, rollout.Backward:
			undone++
			stages[r.Stage]++
			if r.HarmedS > 0 {
				turned, back = append(turned, r.TurnedS-r.HarmedS), append(back, r.EndedS-r.HarmedS)
			}
		case rollout.Holding, rollout.Forward:
			held++
		}
	}
	told := func(l []float64, q float64) string {
		if len(l) == 0 {
			return "-"
		}
		slices.Sort(l)
		return fmt.Sprintf("%.0f", stat.Quantile(q, stat.Empirical, l, nil))
	}
	fmt.Fprintf(w, "%s\t%.2f\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.4f\t%.0f\t%s\t%s\t%s\t%s\t%d\t\n", day, refuses, how, runs, done, undone, held, stages[0], stages[1],
		stat.Mean(worth, nil), harmed, told(turned, 0.5), told(turned, 1), told(back, 1), told(ended, 0.5), breaks)
	return nil
}
