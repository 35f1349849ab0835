package main

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"quilldoor/internal/discovery"
	"quilldoor/internal/handoff"
	"quilldoor/internal/invariant"
	"quilldoor/internal/operatorconfig"
	"quilldoor/internal/supervisor"
	"quilldoor/internal/upgrade"
	"quilldoor/internal/upgradeagent"
)

var errKeep = errors.New("keep: not in the operator's file")

func keepCommand(f *flags) *cobra.Command {
	c := &cobra.Command{
		Use: "keep", Short: "Keep a router: change its program and settings under load", Args: cobra.NoArgs,
		Long: "Holds the router's sockets and runs it as a process of its own, by keep in the operator's file. 'quilldoor change'\n" +
			"then puts another program or other settings in its place.",
	}
	c.RunE = func(*cobra.Command, []string) error {
		log, err := f.logger()
		if err != nil {
			return err
		}
		s, err := f.load()
		if err != nil {
			return err
		}
		own := s.operator.Supervisor
		if own == nil {
			return errKeep
		}
		self, err := os.Executable()
		if err != nil {
			return err
		}
		term := make(chan os.Signal, 1)
		signal.Notify(term, syscall.SIGTERM, syscall.SIGINT)
		hup := make(chan os.Signal, 1)
		signal.Notify(hup, syscall.SIGHUP)
		logic := s.Settings.PolicySettings()
		watch := &supervisor.Observer{Invariants: invariant.SettingsFrom(&logic), Limits: s.Limits, Discovery: func() (string, *discovery.Update, error) {
			fresh, err := f.load()
			if err != nil {
				return "", nil, err
			}
			return fresh.DiscoveryAddr, fresh.known, nil
		}}
		return supervisor.Run(supervisor.Config{
			Observer: watch, Folder: own.Dir, Program: self, Platform: cmp.Or(f.over.File, os.Getenv("LB_CONFIG")),
			Operator: cmp.Or(f.operator, os.Getenv("LB_OPERATOR"), operatorconfig.DefaultPath), Plan: own.RolloutPlan, MemberName: memberName(s.operator), Log: log.WithField("router", s.Name),
			Times: upgrade.Timeouts{ReadyMicros: micros(own.ReadyTimeoutS), TrialMicros: micros(own.TrialS), DrainMicros: (s.Limits.MaxRequestTimeout + s.Limits.ClientIdleTimeout + drainSlack).Microseconds()},
		},
			term, hup)
	}
	return c
}

func memberName(o *operatorconfig.Config) string {
	if o.Membership == nil {
		return ""
	}
	return o.Membership.Name
}

// drainSlack is for what stands round the drain itself: half a second of accepting,
// the disk's last writes, connections that are closed.
const drainSlack = 3 * time.Second

func micros(seconds float64) int64 { return int64(seconds * 1e6) }

// Exit codes of 'change apply' and 'change back'.
var (
	errRefused  = errors.New("refused")
	errFellBack = errors.New("fell back")
)

func changeCommand(f *flags) *cobra.Command {
	c := &cobra.Command{Use: "change", Short: "Put another program or other settings in a kept router's place"}
	var folder, program string
	c.PersistentFlags().StringVar(&folder, "folder", "", "the keeper's folder; else keep.folder of the operator's file")
	find := func() error {
		if folder != "" {
			return nil
		}
		own, err := operatorconfig.Load(f.operator, os.Getenv)
		if err != nil {
			return err
		}
		if own.Supervisor == nil {
			return errKeep
		}
		folder = own.Supervisor.Dir
		return nil
	}
	ask := func(w *handoff.Message) error {
		if err := find(); err != nil {
			return err
		}
		last, err := handoff.Request(filepath.Join(folder, upgradeagent.SocketName), w, func(text string) { fmt.Println(text) })
		switch {
		case err != nil:
			return err
		case last.FellBack:
			return errFellBack
		case !last.OK:
			return errRefused
		}
		return nil
	}
	abs := func(path string) string {
		if path == "" {
			return ""
		}
		p, err := filepath.Abs(path)
		if err != nil {
			return path
		}
		return p
	}
	apply := &cobra.Command{
		Use: "apply", Short: "Change, and wait for what becomes of it", Args: cobra.NoArgs,
		Long: "--program, --config and --operator name what is new; what is not named stays. Exit code 1: refused, or it fell\nback; the last line says why.",
	}
	apply.Flags().StringVar(&program, "program", "", "another program")
	apply.RunE = func(*cobra.Command, []string) error {
		return ask(&handoff.Message{Kind: handoff.KindApply, Program: abs(program), Config: abs(f.over.File), Operator: abs(f.operator)})
	}
	back := &cobra.Command{
		Use: "back", Short: "End a trial, or change to the generation before", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return ask(&handoff.Message{Kind: handoff.KindRollBack}) },
	}
	check := &cobra.Command{
		Use: "check", Short: "Tell the keys in which settings differ and how each changes; changes nothing", Args: cobra.NoArgs,
		RunE: func(*cobra.Command, []string) error { return f.compare(folder) },
	}
	var asJSON bool
	status := &cobra.Command{Use: "status", Short: "Tell the generations and what became of the last change", Args: cobra.NoArgs}
	status.Flags().BoolVar(&asJSON, "json", false, "print as JSON")
	status.RunE = func(*cobra.Command, []string) error {
		if err := find(); err != nil {
			return err
		}
		w, err := handoff.Request(filepath.Join(folder, upgradeagent.SocketName), &handoff.Message{Kind: handoff.KindStatus}, nil)
		if err != nil {
			return err
		}
		if asJSON {
			enc := json.NewEncoder(os.Stdout)
			enc.SetIndent("", " ")
			return enc.Encode(w.Status)
		}
		printStanding(w.Status)
		return nil
	}
	c.AddCommand(apply, back, check, status)
	return c
}

// compare prints in which keys settings differ from those of a keeper that runs.
func (f *flags) compare(folder string) error {
	s, err := f.load()
	if err != nil {
		return err
	}
	now, err := flatten(f)
	if err != nil {
		return err
	}
	if folder == "" {
		if s.operator.Supervisor == nil {
			return errKeep
		}
		folder = s.operator.Supervisor.Dir
	}
	was, err := supervisor.SettledSettings(folder)
	if err != nil {
		return err
	}
	diff := upgrade.Diff(was, now)
	for _, d := range diff {
		fmt.Println(d)
	}
	how, ok := upgrade.HardestMode(diff)
	switch {
	case len(diff) == 0:
		fmt.Println("no key differs")
	case !ok:
		return errors.New("some of it can't change on this router")
	case how == upgrade.ModeLive:
		fmt.Println("all of it changes while the router runs: put it into the platform's file and send the keeper SIGHUP")
	default:
		fmt.Println("it takes a new generation")
	}
	return nil
}

func printStanding(s *handoff.Status) {
	fmt.Printf("%s for %.1f s; keeper %d, %d restarts\n", s.State, float64(s.SinceMS)/1000, s.SupervisorPID, s.Restarts)
	var broken []string
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "generation\twhat\tprocess\tdoes\tMB\tdescriptors\tcompleted\trejected\taborted\tleft\tlate\tsaid")
	for _, p := range []struct {
		what string
		*handoff.Process
	}{{"settled", s.Serving}, {"new", s.Next}} {
		if p.Process != nil {
			e := p.Requests
			fmt.Fprintf(w, "%d\t%s\t%d\t%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d ms ago\n", p.Generation, p.what, p.PID, p.AgentState, p.MemoryMB, p.Descriptors,
				e.Completed, e.Rejected, e.Aborted, e.ClientGone, e.Late, p.HeartbeatAgeMS)
			broken = append(broken, p.ViolatedRule)
		}
	}
	w.Flush()
	for _, text := range broken {
		if text != "" {
			fmt.Println("SEEN TO BREAK", text)
		}
	}
	for _, m := range []struct {
		what string
		*handoff.Manifest
	}{{"settled", s.Settled}, {"before", s.Previous}} {
		if m.Manifest != nil {
			fmt.Printf("%s: generation %d, %s (%s, %s), settings %016x\n", m.what, m.Generation, m.Program, m.Version, m.ProgramSum, m.Settings)
		}
	}
	if s.LastOutcome != "" {
		fmt.Println("last change:", s.LastOutcome)
	}
	if !s.Persistent {
		fmt.Println("THE STATE FILE CAN'T BE WRITTEN: a cold start begins with what it has")
	}
}
