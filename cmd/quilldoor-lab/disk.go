package main

import (
	"fmt"
	"os"
	"sync"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"quilldoor/internal/diskbench"
	"quilldoor/internal/diskcache"
)

// variants are weighed in docs/disk-tier.md.
var variants = []struct {
	name string
	diskcache.Variant
}{
	{"the router's", diskcache.Variant{}},
	{"LRU, all admitted", diskcache.Variant{AdmitAll: true}},
	{"LRU from the second want on", diskcache.Variant{AdmitOnSecondRequest: true}},
	{"estimate, also wanted once", diskcache.Variant{AdmitOnFirstRequest: true}},
	{"victims by wants, not bytes", diskcache.Variant{WeighByRequests: true}},
	{"estimate of the whole object", diskcache.Variant{EstimateWholeObject: true}},
}

func diskTrial() *cobra.Command {
	l := diskbench.Workload{Objects: 20_000, Skew: 0.9, MultipartShare: 0.2}
	seeds := 3
	c := &cobra.Command{Use: "disk-trial", Short: "Weigh variants of the disk tier's decisions on simulated load", Args: cobra.NoArgs}
	f := c.Flags()
	f.IntVar(&l.Requests, "txns", 1_500_000, "requests; the first third warms up")
	f.Float64Var(&l.DiskShare, "disk", 0.05, "size of the disk, as a share of the catalogue's bytes")
	f.IntVar(&l.DriftInterval, "drift", 200, "requests after which two objects change places in popularity; 0: never")
	f.IntVar(&seeds, "seeds", seeds, "runs of each, of which the mean is told")
	c.RunE = func(*cobra.Command, []string) error {
		if seeds < 1 || l.Requests < 3 || l.DiskShare <= 0 {
			return fmt.Errorf("--seeds, --txns and --disk: too small")
		}
		shares := []float64{0.1, 0.3, 0.6}
		out := make([]diskbench.Result, len(shares)*len(variants)*seeds)
		var all sync.WaitGroup
		room := make(chan struct{}, 6)
		for i := range out {
			all.Go(func() {
				room <- struct{}{}
				defer func() { <-room }()
				load := l
				load.Seed, load.OneTimeShare = uint64(i%seeds), shares[i/seeds/len(variants)]
				out[i] = diskbench.Run(load, variants[i/seeds%len(variants)].Variant)
			})
		}
		all.Wait()
		w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		defer w.Flush()
		fmt.Fprintln(w, "wanted once\tvariant\thit share\tbytes saved\twritten per byte served\twritten, of LRU's")
		for i := 0; i < len(out); i += seeds {
			var hit, saved, per, written, lru float64
			for j := range seeds {
				r, base := out[i+j], out[i/seeds/len(variants)*len(variants)*seeds+seeds+j]
				hit, saved, per = hit+r.HitRatio(), saved+r.ByteHitRatio(), per+r.WrittenPerServed()
				written, lru = written+float64(r.BytesWritten), lru+float64(base.BytesWritten)
			}
			n := float64(seeds)
			fmt.Fprintf(w, "%.0f%%\t%s\t%.3f\t%.3f\t%.3f\t%.2f\n", 100*shares[i/seeds/len(variants)],
				variants[i/seeds%len(variants)].name, hit/n, saved/n, per/n, written/lru)
		}
		return nil
	}
	return c
}
