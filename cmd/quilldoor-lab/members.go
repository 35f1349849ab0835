package main

import (
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"quilldoor/internal/emulator"
	"quilldoor/internal/simfleet"
)

// membersCommand plays the routers' knowledge of each other on a virtual clock,
// beside the baseline.
func membersCommand() *cobra.Command {
	var sizes []int
	var seeds, kills int
	var hold time.Duration
	var loss float64
	var with string
	c := &cobra.Command{Use: "members-trial", Short: "How soon and how surely routers know who is there; simulated", Args: cobra.NoArgs}
	f := c.Flags()
	f.IntSliceVar(&sizes, "routers", []int{4, 24, 60, 222}, "sizes to play")
	f.IntVar(&seeds, "seeds", 3, "seeds of each")
	f.IntVar(&kills, "kills", 20, "routers killed one after another, for each seed")
	f.DurationVar(&hold, "hold", time.Minute, "how long with stops and starved routers")
	f.Float64Var(&loss, "loss", 0.05, "share of words lost while it holds")
	f.StringVar(&with, "with", "swim,beats", "knowledge: swim, beats")
	c.RunE = func(c *cobra.Command, _ []string) error {
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
		defer w.Flush()
		fmt.Fprintln(w, "routers\twith\tdeath known ms: p50\tp99\tmissed\thalf dead ms\tand back\tcut known ms\thealed ms\tcalm B/s\tafter heal\t"+
			"held: suspected\tcalled dead\tsent B/s\theard\t")
		for _, n := range sizes {
			for _, beats := range []bool{false, true} {
				name := map[bool]string{false: "swim", true: "beats"}[beats]
				if with != name && with != "swim,beats" {
					continue
				}
				if err := c.Context().Err(); err != nil {
					return err
				}
				row(w, n, name, beats, seeds, kills, hold, loss)
				w.Flush()
			}
		}
		return nil
	}
	return c
}

// processesCommand does the same with router processes on loopback.
func processesCommand() *cobra.Command {
	var routers, kills int
	var seed uint64
	var router string
	c := &cobra.Command{Use: "members-processes", Short: "How soon the death of a real router process is known by all others", Args: cobra.NoArgs}
	f := c.Flags()
	f.IntVar(&routers, "routers", 24, "processes")
	f.IntVar(&kills, "kills", 30, "killed one after another")
	f.Uint64Var(&seed, "seed", 1, "of whom and when")
	f.StringVar(&router, "router", "", "the router's program; else quilldoor beside this one")
	c.RunE = func(c *cobra.Command, _ []string) error {
		times, missed, err := emulator.Detection(c.Context(), router, routers, kills, seed)
		if err != nil {
			return err
		}
		fmt.Printf("%d processes, %d killed: known dead by all after p50 %d, p90 %d, p99 %d, most %d ms; missed %d\n", routers, kills,
			times.ValueAtQuantile(50)/1000, times.ValueAtQuantile(90)/1000, times.ValueAtQuantile(99)/1000, times.Max()/1000, missed)
		return nil
	}
	return c
}

func row(w *tabwriter.Writer, n int, name string, beats bool, seeds, kills int, hold time.Duration, loss float64) {
	var times, half, back *simfleet.Durations
	var heal simfleet.PartitionResult
	var held simfleet.StabilityResult
	for seed := range uint64(seeds) {
		p := simfleet.Experiment{Routers: n, Seed: seed + 1, Heartbeats: beats}
		t := p.Detection(kills)
		d, b := p.KillHalf()
		c := p.Partition(60 * time.Second.Microseconds())
		p.Loss = loss
		o := p.Stability(hold.Microseconds())
		if seed == 0 {
			times, half, back, heal, held = t, d, b, c, o
			continue
		}
		for _, x := range [][2]*simfleet.Durations{{times, t}, {half, d}, {back, b}} {
			x[0].Merge(x[1].Histogram)
			x[0].Missed += x[1].Missed
		}
		heal.DetectedAfter, heal.ConvergedAfter = max(heal.DetectedAfter, c.DetectedAfter), max(heal.ConvergedAfter, c.ConvergedAfter)
		heal.BaselineBytesPerSecond, heal.RecoveryBytesPerSecond = max(heal.BaselineBytesPerSecond, c.BaselineBytesPerSecond), max(heal.RecoveryBytesPerSecond, c.RecoveryBytesPerSecond)
		held.Suspicions += o.Suspicions
		held.Deaths += o.Deaths
	}
	fmt.Fprintf(w, "%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.0f\t%.0f\t%d\t%d\t%.0f\t%.0f\t\n", n, name, times.ValueAtQuantile(50)/1000,
		times.ValueAtQuantile(99)/1000, times.Missed, half.Max()/1000, back.Max()/1000, heal.DetectedAfter/1000, heal.ConvergedAfter/1000, heal.BaselineBytesPerSecond,
		heal.RecoveryBytesPerSecond, held.Suspicions, held.Deaths, held.SentBytesPerSecond, held.ReceivedBytesPerSecond)
}
