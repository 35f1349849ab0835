package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"quilldoor/internal/canary"
	"quilldoor/internal/handoff"
	"quilldoor/internal/operatorconfig"
	"quilldoor/internal/rollout"
	"quilldoor/internal/upgradeagent"
)

func rolloutCommand(f *flags) *cobra.Command {
	c := &cobra.Command{Use: "rollout", Short: "Take a change through many kept routers in stages"}
	var folder, path string
	c.PersistentFlags().StringVar(&folder, "folder", "", "the keeper's folder; else keep.folder of the operator's file")
	find := func() error {
		own, err := operatorconfig.Load(f.operator, os.Getenv)
		if err != nil {
			return err
		}
		if own.Supervisor == nil {
			return errKeep
		}
		if folder == "" {
			folder = own.Supervisor.Dir
		}
		if path == "" {
			path = own.Supervisor.RolloutPlan
		}
		return nil
	}
	ask := func(w rollout.Command) (*handoff.Message, error) {
		if folder == "" {
			if err := find(); err != nil {
				return nil, err
			}
		}
		r, err := handoff.Request(filepath.Join(folder, upgradeagent.SocketName), &handoff.Message{Kind: handoff.KindRollout, Command: w}, nil)
		if err == nil && !r.OK {
			err = errors.New(r.Note)
		}
		return r, err
	}
	for _, x := range []struct {
		name, short string
		word        rollout.Command
	}{
		{"start", "Start the plan's rollout", rollout.CommandStart},
		{"hold", "Hold it where it is", rollout.CommandPause},
		{"go", "Go on with one that is held", rollout.CommandResume},
		{"back", "Turn it back", rollout.CommandRollBack},
	} {
		c.AddCommand(&cobra.Command{Use: x.name, Short: x.short, Args: cobra.NoArgs, RunE: func(*cobra.Command, []string) error {
			r, err := ask(x.word)
			if err == nil {
				fmt.Println(r.Note)
			}
			return err
		}})
	}
	var asJSON bool
	status := &cobra.Command{Use: "status", Short: "Tell where it stands; whoever leads knows most", Args: cobra.NoArgs}
	status.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	status.RunE = func(*cobra.Command, []string) error {
		r, err := ask(0)
		if err != nil {
			return err
		}
		if asJSON {
			enc := json.NewEncoder(os.Stdout)
			enc.SetIndent("", " ")
			return enc.Encode(r.Rollout)
		}
		printRollout(r.Rollout)
		return nil
	}
	var spread float64
	check := &cobra.Command{Use: "check", Short: "Check the plan, and tell what its stages can show", Args: cobra.NoArgs}
	check.Flags().StringVar(&path, "plan", "", "the plan; else keep.plan of the operator's file")
	check.Flags().Float64Var(&spread, "spread", 0.03, "standard deviation, over seconds, of the loss of worth between two routers of an office")
	check.RunE = func(*cobra.Command, []string) error {
		if path == "" {
			if err := find(); err != nil {
				return err
			}
		}
		text, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		p, err := rollout.ParsePlan(path, text)
		if err != nil {
			return err
		}
		printPlan(p, spread)
		return nil
	}
	c.AddCommand(status, check)
	return c
}

func printPlan(p *rollout.Plan, spread float64) {
	fmt.Printf("%s (%016x): %d routers, %d of an office at once\n", p.Name, p.Digest, len(p.Routers), p.MaxConcurrent)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "stage\trouters\twatched\tstops a loss of 0.05 after\t0.1\t0.2\tpasses the same after")
	for i, s := range p.Stages {
		told := func(n int) string {
			if n == 0 || float64(n) > s.MaxWatchSeconds {
				return "not within it"
			}
			return fmt.Sprintf("%d s", n)
		}
		var cells []any
		var pass int
		for _, loss := range []float64{0.05, 0.1, 0.2} {
			var stop int
			stop, pass = canary.SamplesNeeded(p.CanarySettings(), len(p.Stages), spread, loss, 100_000)
			cells = append(cells, told(stop))
		}
		compared := told(pass)
		if p.ChangedThrough(i).Count() == len(p.Routers) {
			cells, compared = []any{"guards only", "", ""}, "the watch"
		}
		fmt.Fprintf(w, "%d\t%d\t%g to %g s\t%s\t%s\t%s\t%s\n", append(append([]any{i + 1, p.ChangedThrough(i).Count(), s.MinWatchSeconds, s.MaxWatchSeconds}, cells...), compared)...)
	}
	w.Flush()
	fmt.Printf("with a spread of %g; by chance alone at most %g of rollouts of the same are stopped\n", spread, p.Guardrails.FalseStopProbability)
}

func printRollout(s *rollout.Status) {
	leads := "leads"
	if !s.IsLeader {
		leads = "does not lead"
	}
	fmt.Printf("%s: %s, stage %d of %d, known %d ms ago; last heard to lead: %s; this router %s\n", s.Plan, s.Phase, s.Stage, s.Stages, s.AgeMS, s.Leader, leads)
	if s.Reason != "" {
		fmt.Println("last:", s.Reason)
	}
	if s.Recovering {
		fmt.Println("THIS ROUTER HAS LOST WHAT IT KNEW, and asks the others")
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "router\toffice\tgeneration\theard\tMB\trestarts\tbreaks\tfailed")
	for _, l := range s.Routers {
		heard := ""
		if s.IsLeader {
			heard = fmt.Sprintf("%d ms ago", l.HeardMS)
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.0f\t%d\t%s\t%s\n", l.Name, l.Office, l.Activity, heard, l.Report.MemoryMB, l.Report.Restarts, l.Report.FirstViolation, l.Report.FailureReason)
	}
	w.Flush()
	if s.Verdict != "" {
		fmt.Printf("watched for %d s: %s\n", s.WatchMS/1000, s.Verdict)
		for _, b := range s.Bounds {
			fmt.Printf("  %s: %+.4f (%+.4f to %+.4f; %g is borne)\n", b.Metric, b.Mean, b.Low, b.High, b.Tolerance)
		}
	}
}
