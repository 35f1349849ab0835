package main

import (
	"errors"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"quilldoor/internal/canary"
	"quilldoor/internal/handoff"
	"quilldoor/internal/operatorconfig"
	"quilldoor/internal/rollout"
)

// rolloutCommand returns the command 'rollout', which upgrades many supervised routers in
// stages.
func rolloutCommand(f *flags) *cobra.Command {
	client := &supervisorClient{flags: f}
	c := &cobra.Command{Use: "rollout", Short: "Upgrade many supervised routers in stages"}
	client.define(c)
	for _, subcommand := range []struct {
		name, short string
		command     rollout.Command
	}{
		{"start", "Start the plan's rollout", rollout.CommandStart},
		{"hold", "Pause the rollout in its current stage", rollout.CommandPause},
		{"go", "Resume a paused rollout", rollout.CommandResume},
		{"back", "Roll the upgraded routers back", rollout.CommandRollBack},
	} {
		c.AddCommand(&cobra.Command{
			Use: subcommand.name, Short: subcommand.short, Args: cobra.NoArgs,
			RunE: func(*cobra.Command, []string) error {
				reply, err := client.rollout(subcommand.command)
				if err == nil {
					fmt.Println(reply.Note)
				}
				return err
			},
		})
	}
	c.AddCommand(rolloutStatusCommand(client), rolloutCheckCommand(f))
	return c
}

// rollout sends a rollout command and returns the reply. A refusal is an error with the
// reply's note.
func (c *supervisorClient) rollout(command rollout.Command) (*handoff.Message, error) {
	reply, err := c.request(&handoff.Message{Kind: handoff.KindRollout, Command: command}, nil)
	if err == nil && !reply.OK {
		err = errors.New(reply.Note)
	}
	return reply, err
}

func rolloutStatusCommand(client *supervisorClient) *cobra.Command {
	var asJSON bool
	c := &cobra.Command{Use: "status", Short: "Show the state of the rollout; the leader has the most detail", Args: cobra.NoArgs}
	c.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	c.RunE = func(*cobra.Command, []string) error {
		reply, err := client.rollout(rollout.CommandNone)
		if err != nil {
			return err
		}
		if asJSON {
			return printJSON(reply.Rollout)
		}
		printRolloutStatus(reply.Rollout)
		return nil
	}
	return c
}

func rolloutCheckCommand(f *flags) *cobra.Command {
	const defaultSpread = 0.03
	var path string
	var spread float64
	c := &cobra.Command{Use: "check", Short: "Check the plan, and show how soon its stages stop a loss", Args: cobra.NoArgs}
	c.Flags().StringVar(&path, "plan", "", "the plan (default: keep.plan of the operator's file)")
	c.Flags().Float64Var(&spread, "spread", defaultSpread,
		"standard deviation, over seconds, of the lost weight between two routers of an office")
	c.RunE = func(*cobra.Command, []string) error {
		plan, err := readPlan(f, path)
		if err != nil {
			return err
		}
		printPlan(plan, spread)
		return nil
	}
	return c
}

func readPlan(f *flags, path string) (*rollout.Plan, error) {
	if path == "" {
		operator, err := operatorconfig.Load(f.operatorFile, os.Getenv)
		if err != nil {
			return nil, err
		}
		if operator.Supervisor == nil {
			return nil, errNoSupervisor
		}
		path = operator.Supervisor.RolloutPlan
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return rollout.ParsePlan(path, text)
}

// printPlan prints for each stage how many seconds it takes to stop a program with a loss, and
// to pass a program without one.
func printPlan(plan *rollout.Plan, spread float64) {
	fmt.Printf("%s (%016x): %d routers, %d of an office at once\n", plan.Name, plan.Digest, len(plan.Routers), plan.MaxConcurrent)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "stage\trouters\twatched\tstops a loss of 0.05 after\t0.1\t0.2\tpasses the same after")
	for i := range plan.Stages {
		printStage(w, plan, i, spread)
	}
	w.Flush()
	fmt.Printf("with a spread of %g; by chance alone at most %g of rollouts of the same are stopped\n",
		spread, plan.Guardrails.FalseStopProbability)
}

func printStage(w *tabwriter.Writer, plan *rollout.Plan, stageIndex int, spread float64) {
	const maxSamples = 100_000 // one a second, which is more than a day: no stage is watched for longer
	stage := plan.Stages[stageIndex]
	formatSeconds := func(samples int) string {
		if samples == 0 || float64(samples) > stage.MaxWatchSeconds {
			return "not within it"
		}
		return fmt.Sprintf("%d s", samples)
	}
	changed := plan.ChangedThrough(stageIndex).Count()
	fmt.Fprintf(w, "%d\t%d\t%g to %g s", stageIndex+1, changed, stage.MinWatchSeconds, stage.MaxWatchSeconds)
	if changed == len(plan.Routers) { // no router is left to compare with
		fmt.Fprintln(w, "\tguardrails only\t\t\tthe watch")
		return
	}
	passAfter := 0
	for _, loss := range []float64{0.05, 0.1, 0.2} { // as in the table's head
		var stopAfter int
		stopAfter, passAfter = canary.SamplesNeeded(plan.CanarySettings(), len(plan.Stages), spread, loss, maxSamples)
		fmt.Fprintf(w, "\t%s", formatSeconds(stopAfter))
	}
	fmt.Fprintf(w, "\t%s\n", formatSeconds(passAfter))
}

func printRolloutStatus(status *rollout.Status) {
	role := "leads"
	if !status.IsLeader {
		role = "does not lead"
	}
	fmt.Printf("%s: %s, stage %d of %d, known %d ms ago; last leader: %s; this router %s\n",
		status.Plan, status.Phase, status.Stage, status.Stages, status.AgeMS, status.Leader, role)
	if status.Reason != "" {
		fmt.Println("last:", status.Reason)
	}
	if status.Recovering {
		fmt.Println("this router has lost its register, and recovers it from the others")
	}
	printRolloutRouters(status)
	if status.Verdict == "" {
		return
	}
	fmt.Printf("watched for %d s: %s\n", status.WatchMS/millisPerSecond, status.Verdict)
	for _, bound := range status.Bounds {
		fmt.Printf("  %s: %+.4f (%+.4f to %+.4f; tolerance %g)\n",
			bound.Metric, bound.Mean, bound.Low, bound.High, bound.Tolerance)
	}
}

func printRolloutRouters(status *rollout.Status) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer w.Flush()
	fmt.Fprintln(w, "router\toffice\tgeneration\theard\tMB\trestarts\tviolation\tfailure")
	for _, router := range status.Routers {
		heard := ""
		if status.IsLeader {
			heard = fmt.Sprintf("%d ms ago", router.HeardMS)
		}
		report := &router.Report
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.0f\t%d\t%s\t%s\n",
			router.Name, router.Office, router.Activity, heard, report.MemoryMB, report.Restarts,
			report.FirstViolation, report.FailureReason)
	}
}
