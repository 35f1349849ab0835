package main

import (
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"quilldoor/internal/diskbench"
	"quilldoor/internal/diskcache"
)

// diskVariant is a variant of the disk cache's policy and its name in the table.
type diskVariant struct {
	name    string
	variant diskcache.Variant
}

// diskVariants are the variants that docs/disk-tier.md compares.
var diskVariants = []diskVariant{
	{"the router's", diskcache.Variant{}},
	{"LRU, all admitted", diskcache.Variant{AdmitAll: true}},
	{"LRU from the second request on", diskcache.Variant{AdmitOnSecondRequest: true}},
	{"estimate, also on first request", diskcache.Variant{AdmitOnFirstRequest: true}},
	{"victims by requests, not bytes", diskcache.Variant{WeighByRequests: true}},
	{"estimate of the whole object", diskcache.Variant{EstimateWholeObject: true}},
}

const (
	lruVariantIndex = 1 // index in diskVariants of plain LRU, the baseline of the bytes written
	diskTrialJobs   = 6 // concurrent runs; each holds a whole catalogue in memory
)

// oneTimeShares are the simulated shares of sessions for objects that are requested only once.
var oneTimeShares = []float64{0.1, 0.3, 0.6}

// diskTrialCommand compares variants of the disk cache's policy.
func diskTrialCommand() *cobra.Command {
	workload := diskbench.Workload{Objects: 20_000, Skew: 0.9, MultipartShare: 0.2}
	var seeds int
	command := &cobra.Command{
		Use:   "disk-trial",
		Short: "Compare variants of the disk cache's policy on a simulated workload",
		Args:  cobra.NoArgs,
	}
	flags := command.Flags()
	flags.IntVar(&workload.Requests, "txns", 1_500_000, "number of requests; the first third is warm-up")
	flags.Float64Var(&workload.DiskShare, "disk", 0.05, "size of the disk as a share of the catalogue's bytes")
	flags.IntVar(&workload.DriftInterval, "drift", 200, "number of requests after which two objects swap their popularity; 0: never")
	flags.IntVar(&seeds, "seeds", 3, "number of runs for each table line, which holds their mean")
	command.RunE = func(*cobra.Command, []string) error {
		if seeds < 1 || workload.Requests < 3 || workload.DiskShare <= 0 {
			return fmt.Errorf("--seeds %d, --txns %d, --disk %g: at least 1 seed, 3 requests and a disk larger than 0 are required",
				seeds, workload.Requests, workload.DiskShare)
		}
		table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
		defer table.Flush()
		fmt.Fprintln(table, "requested once\tvariant\thit ratio\tbyte hit ratio\twritten per byte served\twritten, of LRU's")
		results, err := runDiskTrial(workload, seeds)
		if err != nil {
			return err
		}
		for i, share := range oneTimeShares {
			printDiskTrial(table, share, results[i])
		}
		return nil
	}
	return command
}

// runDiskTrial runs every variant with every one-time share and seed. The results are indexed by
// one-time share, variant and seed.
func runDiskTrial(workload diskbench.Workload, seeds int) ([][][]diskbench.Result, error) {
	results := make([][][]diskbench.Result, len(oneTimeShares))
	for i := range results {
		results[i] = make([][]diskbench.Result, len(diskVariants))
		for j := range results[i] {
			results[i][j] = make([]diskbench.Result, seeds)
		}
	}
	err := parallel(len(oneTimeShares)*len(diskVariants)*seeds, diskTrialJobs, func(i int) error {
		seed := i % seeds
		variant := i / seeds % len(diskVariants)
		share := i / seeds / len(diskVariants)
		run := workload
		run.Seed = uint64(seed)
		run.OneTimeShare = oneTimeShares[share]
		results[share][variant][seed] = diskbench.Run(run, diskVariants[variant].variant)
		return nil
	})
	return results, err
}

// printDiskTrial writes a line for each variant with its means over the seeds.
func printDiskTrial(to io.Writer, oneTimeShare float64, byVariant [][]diskbench.Result) {
	for variant, results := range byVariant {
		var hits, byteHits, writtenPerServed, written, writtenByLRU float64
		for seed := range results {
			hits += results[seed].HitRatio()
			byteHits += results[seed].ByteHitRatio()
			writtenPerServed += results[seed].WrittenPerServed()
			written += float64(results[seed].BytesWritten)
			writtenByLRU += float64(byVariant[lruVariantIndex][seed].BytesWritten)
		}
		runs := float64(len(results))
		fmt.Fprintf(to, "%.0f%%\t%s\t%.3f\t%.3f\t%.3f\t%.2f\n", 100*oneTimeShare, diskVariants[variant].name,
			hits/runs, byteHits/runs, writtenPerServed/runs, written/writtenByLRU)
	}
}
