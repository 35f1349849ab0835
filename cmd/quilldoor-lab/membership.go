package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"quilldoor/internal/emulator"
	"quilldoor/internal/simfleet"
)

// partitionDuration is the length of the network partition in a membership trial.
const partitionDuration = 60 * time.Second

// detectors are the failure detectors under comparison, with their names in --with.
var detectors = []struct {
	name       string
	heartbeats bool
}{
	{name: "swim", heartbeats: false},
	{name: "beats", heartbeats: true},
}

// membersTrialOptions are the flags of members-trial.
type membersTrialOptions struct {
	sizes          []int
	seeds          int
	kills          int
	stressDuration time.Duration
	loss           float64
	detectors      string
}

// membersTrialCommand compares membership with all-to-all heartbeats on a virtual clock.
func membersTrialCommand() *cobra.Command {
	var options membersTrialOptions
	command := &cobra.Command{
		Use:   "members-trial",
		Short: "Measure how fast and how reliably routers detect failures; simulated",
		Args:  cobra.NoArgs,
		RunE:  func(command *cobra.Command, _ []string) error { return options.run(command.Context()) },
	}
	flags := command.Flags()
	flags.IntSliceVar(&options.sizes, "routers", []int{4, 24, 60, 222}, "fleet sizes to simulate, in routers")
	flags.IntVar(&options.seeds, "seeds", 3, "number of seeds for each table line")
	flags.IntVar(&options.kills, "kills", 20, "number of routers killed one after another, for each seed")
	flags.DurationVar(&options.stressDuration, "hold", time.Minute, "duration of the stress test with paused and CPU-starved routers")
	flags.Float64Var(&options.loss, "loss", 0.05, "share of messages lost during the stress test")
	flags.StringVar(&options.detectors, "with", "swim,beats", "failure detector: swim, beats, or swim,beats for both")
	return command
}

func (o *membersTrialOptions) run(ctx context.Context) error {
	table := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', tabwriter.AlignRight)
	defer table.Flush()
	fmt.Fprintln(table, "routers\tdetector\tdeath detected ms: p50\tp99\tmissed\thalf dead ms\trejoined ms\t"+
		"partition detected ms\tconverged ms\tbaseline B/s\tafter healing\t"+
		"under stress: suspected\tdeclared dead\tsent B/s\treceived\t")
	for _, routers := range o.sizes {
		for _, detector := range detectors {
			if o.detectors != detector.name && o.detectors != "swim,beats" {
				continue
			}
			if err := ctx.Err(); err != nil {
				return err
			}
			o.play(routers, detector.heartbeats).print(table, routers, detector.name)
			table.Flush()
		}
	}
	return nil
}

// membershipFigures are the results for one fleet size and detector over all seeds.
type membershipFigures struct {
	detection, halfDetection, rejoin *simfleet.Durations
	partition                        simfleet.PartitionResult // the worst value of any seed
	stability                        simfleet.StabilityResult // traffic of the first seed, counts of all seeds
}

// play runs the experiments with each seed and combines their results.
func (o *membersTrialOptions) play(routers int, heartbeats bool) *membershipFigures {
	var total *membershipFigures
	for seed := range uint64(o.seeds) {
		experiment := simfleet.Experiment{Routers: routers, Seed: seed + 1, Heartbeats: heartbeats}
		figures := new(membershipFigures)
		figures.detection = experiment.Detection(o.kills)
		figures.halfDetection, figures.rejoin = experiment.KillHalf()
		figures.partition = experiment.Partition(partitionDuration.Microseconds())
		experiment.Loss = o.loss
		figures.stability = experiment.Stability(o.stressDuration.Microseconds())
		if total == nil {
			total = figures
			continue
		}
		total.add(figures)
	}
	return total
}

// add combines the results with those of another seed.
func (m *membershipFigures) add(other *membershipFigures) {
	mergeDurations(m.detection, other.detection)
	mergeDurations(m.halfDetection, other.halfDetection)
	mergeDurations(m.rejoin, other.rejoin)
	worst := &m.partition
	partition := &other.partition
	worst.DetectedAfter = max(worst.DetectedAfter, partition.DetectedAfter)
	worst.ConvergedAfter = max(worst.ConvergedAfter, partition.ConvergedAfter)
	worst.BaselineBytesPerSecond = max(worst.BaselineBytesPerSecond, partition.BaselineBytesPerSecond)
	worst.RecoveryBytesPerSecond = max(worst.RecoveryBytesPerSecond, partition.RecoveryBytesPerSecond)
	m.stability.Suspicions += other.stability.Suspicions
	m.stability.Deaths += other.stability.Deaths
}

// mergeDurations adds the durations and misses of from to into.
func mergeDurations(into, from *simfleet.Durations) {
	into.Merge(from.Histogram)
	into.Missed += from.Missed
}

// print writes the results as a line of the table. Times are in milliseconds.
func (m *membershipFigures) print(to io.Writer, routers int, detector string) {
	cells := []string{
		fmt.Sprint(routers),
		detector,
		fmt.Sprint(m.detection.ValueAtQuantile(50) / microsPerMilli),
		fmt.Sprint(m.detection.ValueAtQuantile(99) / microsPerMilli),
		fmt.Sprint(m.detection.Missed),
		fmt.Sprint(m.halfDetection.Max() / microsPerMilli),
		fmt.Sprint(m.rejoin.Max() / microsPerMilli),
		fmt.Sprint(m.partition.DetectedAfter / microsPerMilli),
		fmt.Sprint(m.partition.ConvergedAfter / microsPerMilli),
		fmt.Sprintf("%.0f", m.partition.BaselineBytesPerSecond),
		fmt.Sprintf("%.0f", m.partition.RecoveryBytesPerSecond),
		fmt.Sprint(m.stability.Suspicions),
		fmt.Sprint(m.stability.Deaths),
		fmt.Sprintf("%.0f", m.stability.SentBytesPerSecond),
		fmt.Sprintf("%.0f", m.stability.ReceivedBytesPerSecond),
	}
	fmt.Fprintln(to, strings.Join(cells, "\t")+"\t")
}

// membersProcessesCommand measures failure detection by killing router processes on loopback.
func membersProcessesCommand() *cobra.Command {
	var routers, kills int
	var seed uint64
	var routerBin string
	command := &cobra.Command{
		Use:   "members-processes",
		Short: "Measure how soon all routers detect a killed router process",
		Args:  cobra.NoArgs,
	}
	flags := command.Flags()
	flags.IntVar(&routers, "routers", 24, "number of router processes")
	flags.IntVar(&kills, "kills", 30, "number of processes killed one after another")
	flags.Uint64Var(&seed, "seed", 1, "seed of the random choice of processes and times")
	flags.StringVar(&routerBin, "router", "", routerFlagHelp)
	command.RunE = func(command *cobra.Command, _ []string) error {
		times, missed, err := emulator.MeasureFailureDetection(command.Context(), routerBin, routers, kills, seed)
		if err != nil {
			return err
		}
		fmt.Printf("%d processes, %d killed: detected by all after p50 %d, p90 %d, p99 %d, at most %d ms; missed %d\n",
			routers, kills, times.ValueAtQuantile(50)/microsPerMilli, times.ValueAtQuantile(90)/microsPerMilli,
			times.ValueAtQuantile(99)/microsPerMilli, times.Max()/microsPerMilli, missed)
		return nil
	}
	return command
}
