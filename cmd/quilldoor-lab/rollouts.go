package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"quilldoor/internal/emulator"
	"quilldoor/internal/rollout"
	"quilldoor/internal/scenario"
)

// rolloutDays are what happens meanwhile.
var rolloutDays = []struct {
	name, troubles string
	own            bool // only for the variants that name it
}{
	{"calm", "", false},
	{"troubled", `troubles:
  - {kind: die, at: 40, for: 10, share: 0.2}
  - {kind: purge, at: 60, share: 0.4}
  - {kind: office_lost, at: 80, for: 10, office: 3}
  - {kind: ledger_slow, at: 100, for: 20, strength: 2.5}
  - {kind: resets, at: 130, for: 20, share: 0.03}
  - {kind: die, at: 170, for: 10, share: 0.3}
  - {kind: late_reports, at: 200, for: 40, strength: 2}
  - {kind: burst, at: 230, for: 10, strength: 2}
`, false},
	{"purges and drains", `troubles:
  - {kind: deploy, at: 30, for: 1, every: 12, strength: 1}
  - {kind: purge, at: 35, share: 0.5}
  - {kind: purge, at: 60, share: 0.5}
  - {kind: purge, at: 85, share: 0.5}
  - {kind: purge, at: 110, share: 0.5}
  - {kind: purge, at: 135, share: 0.5}
`, true},
}

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

// rolloutVariants are new programs, and how they go through.
var rolloutVariants = []struct {
	name string
	day  string // "": calm and troubled
	how  string
	set  emulator.Rolling
}{
	{"the same", "", "judged", emulator.Rolling{}},
	{"refuses 0.02", "", "judged", emulator.Rolling{Refuses: 0.02}},
	{"refuses 0.05", "", "judged", emulator.Rolling{Refuses: 0.05}},
	{"refuses 0.1", "", "judged", emulator.Rolling{Refuses: 0.1}},
	{"refuses 0.3", "", "judged", emulator.Rolling{Refuses: 0.3}},
	{"refuses 0.5 of acceptances", "", "judged", emulator.Rolling{Refuses: 0.5, Of: "quote-accept"}},
	{"refuses 0.2 once all have it", "", "judged", emulator.Rolling{Refuses: 0.2, OnlyAll: true}},
	{"a tenth slower", "", "judged", emulator.Rolling{Slower: 0.1}},
	{"a fifth slower", "", "judged", emulator.Rolling{Slower: 0.2}},
	{"half slower", "", "judged", emulator.Rolling{Slower: 0.5}},
	{"refuses 0.1", "", "no judge", emulator.Rolling{Refuses: 0.1, NoJudge: true}},
	{"refuses 0.1", "", "all at once", emulator.Rolling{Refuses: 0.1, AtOnce: true}},
	{"the same", "", "no rollout", emulator.Rolling{StartS: 1e9}},
	{"the same", "purges and drains", "judged", emulator.Rolling{}},
	{"deaf to purges", "purges and drains", "judged", emulator.Rolling{DeafPurges: true}},
	{"deaf to drains", "purges and drains", "judged", emulator.Rolling{DeafDrains: true}},
}

func rolloutsCommand() *cobra.Command {
	var runs, same int
	var watch, length float64
	var only, variant string
	c := &cobra.Command{Use: "rollouts", Short: "Rollouts of the same and of worse programs through 24 routers; simulated", Args: cobra.NoArgs}
	c.Flags().IntVar(&runs, "runs", 40, "of each row")
	c.Flags().StringVar(&only, "day", "", "one of the days; else all")
	c.Flags().StringVar(&variant, "variant", "", "one of the programs; else all")
	c.Flags().IntVar(&same, "same", 200, "of each row with the same program, judged")
	c.Flags().Float64Var(&watch, "watch", 240, "seconds that the first stage is watched at the most, half of it the second")
	c.Flags().Float64Var(&length, "length", 600, "simulated seconds")
	c.RunE = func(c *cobra.Command, _ []string) error {
		plan, err := rolloutPlan(watch)
		if err != nil {
			return err
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
		defer w.Flush()
		fmt.Fprintln(w, "day\tnew program\thow\truns\tdone\tturned back\theld\tat stage 1\t2\t3\tworth\ttxns harmed\tturned s after first harm, p50\tmost\tall back s after\tend s p50\trules broken by number\trouters accused\t")
		for _, day := range rolloutDays {
			for _, x := range rolloutVariants {
				if only != "" && only != day.name || variant != "" && variant != x.name || x.day != "" && x.day != day.name || x.day == "" && day.own {
					continue
				}
				n := runs
				if x.how == "judged" && x.name == "the same" {
					n = same
				}
				if err := rolloutRow(c.Context(), w, day.name, day.troubles, length, plan, x.name, x.how, x.set, n); err != nil {
					return err
				}
				w.Flush()
			}
		}
		return nil
	}
	return c
}

const costFleet = `
settle_s: 3
length_s: %g
fleet: {offices: 4, routers: 2, trunks: 2, caches: 5, cores: 5, link_share: 0.8, keep: true, trial_s: 2, members: true}
load: {txns_per_s: %g, objects: 800}
`

// rolloutCostCommand plays whole rollouts of the same program among eight router processes
// beside calm runs with the same seeds.
func rolloutCostCommand() *cobra.Command {
	var seeds int
	var txns, length float64
	var program string
	c := &cobra.Command{Use: "rollout-cost", Short: "What a rollout of the same program costs eight router processes on loopback, beside calm runs", Args: cobra.NoArgs}
	c.Flags().IntVar(&seeds, "seeds", 4, "of each")
	c.Flags().Float64Var(&txns, "txns", 240, "a second, over all routers")
	c.Flags().Float64Var(&length, "length", 100, "seconds of a run")
	c.Flags().StringVar(&program, "router", "", "the router's program; else quilldoor beside this one")
	c.RunE = func(c *cobra.Command, _ []string) error {
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
		defer w.Flush()
		fmt.Fprintln(w, "seed\twhat\tworth\ttxns\trefused\tbroken off\trules broken\tended after s\tCPU s\t")
		var diff []float64
		for seed := range uint64(seeds) {
			var worth [2]float64
			for i, what := range []string{"calm", "rollout"} {
				r, took, err := playRollout(c.Context(), program, seed+1, txns, length, i == 1)
				if err != nil {
					return fmt.Errorf("%s, seed %d: %w", what, seed+1, err)
				}
				worth[i] = r.Worth()
				fmt.Fprintf(w, "%d\t%s\t%.4f\t%d\t%d\t%d\t%d\t%.0f\t%.1f\t\n", seed+1, what, r.Worth(), r.Judged, r.Refused, r.Broke, len(r.Breaks), took.Seconds(), r.Cost.CPU.Seconds())
				w.Flush()
			}
			diff = append(diff, worth[1]-worth[0])
		}
		mean, dev := stat.MeanStdDev(diff, nil)
		half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(max(seeds-1, 1))}.Quantile(0.975) * dev / math.Sqrt(float64(seeds))
		fmt.Printf("a rollout against a calm run: %+.4f +- %.4f\n", mean, half)
		return nil
	}
	return c
}

func playRollout(ctx context.Context, program string, seed uint64, txns, length float64, rolls bool) (r *emulator.Result, took time.Duration, err error) {
	const tries = 3
	for range tries {
		var s *scenario.Scenario
		if s, err = scenario.Parse("rollout", fmt.Appendf(nil, costFleet, length, txns)); err != nil {
			return nil, 0, err
		}
		r, err = emulator.Sockets(ctx, s, emulator.Options{Seed: seed}, emulator.Routers{Program: program, Drive: func(ctx context.Context, k *emulator.Kept) error {
			if !rolls {
				return nil
			}
			began := time.Now()
			defer func() { took = time.Since(began) }()
			return rollThrough(ctx, k, time.Duration(length)*time.Second)
		}})
		if r == nil || r.Late <= emulator.TooLate {
			return r, took, err
		}
	}
	return nil, 0, errBusy
}

// rollThrough takes the program that runs through all routers once more.
func rollThrough(ctx context.Context, k *emulator.Kept, within time.Duration) error {
	st, err := k.Standing(0)
	if err != nil {
		return err
	}
	var b strings.Builder
	fmt.Fprintf(&b, "name: cost\nprogram: %s\nsilent_s: 15\nguards: {most_loss: 0.25, loss: 0.05, refusals: 0.05, failures: 0.05}\nrouters:\n", st.Settled.Program)
	for i := range k.Count() {
		name, office := k.Name(i)
		fmt.Fprintf(&b, "  - {name: %s, office: %s}\n", name, office)
	}
	first, _ := k.Name(0)
	fmt.Fprintf(&b, "stages:\n  - {routers: [%s], watch_s: 40, least_s: 2}\n  - {share: 0.5, watch_s: 30, least_s: 2}\n  - {share: 1, watch_s: 2, least_s: 2}\n", first)
	if err := os.WriteFile(k.Plan(), []byte(b.String()), 0o600); err != nil {
		return err
	}
	started := false
	var last string
	for end := time.Now().Add(within); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(200 * time.Millisecond) {
		ready := 0
		for i := range k.Count() {
			s, err := k.Rollout(i, 0)
			if err != nil {
				continue
			}
			if last = s.Phase + ": " + s.Reason; started && s.Phase == "done" {
				return nil
			}
			if !s.Recovering {
				ready++
			}
		}
		if !started && ready == k.Count() {
			if _, err := k.Rollout(1, rollout.CommandStart); err != nil {
				return err
			}
			started = true
		}
	}
	return fmt.Errorf("not through after %v: %s", within, last)
}

func rolloutRow(ctx context.Context, w *tabwriter.Writer, day, troubles string, length float64, plan *rollout.Plan, name, how string, set emulator.Rolling, runs int) error {
	set.Plan, set.TrialS = plan, 3
	if set.StartS == 0 {
		set.StartS = 20
	}
	list := make([]*emulator.Rolled, runs)
	errs := make([]error, runs)
	var all sync.WaitGroup
	places := make(chan struct{}, max(runtime.NumCPU(), 1))
	for i := range runs {
		all.Go(func() {
			places <- struct{}{}
			defer func() { <-places }()
			s, err := scenario.Parse(day, fmt.Appendf(nil, "settle_s: 15\nlength_s: %g\nfleet: {offices: 12, routers: 2, trunks: 3, caches: 3, cores: 4, link_share: 0.6}\nload: {txns_per_s: 240, objects: 3000}\n%s", length, troubles))
			if err == nil {
				list[i], err = emulator.VirtualRollout(ctx, s, uint64(i+1), set)
			}
			errs[i] = err
		})
	}
	all.Wait()
	var worth, turned, back, ended []float64
	done, undone, held, harmed, accused := 0, 0, 0, 0.0, 0
	var stages [3]int
	var breaks [6]int
	for i, r := range list {
		if errs[i] != nil {
			return errs[i]
		}
		worth = append(worth, r.Worth())
		harmed += float64(r.Harmed) / float64(runs)
		accused += r.Accused
		for rule, n := range r.Count {
			breaks[rule] += n
		}
		switch r.Way {
		case rollout.PhaseDone:
			done++
			ended = append(ended, r.EndedS)
		case rollout.PhaseRolledBack, rollout.PhaseRollingBack:
			undone++
			stages[r.Stage]++
			if r.HarmedS > 0 {
				turned, back = append(turned, r.TurnedS-r.HarmedS), append(back, r.EndedS-r.HarmedS)
			}
		case rollout.PhasePaused, rollout.PhaseForward:
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
	fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.4f\t%.0f\t%s\t%s\t%s\t%s\t%v\t%d\t\n", day, name, how, runs, done, undone, held, stages[0], stages[1], stages[2],
		stat.Mean(worth, nil), harmed, told(turned, 0.5), told(turned, 1), told(back, 1), told(ended, 0.5), breaks[1:], accused)
	return nil
}
