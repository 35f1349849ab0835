package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"quilldoor/internal/emulator"
	"quilldoor/internal/faultsearch"
	"quilldoor/internal/scenario"
)

// huntCommand draws days by chance and plays them on the virtual clock.
func huntCommand() *cobra.Command {
	var days, jobs, shrink, plays int
	var seed uint64
	var out string
	space := faultsearch.Default()
	c := &cobra.Command{Use: "hunt", Short: "Look for days on which a rule breaks, drawn by chance and cut down to what matters; simulated", Args: cobra.NoArgs}
	f := c.Flags()
	f.IntVar(&days, "days", 500, "to draw")
	f.Uint64Var(&seed, "seed", 1, "of the draw")
	f.IntVar(&jobs, "jobs", runtime.NumCPU(), "days played at once")
	f.IntVar(&shrink, "shrink", 2, "days of each kind of break that are cut down")
	f.IntVar(&plays, "plays", 300, "for cutting one down, at most")
	f.StringVar(&out, "out", "", "a folder for what was found; else it is printed")
	f.BoolVar(&space.Members, "members", space.Members, "days whose routers know each other are drawn, too")
	f.BoolVar(&space.Sites, "sites", space.Sites, "so are days of two sites")
	f.IntVar(&space.Most, "most", space.Most, "troubles of a day, at most")
	f.Float64Var(&space.LengthS, "length", space.LengthS, "seconds of a day")
	f.StringSliceVar(&space.Kinds, "kinds", nil, "of trouble; else all")
	c.RunE = func(c *cobra.Command, _ []string) error {
		for _, k := range space.Kinds {
			if _, known := scenario.FaultKinds[k]; !known {
				return fmt.Errorf("--kinds: %q is no trouble", k)
			}
		}
		list := make([]*faultsearch.Found, days)
		each(days, jobs, func(i int) {
			s := faultsearch.Draw(rand.New(rand.NewPCG(seed, uint64(i))), space)
			what, worth := playDay(c.Context(), s)
			list[i] = &faultsearch.Found{N: i + 1, What: what, Worth: worth, Script: s}
		})
		if err := c.Context().Err(); err != nil {
			return err
		}
		kinds := map[string][]*faultsearch.Found{}
		for _, d := range list {
			if d.What != "" {
				kinds[d.What] = append(kinds[d.What], d)
			}
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		fmt.Fprintf(w, "days\t%d\t\n", days)
		for _, what := range sortedKeys(kinds) {
			fmt.Fprintf(w, "%s\t%d\t%s\n", what, len(kinds[what]), dayNumbers(kinds[what]))
		}
		w.Flush()
		slices.SortFunc(list, func(a, b *faultsearch.Found) int { return int(1e6 * (a.Worth - b.Worth)) })
		sum := 0.0
		for _, d := range list {
			sum += d.Worth
		}
		fmt.Printf("worth: mean %.4f, least %.3f (day %d), a twentieth under %.3f, half under %.3f\n", sum/float64(days), list[0].Worth, list[0].N, list[days/20].Worth, list[days/2].Worth)
		var cut []*faultsearch.Found
		for _, what := range sortedKeys(kinds) {
			cut = append(cut, kinds[what][:min(shrink, len(kinds[what]))]...)
		}
		each(len(cut), jobs, func(i int) {
			d := cut[i]
			d.Script, _ = faultsearch.Shrink(d.Script, func(s *scenario.Scenario) bool {
				what, worth := playDay(c.Context(), s)
				if what == d.What {
					d.Worth = worth
				}
				return what == d.What
			}, plays)
		})
		for _, d := range cut {
			text, err := faultsearch.Text(d.Script)
			if err != nil {
				return err
			}
			if out == "" {
				fmt.Printf("\n# %v\n%s", d, text)
				continue
			}
			if err := os.MkdirAll(out, 0o755); err != nil {
				return err
			}
			if err := os.WriteFile(filepath.Join(out, fmt.Sprintf("day-%d.yaml", d.N)), append([]byte(fmt.Sprintf("# %v\n", d)), text...), 0o644); err != nil {
				return err
			}
		}
		if len(kinds) > 0 {
			return errBroken
		}
		return nil
	}
	return c
}

// playDay plays a day; what is "" where all rules are kept.
func playDay(ctx context.Context, s *scenario.Scenario) (what string, worth float64) {
	defer func() {
		if r := recover(); r != nil {
			what = fmt.Sprintf("panic: %v", r)
		}
	}()
	r, err := emulator.Virtual(ctx, s, emulator.Options{Seed: s.Seed})
	if err != nil {
		return "error: " + err.Error(), 0
	}
	var rules []string
	for rule, n := range r.Count {
		if n > 0 {
			rules = append(rules, fmt.Sprint("rule ", rule))
		}
	}
	return strings.Join(rules, ", "), r.Worth()
}

// each does n things, some at once.
func each(n, jobs int, do func(int)) {
	var all sync.WaitGroup
	places := make(chan struct{}, max(jobs, 1))
	for i := range n {
		places <- struct{}{}
		all.Go(func() {
			defer func() { <-places }()
			do(i)
		})
	}
	all.Wait()
}

func sortedKeys[T any](m map[string]T) (keys []string) {
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func dayNumbers(list []*faultsearch.Found) string {
	const many = 12
	var out []string
	for _, d := range list[:min(many, len(list))] {
		out = append(out, fmt.Sprint(d.N))
	}
	if len(list) > many {
		out = append(out, "...")
	}
	return strings.Join(out, " ")
}
