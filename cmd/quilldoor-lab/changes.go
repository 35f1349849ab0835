package main

import (
	"context"
	"fmt"
	"math"
	"os"
	"sync"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/spf13/cobra"
	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"quilldoor/internal/emulator"
	"quilldoor/internal/eventlog"
	"quilldoor/internal/handoff"
	"quilldoor/internal/scenario"
)

// changeWays are what is done to all routers at once, ten seconds into a run.
var changeWays = []struct {
	name string
	kept bool
	do   func(k *emulator.Kept, i int) error
}{
	{"calm", true, func(*emulator.Kept, int) error { return nil }},
	{"change", true, func(k *emulator.Kept, i int) error {
		w, err := k.Ask(i, &handoff.Message{Kind: handoff.KindApply})
		if err == nil && !w.OK {
			err = fmt.Errorf("router %d: %s", i, w.Note)
		}
		return err
	}},
	{"crash on trial", true, func(k *emulator.Kept, i int) error {
		done := make(chan error, 1)
		go func() {
			_, err := k.Ask(i, &handoff.Message{Kind: handoff.KindApply})
			done <- err
		}()
		s, err := k.Until(i, 10*time.Second, func(s *handoff.Status) bool { return s.State == "on trial" && s.Next != nil })
		if err != nil {
			return err
		}
		time.Sleep(time.Second)
		if err := k.Signal(i, s.Next.PID, syscall.SIGKILL); err != nil {
			return err
		}
		return <-done
	}},
	{"restart", false, func(k *emulator.Kept, i int) error { return k.Restart(i) }},
}

type changeRun struct {
	worth             float64 // in the ten seconds from the change on
	took              *hdrhistogram.Histogram
	refused, broke    int
	breaks            int
	fallMS, oldGoneMS []float64
	mostMB            float64
}

func changesCommand() *cobra.Command {
	var seeds, row int
	var txns float64
	var program string
	c := &cobra.Command{
		Use: "changes", Short: "What a change of all routers costs, on loopback against router processes", Args: cobra.NoArgs,
		Long: "All routers of three offices are changed at once, beside calm runs, plain restarts and new generations that crash; the\n" +
			"same seeds on all sides. --row N: one router is changed N times in a row instead.",
	}
	c.Flags().IntVar(&seeds, "seeds", 6, "of each")
	c.Flags().Float64Var(&txns, "txns", 200, "a second, over all routers")
	c.Flags().IntVar(&row, "row", 0, "changes of one router, one after another")
	c.Flags().StringVar(&program, "router", "", "the router's program; else quilldoor beside this one")
	c.RunE = func(c *cobra.Command, _ []string) error {
		if row > 0 {
			return inARow(c.Context(), program, row, txns)
		}
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
		defer w.Flush()
		fmt.Fprintln(w, "what\truns\tworth in 10 s\tagainst calm\t95%\tp50 ms\tp99 ms\trefused\tbroken off\trules broken\tback after ms\told one gone after ms\tMB of a router\t")
		var calm []float64
		for _, way := range changeWays {
			var worth, diff, falls, gone, mb []float64
			all := hdrhistogram.New(1, 60_000_000, 3)
			refused, broke, breaks := 0, 0, 0
			for seed := range seeds {
				r, err := playChange(c.Context(), program, uint64(seed+1), txns, way.kept, way.do)
				if err != nil {
					return fmt.Errorf("%s, seed %d: %w", way.name, seed+1, err)
				}
				worth = append(worth, r.worth)
				all.Merge(r.took)
				refused, broke, breaks = refused+r.refused, broke+r.broke, breaks+r.breaks
				falls, gone, mb = append(falls, r.fallMS...), append(gone, r.oldGoneMS...), append(mb, r.mostMB)
			}
			if calm == nil {
				calm = worth
			}
			for i := range worth {
				diff = append(diff, worth[i]-calm[i])
			}
			mean, dev := stat.MeanStdDev(diff, nil)
			half := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(max(seeds-1, 1))}.Quantile(0.975) * dev / math.Sqrt(float64(seeds))
			fmt.Fprintf(w, "%s\t%d\t%.4f\t%+.4f\t%.4f\t%.1f\t%.1f\t%d\t%d\t%d\t%s\t%s\t%.0f\t\n", way.name, seeds, stat.Mean(worth, nil), mean, half,
				float64(all.ValueAtQuantile(50))/1000, float64(all.ValueAtQuantile(99))/1000, refused, broke, breaks, most(falls), most(gone), stat.Mean(mb, nil))
			w.Flush()
		}
		return nil
	}
	return c
}

// most words the largest of a list.
func most(list []float64) string {
	if len(list) == 0 {
		return "-"
	}
	v := list[0]
	for _, x := range list {
		v = max(v, x)
	}
	return fmt.Sprintf("%.0f", v)
}

const changeFleet = `
settle_s: 5
length_s: 22
fleet: {offices: 3, routers: 1, trunks: 2, caches: 6, cores: 5, keep: %v, trial_s: 3}
load: {txns_per_s: %g, objects: 1500}
`

// playChange plays one run; what is undecided is played again.
func playChange(ctx context.Context, program string, seed uint64, txns float64, kept bool, do func(*emulator.Kept, int) error) (*changeRun, error) {
	const at, long, tries = 10_000_000, 10_000_000, 4
	for range tries {
		s, err := scenario.Parse("changes", fmt.Appendf(nil, changeFleet, kept, txns))
		if err != nil {
			return nil, err
		}
		out := &changeRun{took: hdrhistogram.New(1, 60_000_000, 3)}
		rules := map[string]float64{}
		sla := map[string]int64{}
		for _, k := range s.Classes() {
			rules[k.Name], sla[k.Name] = k.PriorityWeight, k.LatencyObjective
		}
		type open struct {
			at   int64
			rule string
		}
		taken := map[string]open{}
		got, asked := 0.0, 0.0
		var mu sync.Mutex
		opt := emulator.Options{Seed: seed, Record: func(e *eventlog.Entry) {
			switch e.Kind {
			case eventlog.KindTaken:
				if e.At >= at && e.At < at+long {
					taken[e.Request] = open{e.At, e.Class}
					asked += rules[e.Class]
				}
			case eventlog.KindAnswered:
				if o, ok := taken[e.Request]; ok && e.Outcome == "completed" {
					out.took.RecordValue(e.At - o.at)
					got += rules[o.rule]
				}
			}
		}}
		r, err := emulator.Sockets(ctx, s, opt, emulator.Routers{Program: program, Drive: func(_ context.Context, k *emulator.Kept) error {
			time.Sleep(at * time.Microsecond)
			began := time.Now()
			ends := make(chan error, k.Count())
			for i := range k.Count() {
				go func() {
					err := do(k, i)
					if err == nil && kept {
						var st *handoff.Status
						if st, err = k.Until(i, 10*time.Second, func(s *handoff.Status) bool { return s.State == "steady" && s.DrainingProcesses == 0 }); err == nil {
							mu.Lock()
							out.oldGoneMS = append(out.oldGoneMS, float64(time.Since(began).Milliseconds()))
							out.fallMS = append(out.fallMS, float64(st.LastCrashMS))
							out.mostMB = max(out.mostMB, float64(st.PeakMB))
							mu.Unlock()
						}
					}
					ends <- err
				}()
			}
			for range k.Count() {
				if err := <-ends; err != nil {
					return err
				}
			}
			return nil
		}})
		if r != nil && r.Late > emulator.TooLate {
			continue
		}
		if err != nil {
			return nil, err
		}
		out.worth = got / max(asked, 1)
		out.refused, out.broke, out.breaks = r.Refused, r.Broke, len(r.Breaks)
		return out, nil
	}
	return nil, errBusy
}

var errBusy = fmt.Errorf("not decided: the machine is too busy")

// inARow changes one router time and again.
func inARow(ctx context.Context, program string, n int, txns float64) error {
	s, err := scenario.Parse("row", fmt.Appendf(nil, "settle_s: 1\nlength_s: %d\nfleet: {offices: 1, routers: 1, trunks: 1, caches: 12, cores: 6, link_share: 0.6, parents: 2, keep: true, trial_s: 0.5}\nload: {txns_per_s: %g}\n", n, txns))
	if err != nil {
		return err
	}
	took := hdrhistogram.New(1, 60_000_000, 3)
	var last *handoff.Status
	r, err := emulator.Sockets(ctx, s, emulator.Options{Seed: 1}, emulator.Routers{Program: program, Drive: func(_ context.Context, k *emulator.Kept) error {
		for i := range n {
			began := time.Now()
			w, err := k.Ask(0, &handoff.Message{Kind: handoff.KindApply})
			if err != nil {
				return fmt.Errorf("change %d: %w", i+1, err)
			}
			if !w.OK {
				return fmt.Errorf("change %d: %+v", i+1, w)
			}
			took.RecordValue(time.Since(began).Microseconds())
		}
		last, err = k.Standing(0)
		return err
	}})
	if err != nil {
		return err
	}
	fmt.Printf("%d changes, each with a trial of 0.5 s, took p50 %d, most %d ms; %d txns judged, %d connections refused, %d broken off, rules broken: %v; worth %.4f; "+
		"%d MB and %d descriptors of all processes at the most; the model was %d ms late\n", n, took.ValueAtQuantile(50)/1000, took.Max()/1000, r.Judged, r.Refused,
		r.Broke, r.Breaks, r.Worth(), last.PeakMB, last.PeakDescriptors, r.Late/1000)
	return nil
}
